#pragma once

#include <cstdint>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/ids.hpp>
#include <map>
#include <optional>

namespace gentianramp {

/// True time from the wall clocks of several processes: the median, so that clocks that step on
/// less than half of them do not matter. Performs no I/O.
class ClockMedian
{
public:
    /// @p process stated its wall clock, in Unix milliseconds, in a message that just arrived.
    void note(const InstanceId &process, std::int64_t wallClockMs, TimePoint now);
    /// True time in Unix milliseconds; @p ownWallClockMs is that of this process.
    std::int64_t trueMs(std::int64_t ownWallClockMs, TimePoint now) const;

private:
    struct Clock
    {
        std::int64_t offsetMs = 0; ///< Of the wall clock to the clock of the runtime.
        TimePoint heardAt{};
    };

    std::map<InstanceId, Clock> m_clocks;
};

/// True time on the clock of the runtime, from answers of processes that know it. Performs no I/O.
class TrueTime
{
public:
    /// An answer to a request that was sent at @p requestedAt stated @p trueMs in Unix
    /// milliseconds.
    void note(std::int64_t trueMs, TimePoint requestedAt, TimePoint receivedAt);
    /// True time in Unix milliseconds; empty while none was stated.
    std::optional<std::int64_t> at(TimePoint time) const;

private:
    struct Reading
    {
        std::int64_t offsetMs = 0;
        Duration uncertainty{}; ///< When it was read; grows with its age.
        TimePoint readAt{};
    };

    std::optional<Reading> m_reading;
};

} // namespace gentianramp
