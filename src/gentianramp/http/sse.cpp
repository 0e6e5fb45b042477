#include <gentianramp/http/sse.hpp>

#include <algorithm>

namespace gentianramp {

namespace {

constexpr std::size_t CompactionBytes = 4096;

void appendField(std::string &out, std::string_view name, std::string_view value)
{
    out += name;
    out += ": ";
    out += value;
    out += '\n';
}

} // namespace

SseParser::SseParser(std::size_t maxEventBytes)
    : m_maxEventBytes(maxEventBytes)
{ }

void SseParser::feed(std::string_view bytes)
{
    if (!m_error)
        m_input.append(bytes);
}

std::optional<SseEvent> SseParser::next()
{
    while (!m_error) {
        const std::optional<std::string_view> line = nextLine();
        if (!line)
            break;
        if (!line->empty()) {
            processLine(*line);
            continue;
        }
        const bool hasEvent = m_hasData;
        SseEvent event = std::move(m_event);
        m_event = {};
        m_hasFields = false;
        m_hasData = false;
        if (hasEvent) {
            compact();
            return event;
        }
    }
    compact();
    return std::nullopt;
}

bool SseParser::hasPartialEvent() const noexcept
{
    return m_hasFields || m_lineStart < m_input.size();
}

std::optional<std::string_view> SseParser::nextLine()
{
    if (m_skipLineFeed && m_lineStart < m_input.size()) {
        m_lineStart += m_input[m_lineStart] == '\n' ? 1 : 0;
        m_skipLineFeed = false;
    }
    const std::size_t end = m_input.find_first_of("\r\n", std::max(m_searchedEnd, m_lineStart));
    if (end == std::string::npos) {
        m_searchedEnd = m_input.size();
        if (m_searchedEnd - m_lineStart + m_event.data.size() > m_maxEventBytes)
            m_error = make_error_code(Error::TooLarge);
        return std::nullopt;
    }
    const std::string_view line = std::string_view(m_input).substr(m_lineStart, end - m_lineStart);
    m_skipLineFeed = m_input[end] == '\r';
    m_lineStart = end + 1;
    m_searchedEnd = m_lineStart;
    return line;
}

void SseParser::processLine(std::string_view line)
{
    const std::size_t colon = line.find(':');
    if (colon == 0)
        return; // A line that starts with a colon is a comment.
    const std::string_view name = line.substr(0, colon);
    std::string_view value = colon == std::string_view::npos ? "" : line.substr(colon + 1);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    if (m_event.data.size() + value.size() > m_maxEventBytes) {
        m_error = make_error_code(Error::TooLarge);
        return;
    }
    if (name == "data") {
        if (m_hasData)
            m_event.data += '\n';
        m_event.data += value;
        m_hasData = true;
        m_hasFields = true;
    } else if (name == "id") {
        m_event.id = value;
        m_hasFields = true;
    } else if (name == "event") {
        m_event.name = value;
        m_hasFields = true;
    }
}

void SseParser::compact()
{
    if (m_lineStart == m_input.size()) {
        m_input.clear();
    } else if (m_lineStart < CompactionBytes) {
        return;
    } else {
        m_input.erase(0, m_lineStart);
    }
    m_lineStart = 0;
    m_searchedEnd = 0;
}

void appendSse(std::string &out, const SseEvent &event)
{
    if (!event.id.empty())
        appendField(out, "id", event.id);
    if (!event.name.empty())
        appendField(out, "event", event.name);
    std::size_t start = 0;
    while (true) {
        const std::size_t end = event.data.find('\n', start);
        appendField(out, "data", std::string_view(event.data).substr(start, end - start));
        if (end == std::string::npos)
            break;
        start = end + 1;
    }
    out += '\n';
}

std::string encodeSse(const SseEvent &event)
{
    std::string out;
    appendSse(out, event);
    return out;
}

} // namespace gentianramp
