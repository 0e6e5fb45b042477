#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace gentianramp {

/// Splits the bytes of an event stream into whole events without changing them. Performs no I/O.
class EventAssembler
{
public:
    /// Events with an id up to @p after are skipped: they were delivered before.
    explicit EventAssembler(std::optional<std::uint64_t> after = std::nullopt);

    /// Takes more bytes and returns the whole events that they complete.
    std::string feed(std::string_view bytes);
    /// Id of the last whole event.
    std::optional<std::uint64_t> lastId() const { return m_lastId; }
    /// Bytes after the last whole event are buffered.
    bool hasPartial() const { return !m_pending.empty(); }
    /// The buffered bytes are more than whole comment lines: the stream would end inside an event.
    bool insideEvent() const { return m_hasFields || m_lineStart < m_pending.size(); }
    std::size_t m_checkedEnd = 0; ///< The line that is not complete was checked up to here.
    bool m_nameEnded = false;     ///< That line has a colon.
    /// Takes the buffered bytes, at the end of a stream.
    std::string takePartial() { return std::exchange(m_pending, {}); }
    /// At least one whole event was fed, skipped ones included. Comments alone are no event.
    bool hasEvents() const { return m_hasEvents; }
    /// One event exceeded the size bound; the stream can't be used any more.
    bool overflowed() const { return m_pending.size() > MaxEventBytes; }
    /// Bytes that belong to no event were fed; nothing is returned from there on.
    bool malformed() const { return m_malformed; }

private:
    static constexpr std::size_t MaxEventBytes = 1024 * 1024;

    bool checkLineBeginning(std::string_view pending);
    void takeEvent(std::string_view event, std::string &whole);

    std::string m_pending;
    std::size_t m_lineStart = 0; ///< In m_pending; the line that isn't complete yet.
    bool m_hasFields = false;    ///< m_pending has a complete line that is no comment.
    bool m_hasEvents = false;
    bool m_malformed = false;
    std::optional<std::uint64_t> m_after;
    std::optional<std::uint64_t> m_lastId;
};

} // namespace gentianramp
