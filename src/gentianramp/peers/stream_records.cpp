#include <gentianramp/peers/stream_records.hpp>

namespace gentianramp {

namespace {

/// Far above the streams of one instance within their lifetime, and of those that name it.
constexpr std::size_t MaxRecords = 20'000;
constexpr Duration ExpiryInterval = std::chrono::milliseconds(500);

} // namespace

void StreamRecords::note(const std::string &attempt, StreamOrigin origin, TimePoint now)
{
    expire(now);
    if (m_records.size() < MaxRecords || m_records.contains(attempt))
        m_records[attempt] = {std::move(origin), now};
}

std::optional<StreamOrigin> StreamRecords::find(const std::string &attempt, TimePoint now) const
{
    const auto found = m_records.find(attempt);
    if (found == m_records.end() || now - found->second.notedAt > m_lifetime)
        return std::nullopt;
    return found->second.origin;
}

void StreamRecords::expire(TimePoint now)
{
    if (now - m_expiredAt < ExpiryInterval)
        return;
    m_expiredAt = now;
    std::erase_if(m_records,
                  [&](const auto &entry) { return now - entry.second.notedAt > m_lifetime; });
}

} // namespace gentianramp
