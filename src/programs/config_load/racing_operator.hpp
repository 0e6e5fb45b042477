#pragma once

#include "operator_link.hpp"

#include <atomic>
#include <functional>
#include <string>
#include <vector>

namespace gentianramp {

/// An answer that a command got, in the order of arrival.
struct ReceivedAnswer
{
    proto::OperatorError error = proto::OPERATOR_ERROR_NONE;
    std::uint64_t revision = 0;
    std::int64_t atNs = 0;
    bool operator==(const ReceivedAnswer &) const = default;
};

/// A command with all answers that it got.
struct CommandRecord
{
    std::string command;
    std::uint64_t base = 0;
    std::int64_t sentNs = 0;
    std::vector<ReceivedAnswer> answers;
    bool operator==(const CommandRecord &) const = default;
};

/// State that racing operators share.
struct RaceState
{
    std::atomic<std::uint64_t> revision{0}; ///< Newest that any of them saw.
    std::atomic<std::uint64_t> accepted{0};
    std::atomic<bool> stop{false};
};

/// Makes the canonical bytes of the configuration number @p n.
using ConfigurationSource = std::function<std::string(std::uint64_t n)>;

/// Changes the configuration again and again on the newest revision it knows, resends commands
/// without an answer and some that were answered, to control processes taken at random.
class RacingOperator
{
public:
    RacingOperator(std::string name, OperatorLink &link, RaceState &race,
                   ConfigurationSource source, std::uint64_t seed);

    /// Runs until the race stops, with @p pause between two commands.
    void run(Duration pause);
    const std::vector<CommandRecord> &records() const { return m_records; }

private:
    void runCommand();
    bool send(CommandRecord &record, const proto::OperatorRequest &request);
    void learnRevision();
    std::size_t anyControl();
    void wait(Duration time);

    std::string m_name;
    OperatorLink &m_link;
    RaceState &m_race;
    ConfigurationSource m_source;
    std::mt19937_64 m_random;
    std::vector<CommandRecord> m_records;
};

} // namespace gentianramp
