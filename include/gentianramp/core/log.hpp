#pragma once

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace gentianramp {

/// One key=value field of a log line.
struct LogField
{
    LogField(std::string_view key, std::string_view value);
    LogField(std::string_view key, const char *value);
    LogField(std::string_view key, long long value);
    LogField(std::string_view key, unsigned long long value);
    LogField(std::string_view key, long value);
    LogField(std::string_view key, unsigned long value);
    LogField(std::string_view key, int value);
    LogField(std::string_view key, unsigned value);

    std::string key;
    std::string value;
};

/// Where log lines go.
enum class LogTarget {
    StandardError,  ///< As glog writes them, at once.
    StandardOutput, ///< One "key=value" line each, bounded in rate and memory, never waiting.
};

/// Bounds of LogTarget::StandardOutput.
struct LogBounds
{
    unsigned linesPerSecond = 400; ///< Over a few seconds; errors and warnings count too.
    unsigned burst = 2000;         ///< Lines at once.
    std::size_t bufferBytes
        = 256 * 1024; ///< Held while the reader is slow; then lines are dropped.
};

/// Starts glog for the program @p name. From then on an exception that leaves a thread is logged
/// with the thread's name before it ends the process.
void startLogging(const std::string &name, LogTarget target = LogTarget::StandardError,
                  const LogBounds &bounds = {});
/// Writes what is held for standard output as far as that takes it without waiting. To be called
/// several times a second and at the end.
void flushLog();
/// Lines that were dropped so far.
std::uint64_t droppedLogLines();

/// Writes "event key=value ..." at the level of the function; values are quoted when needed.
void logInfo(std::string_view event, std::initializer_list<LogField> fields = {});
void logWarning(std::string_view event, std::initializer_list<LogField> fields = {});
void logError(std::string_view event, std::initializer_list<LogField> fields = {});

} // namespace gentianramp
