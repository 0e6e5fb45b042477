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
    /// Bytes of an incomplete event are buffered.
    bool hasPartial() const { return !m_pending.empty(); }
    /// Takes the buffered bytes, for a stream that ends within an event.
    std::string takePartial() { return std::exchange(m_pending, {}); }
    /// One event exceeded the size bound; the stream can't be used any more.
    bool overflowed() const { return m_pending.size() > MaxEventBytes; }

private:
    static constexpr std::size_t MaxEventBytes = 1024 * 1024;

    std::string m_pending;
    std::optional<std::uint64_t> m_after;
    std::optional<std::uint64_t> m_lastId;
};

} // namespace gentianramp
