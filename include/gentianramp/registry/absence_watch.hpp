#pragma once

#include <gentianramp/core/clock.hpp>
#include <optional>

namespace gentianramp {

/// Decides when the absence of something that should be there is logged: once it has lasted for
/// an interval, and again after each further one.
class AbsenceWatch
{
public:
    explicit AbsenceWatch(Duration interval);

    /// Notes whether it is there at @p now. Returns how long it has been absent when that is to be
    /// logged.
    std::optional<Duration> note(bool present, TimePoint now);

private:
    Duration m_interval;
    std::optional<TimePoint> m_absentSince; ///< Empty while it is present.
    TimePoint m_reportAt{};
};

} // namespace gentianramp
