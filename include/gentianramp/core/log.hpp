#pragma once

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

/// Starts glog for the program @p name; lines go to standard error.
void startLogging(const std::string &name);

/// Writes "event key=value ..." at the level of the function; values are quoted when needed.
void logInfo(std::string_view event, std::initializer_list<LogField> fields = {});
void logWarning(std::string_view event, std::initializer_list<LogField> fields = {});
void logError(std::string_view event, std::initializer_list<LogField> fields = {});

} // namespace gentianramp
