#include <gentianramp/core/time_order.hpp>

#include <algorithm>
#include <gentianramp/core/invariant.hpp>
#include <string>

namespace gentianramp {

namespace {

std::string describeDifference(TimePoint earlier, TimePoint later)
{
    return std::to_string((later - earlier).count()) + " ns";
}

} // namespace

TimePoint latestTime(TimePoint known, TimePoint now, std::string_view invariant)
{
    if (now < known)
        checkInvariant(false, invariant, describeDifference(now, known));
    return std::max(known, now);
}

std::optional<Duration> ageOf(TimePoint time, TimePoint now, std::string_view invariant)
{
    if (time <= now)
        return now - time;
    checkInvariant(false, invariant, describeDifference(now, time));
    return std::nullopt;
}

} // namespace gentianramp
