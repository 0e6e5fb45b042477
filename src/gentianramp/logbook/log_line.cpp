#include <gentianramp/logbook/log_line.hpp>

#include <charconv>

namespace gentianramp {

namespace {

constexpr std::string_view TimeField = "time_ms=";

/// Removes the next value from the start of @p text and returns it. Quoted values may contain
/// spaces and escaped quotes.
std::string extractValue(std::string_view &text)
{
    std::string value;
    if (!text.starts_with('"')) {
        const std::size_t end = text.find(' ');
        value = text.substr(0, end);
        text.remove_prefix(end == std::string_view::npos ? text.size() : end);
        return value;
    }
    text.remove_prefix(1);
    while (!text.empty() && text.front() != '"') {
        if (text.front() == '\\' && text.size() > 1)
            text.remove_prefix(1);
        value += text.front();
        text.remove_prefix(1);
    }
    if (!text.empty())
        text.remove_prefix(1);
    return value;
}

/// Returns the last word of @p text: the name of a field, or the process name that a log collector
/// puts before the fields.
std::string_view lastWord(std::string_view text)
{
    while (text.ends_with(' '))
        text.remove_suffix(1);
    const std::size_t space = text.rfind(' ');
    return space == std::string_view::npos ? text : text.substr(space + 1);
}

std::optional<std::int64_t> toNumber(std::string_view text)
{
    std::int64_t number = 0;
    const char *end = text.data() + text.size();
    const auto [parsedEnd, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc{} || parsedEnd != end)
        return std::nullopt;
    return number;
}

} // namespace

std::string_view LogLine::field(std::string_view name) const
{
    const auto found = fields.find(name);
    return found == fields.end() ? std::string_view() : std::string_view(found->second);
}

std::optional<std::int64_t> LogLine::number(std::string_view name) const
{
    return toNumber(field(name));
}

std::optional<LogLine> parseLogLine(std::string_view text, std::string_view process)
{
    const std::size_t begin = text.find(TimeField);
    if (begin == std::string_view::npos)
        return std::nullopt;
    LogLine line;
    const std::string_view processPrefix = lastWord(text.substr(0, begin));
    line.process = processPrefix.empty() ? process : processPrefix;
    text.remove_prefix(begin);
    while (!text.empty()) {
        const std::size_t equals = text.find('=');
        if (equals == std::string_view::npos)
            break;
        const std::string name(lastWord(text.substr(0, equals)));
        text.remove_prefix(equals + 1);
        line.fields.insert_or_assign(name, extractValue(text));
    }
    const std::optional<std::int64_t> time = line.number("time_ms");
    line.event = line.field("event");
    if (!time || line.event.empty())
        return std::nullopt;
    line.timeMs = *time;
    for (const char *name : {"time_ms", "mono_ms", "level", "event"})
        line.fields.erase(name);
    return line;
}

} // namespace gentianramp
