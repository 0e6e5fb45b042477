#include <gentianramp/relay/event_assembler.hpp>

#include <charconv>

namespace gentianramp {

namespace {

/// Length of the first event in @p bytes, including the blank line that ends it; 0 when the event
/// is incomplete.
std::size_t eventLength(std::string_view bytes)
{
    std::size_t lineStart = 0;
    for (std::size_t at = 0; at < bytes.size(); ++at) {
        if (bytes[at] != '\n')
            continue;
        const std::size_t length = at - lineStart;
        if (length == 0 || (length == 1 && bytes[lineStart] == '\r'))
            return at + 1;
        lineStart = at + 1;
    }
    return 0;
}

std::optional<std::uint64_t> idOf(std::string_view event)
{
    std::optional<std::uint64_t> id;
    while (!event.empty()) {
        const std::size_t end = event.find('\n');
        std::string_view line = event.substr(0, end);
        event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
        if (!line.starts_with("id:"))
            continue;
        line.remove_prefix(3);
        if (line.starts_with(' '))
            line.remove_prefix(1);
        std::uint64_t value = 0;
        if (std::from_chars(line.data(), line.data() + line.size(), value).ec == std::errc{})
            id = value;
    }
    return id;
}

} // namespace

EventAssembler::EventAssembler(std::optional<std::uint64_t> after)
    : m_after(after)
    , m_lastId(after)
{ }

std::string EventAssembler::feed(std::string_view bytes)
{
    m_pending += bytes;
    std::string whole;
    std::string_view rest = m_pending;
    while (const std::size_t length = eventLength(rest)) {
        const std::string_view event = rest.substr(0, length);
        rest.remove_prefix(length);
        const std::optional<std::uint64_t> id = idOf(event);
        if (id && m_after && *id <= *m_after)
            continue;
        if (id)
            m_lastId = id;
        whole += event;
    }
    m_pending = std::string(rest);
    return whole;
}

} // namespace gentianramp
