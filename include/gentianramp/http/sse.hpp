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
    std::string data; ///< Data lines joined by line ends.
    bool operator==(const SseEvent &) const = default;
};

/// Parses server-sent events from bytes that come in pieces of any size.
class SseParser
{
public:
    static constexpr std::size_t DefaultMaxEventBytes = 256 * 1024;

    explicit SseParser(std::size_t maxEventBytes = DefaultMaxEventBytes);

    /// Takes more bytes.
    void feed(std::string_view bytes);
    /// Next whole event; empty when more bytes are needed or the parser failed.
    std::optional<SseEvent> next();
    /// Set to Error::TooLarge for good when an event exceeds the limit.
    std::error_code error() const noexcept { return m_error; }
    /// True when bytes of an unfinished event are held.
    bool hasPartialEvent() const noexcept;

private:
    std::optional<std::string_view> nextLine();
    void takeLine(std::string_view line);
    void compact();

    std::size_t m_maxEventBytes;
    std::string m_pending;
    std::size_t m_read = 0;    ///< Start of the first line not taken yet.
    std::size_t m_scanned = 0; ///< Bytes before it hold no line end after m_read.
    bool m_skipLineFeed = false;
    SseEvent m_event;
    bool m_hasField = false;
    bool m_hasData = false;
    std::error_code m_error;
};

/// Writes @p event as it stands on the wire.
std::string encodeSse(const SseEvent &event);
/// Appends the wire form of @p event to @p out.
void appendSse(std::string &out, const SseEvent &event);

} // namespace gentianramp
