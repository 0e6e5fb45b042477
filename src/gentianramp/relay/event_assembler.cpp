#include <gentianramp/relay/event_assembler.hpp>

#include <algorithm>
#include <charconv>

namespace gentianramp {

namespace {

/// Fields that may have no value, and thus no colon.
constexpr std::string_view StandardFields[] = {"data", "event", "id", "retry"};

bool isNameCharacter(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
        || (character >= '0' && character <= '9') || character == '-' || character == '_';
}

/// True for a field or a comment.
bool isEventLine(std::string_view line)
{
    const std::string_view name = line.substr(0, line.find(':'));
    if (!std::all_of(name.begin(), name.end(), isNameCharacter))
        return false;
    if (name.size() < line.size())
        return true;
    return std::find(std::begin(StandardFields), std::end(StandardFields), name)
        != std::end(StandardFields);
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
    std::string whole;
    if (m_malformed)
        return whole;
    std::size_t scanned = m_pending.size();
    std::size_t eventStart = 0;
    m_pending += bytes;
    const std::string_view pending = m_pending;
    for (; (scanned = pending.find('\n', scanned)) != std::string_view::npos; ++scanned) {
        std::string_view line = pending.substr(m_lineStart, scanned - m_lineStart);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        m_lineStart = scanned + 1;
        if (line.empty()) {
            takeEvent(pending.substr(eventStart, m_lineStart - eventStart), whole);
            eventStart = m_lineStart;
            continue;
        }
        m_malformed = !isEventLine(line);
        if (m_malformed)
            return whole;
        m_hasFields = m_hasFields || !line.starts_with(':');
    }
    m_malformed = !checkLineBeginning(pending);
    m_pending.erase(0, eventStart);
    m_lineStart -= eventStart;
    m_checkedEnd -= eventStart;
    return whole;
}

/// Whether a field or a comment may begin like the line that is not complete. Checks each byte
/// once, since lines may come in many pieces.
bool EventAssembler::checkLineBeginning(std::string_view pending)
{
    if (m_checkedEnd < m_lineStart) {
        m_checkedEnd = m_lineStart;
        m_nameEnded = false;
    }
    std::string_view unchecked = pending.substr(m_checkedEnd);
    if (unchecked.ends_with('\r'))
        unchecked.remove_suffix(1);
    m_checkedEnd += unchecked.size();
    if (m_nameEnded)
        return true;
    const std::string_view name = unchecked.substr(0, unchecked.find(':'));
    m_nameEnded = name.size() < unchecked.size();
    return std::all_of(name.begin(), name.end(), isNameCharacter);
}

/// Appends an event, or comments, unless it was delivered before.
void EventAssembler::takeEvent(std::string_view event, std::string &whole)
{
    m_hasEvents = m_hasEvents || m_hasFields;
    m_hasFields = false;
    const std::optional<std::uint64_t> id = idOf(event);
    if (id && m_after && *id <= *m_after)
        return;
    if (id)
        m_lastId = id;
    whole += event;
}

} // namespace gentianramp
