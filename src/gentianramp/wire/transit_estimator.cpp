#include "transit_estimator.hpp"

#include <algorithm>

namespace gentianramp {

namespace {

constexpr Duration WindowLength = std::chrono::seconds(60);

} // namespace

Duration TransitEstimator::delay(std::int64_t sentNs, TimePoint now)
{
    rollWindow(now);
    const std::int64_t transit = now.time_since_epoch().count() - sentNs;
    m_current = std::min(m_current.value_or(transit), transit);
    const std::int64_t smallest = std::min(*m_current, m_previous.value_or(*m_current));
    return Duration(transit - smallest);
}

void TransitEstimator::rollWindow(TimePoint now)
{
    if (now - m_windowStart < WindowLength)
        return;
    if (m_current)
        m_previous = m_current;
    m_current.reset();
    m_windowStart = now;
}

} // namespace gentianramp
