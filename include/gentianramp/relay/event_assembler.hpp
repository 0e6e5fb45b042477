#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace gentianramp {

/// Cuts the bytes of an event stream into whole events without changing them. Pure.
class EventAssembler
{
public:
    /// Events up to @p after are left out: they were delivered before.
    explicit EventAssembler(std::optional<std::uint64_t> after = std::nullopt);

    /// Takes more bytes and returns the whole events that they complete.
    std::string feed(std::string_view bytes);
    /// Id of the last whole event.
    std::optional<std::uint64_t> lastId() const { return m_lastId; }
    /// Bytes of an unfinished event are held.
    bool hasPartial() const { return !m_pending.empty(); }
    /// The held bytes, for a stream that ends without an event's end.
    std::string takePartial() { return std::exchange(m_pending, {}); }
    /// Bytes of one event went over the bound; the stream can't be used any more.
    bool overflowed() const { return m_pending.size() > MaxEventBytes; }

private:
    static constexpr std::size_t MaxEventBytes = 1024 * 1024;

    std::string m_pending;
    std::optional<std::uint64_t> m_after;
    std::optional<std::uint64_t> m_lastId;
};

} // namespace gentianramp
