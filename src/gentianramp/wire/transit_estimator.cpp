#include "transit_estimator.hpp"

#include <algorithm>

namespace gentianramp {

namespace {

constexpr Duration WindowLength = std::chrono::seconds(60);

} // namespace

Duration TransitEstimator::delay(std::int64_t sentNs, TimePoint now)
{
    rollWindow(now);
    const std::int64_t difference = now.time_since_epoch().count() - sentNs;
    m_windowMinimum = std::min(m_windowMinimum.value_or(difference), difference);
    const std::int64_t baseline
        = std::min(*m_windowMinimum, m_previousWindowMinimum.value_or(*m_windowMinimum));
    return Duration(difference - baseline);
}

void TransitEstimator::rollWindow(TimePoint now)
{
    if (now - m_windowStart < WindowLength)
        return;
    if (m_windowMinimum)
        m_previousWindowMinimum = m_windowMinimum;
    m_windowMinimum.reset();
    m_windowStart = now;
}

} // namespace gentianramp
