#include <gentianramp/registry/stage_delays.hpp>

#include <algorithm>
#include <cmath>

namespace gentianramp {

namespace {

/// A longer gap between two observations counts as this long, since nothing is known of it.
constexpr Duration MaxObservationGap = std::chrono::seconds(1);
/// A service with fewer requests per second is idle.
constexpr double IdleRequests = 0.5;

/// left * leftFactor + right * rightFactor
StageDelays combined(const StageDelays &left, double leftFactor, const StageDelays &right,
                     double rightFactor)
{
    return {left.requests * leftFactor + right.requests * rightFactor,
            left.prefill * leftFactor + right.prefill * rightFactor,
            left.decode * leftFactor + right.decode * rightFactor,
            left.prefillWork * leftFactor + right.prefillWork * rightFactor,
            left.streams * leftFactor + right.streams * rightFactor};
}

} // namespace

void addDelays(ServiceDelays &sum, const ServiceDelays &delays)
{
    for (const auto &[service, delay] : delays)
        sum[service] = combined(sum[service], 1, delay, 1);
}

SmoothedDelays::SmoothedDelays(Duration timeConstant, Duration ignoredTime)
    : m_timeConstant(timeConstant)
    , m_ignoredTime(ignoredTime)
{ }

void SmoothedDelays::observe(const StageDelays &delays, TimePoint now)
{
    const Duration elapsed = m_observedAt == TimePoint{}
        ? Duration::zero()
        : std::clamp<Duration>(now - m_observedAt, Duration::zero(), MaxObservationGap);
    m_observedAt = now;
    if (delays.requests < IdleRequests)
        return reset();
    m_everBusy = true;
    m_busyTime += elapsed;
    if (m_busyTime <= m_ignoredTime)
        return;
    const double weight = std::chrono::duration<double>(elapsed) / m_timeConstant;
    const double kept = std::exp(-weight);
    m_weighted = combined(m_weighted, kept, delays, weight);
    m_weight = m_weight * kept + weight;
}

void SmoothedDelays::reset()
{
    m_busyTime = Duration::zero();
    m_weighted = {};
    m_weight = 0;
}

std::optional<StageDelays> SmoothedDelays::mean() const
{
    if (m_busyTime < m_ignoredTime + m_timeConstant || m_weight <= 0)
        return std::nullopt;
    return combined(m_weighted, 1 / m_weight, {}, 0);
}

} // namespace gentianramp
