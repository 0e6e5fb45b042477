#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace gentianramp {

/// A structured log line of a process.
struct LogLine
{
    std::string process;
    std::int64_t timeMs = 0; ///< Wall clock of the process, Unix milliseconds.
    std::string event;
    /// Fields other than times, level and event.
    std::map<std::string, std::string, std::less<>> fields;
    bool operator==(const LogLine &) const = default;

    /// Returns the value of the field @p name; empty when the line has no such field.
    std::string_view field(std::string_view name) const;
    /// Returns the integer in the field @p name; nullopt when there is none.
    std::optional<std::int64_t> number(std::string_view name) const;
};

/// Parses a log line; nullopt when @p text is not a structured line with time and event. The last
/// word before the time, which log collectors put there, is the name of the process; without such a
/// word the name is @p process.
std::optional<LogLine> parseLogLine(std::string_view text, std::string_view process);

} // namespace gentianramp
