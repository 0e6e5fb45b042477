#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <gentianramp/core/clock.hpp>
#include <memory>
#include <string>

namespace gentianramp {

/// Calls a hook with the content of a file when that has changed. Looks at the file in regular
/// intervals, since changes are not always announced.
class FileWatch
{
public:
    using Hook = std::function<void(const std::string &content)>;

    FileWatch(const boost::asio::any_io_executor &executor, std::string path, std::string known,
              Hook hook, Duration interval = std::chrono::seconds(1));
    ~FileWatch();
    FileWatch(const FileWatch &) = delete;
    FileWatch &operator=(const FileWatch &) = delete;

    /// Looks now.
    void check();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

/// Whole content of a file; empty when it can't be read.
std::string readWholeFile(const std::string &path);

} // namespace gentianramp
