#include <gentianramp/usage/true_time.hpp>

#include <algorithm>
#include <vector>

namespace gentianramp {

namespace {

/// Clocks of processes that were not heard for longer may have stepped since.
constexpr Duration ClockLifetime = std::chrono::seconds(5);
/// By which a reading becomes less certain in a second: more than clocks drift, so that a step of
/// the stated time is followed within seconds.
constexpr Duration UncertaintyPerSecond = std::chrono::milliseconds(2);

std::int64_t runtimeMs(TimePoint time)
{
    return toMilliseconds(time.time_since_epoch());
}

} // namespace

void ClockMedian::note(const InstanceId &process, std::int64_t wallClockMs, TimePoint now)
{
    m_clocks[process] = {wallClockMs - runtimeMs(now), now};
    std::erase_if(m_clocks,
                  [&](const auto &entry) { return now - entry.second.heardAt > ClockLifetime; });
}

std::int64_t ClockMedian::trueMs(std::int64_t ownWallClockMs, TimePoint now) const
{
    std::vector<std::int64_t> offsets{ownWallClockMs - runtimeMs(now)};
    for (const auto &[process, clock] : m_clocks) {
        if (now - clock.heardAt <= ClockLifetime)
            offsets.push_back(clock.offsetMs);
    }
    std::sort(offsets.begin(), offsets.end());
    const std::size_t middle = offsets.size() / 2;
    const std::int64_t median = offsets.size() % 2 == 1
        ? offsets[middle]
        : offsets[middle - 1] + (offsets[middle] - offsets[middle - 1]) / 2;
    return median + runtimeMs(now);
}

void TrueTime::note(std::int64_t trueMs, TimePoint requestedAt, TimePoint receivedAt)
{
    const Duration halfTrip = (receivedAt - requestedAt) / 2;
    if (m_reading) {
        const double age = std::chrono::duration<double>(receivedAt - m_reading->readAt).count();
        const auto aged = m_reading->uncertainty
            + std::chrono::duration_cast<Duration>(age * UncertaintyPerSecond);
        if (halfTrip > aged)
            return;
    }
    m_reading = {trueMs + toMilliseconds(halfTrip) - runtimeMs(receivedAt), halfTrip, receivedAt};
}

std::optional<std::int64_t> TrueTime::at(TimePoint time) const
{
    return m_reading ? std::optional(m_reading->offsetMs + runtimeMs(time)) : std::nullopt;
}

} // namespace gentianramp
