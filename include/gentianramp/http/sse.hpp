#pragma once

#include <cstddef>
#include <gentianramp/core/error.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace gentianramp {

/// One server-sent event.
struct SseEvent
{
    std::string id;   ///< Value of the event's own id field; empty when it had none.
    std::string name; ///< Value of the event field; empty when it had none.
    std::string data; ///< Values of the data fields, joined by line feeds.
    bool operator==(const SseEvent &) const = default;
};

/// Incremental parser of server-sent events; the input may be split at any byte.
class SseParser
{
public:
    static constexpr std::size_t DefaultMaxEventBytes = 256 * 1024;

    explicit SseParser(std::size_t maxEventBytes = DefaultMaxEventBytes);

    /// Appends input bytes; ignored after an error.
    void feed(std::string_view bytes);
    /// Returns the next complete event, or nothing when more input is needed or the parser failed.
    std::optional<SseEvent> next();
    /// Error::TooLarge once an event has exceeded the limit; the parser then stays failed.
    std::error_code error() const noexcept { return m_error; }
    /// True when input of an unfinished event is buffered.
    bool hasPartialEvent() const noexcept;

private:
    std::optional<std::string_view> nextLine();
    void processLine(std::string_view line);
    void compact();

    std::size_t m_maxEventBytes;
    std::string m_input;
    std::size_t m_lineStart = 0;   ///< Start of the first unprocessed line in m_input.
    std::size_t m_searchedEnd = 0; ///< No line end between m_lineStart and here.
    bool m_skipLineFeed = false;
    SseEvent m_event;
    bool m_hasFields = false;
    bool m_hasData = false;
    std::error_code m_error;
};

/// Serialises @p event in the text/event-stream format.
std::string encodeSse(const SseEvent &event);
/// Appends the serialised @p event to @p out.
void appendSse(std::string &out, const SseEvent &event);

} // namespace gentianramp
