#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>
#include <system_error>

namespace gentianramp {

/// Blocks SIGHUP, SIGINT and SIGTERM in the calling thread and in all threads that it starts from
/// now on. They stay pending until ProcessSignals receives them, so that they neither interrupt a
/// system call nor end the process. To be called before the program starts a thread.
void blockProcessSignals();

/// Lets a write to a closed pipe or connection, or over the limit on file sizes, fail instead of
/// ending the process (SIGPIPE, SIGXFSZ).
void ignoreWriteSignals();

/// Receives the signals that blockProcessSignals() blocks.
class ProcessSignals
{
public:
    using Hook = std::function<void(int signal)>;

    /// @p hook is called on @p executor; when it throws, later signals are still received.
    ProcessSignals(const boost::asio::any_io_executor &executor, Hook hook);
    ~ProcessSignals();
    ProcessSignals(const ProcessSignals &) = delete;
    ProcessSignals &operator=(const ProcessSignals &) = delete;

    /// Starts with the signals that are pending. Equal signals that are pending together count as
    /// one; of different ones SIGHUP comes first. Fails if no file descriptor is left.
    std::error_code start();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gentianramp
