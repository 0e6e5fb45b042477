#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace gentianramp {

/// A structured line that a process wrote.
struct LogLine
{
    std::string process;
    std::int64_t timeMs = 0; ///< Time of day of the process, Unix milliseconds.
    std::string event;
    std::map<std::string, std::string, std::less<>> fields; ///< Without time, level and event.
    bool operator==(const LogLine &) const = default;

    /// Value of the field @p name; empty when there is none.
    std::string_view field(std::string_view name) const;
    /// The same as a number; nothing when there is none.
    std::optional<std::int64_t> number(std::string_view name) const;
};

/// Reads a line; nothing when it is none of ours. What stands before the time names the process,
/// as collectors of logs write it; else @p process does.
std::optional<LogLine> parseLogLine(std::string_view text, std::string_view process);

} // namespace gentianramp
