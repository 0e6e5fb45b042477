#include <gentianramp/relay/work_meter.hpp>

#include <cmath>

namespace gentianramp {

namespace {

constexpr Duration TimeConstant = std::chrono::seconds(1);

double decay(Duration elapsed)
{
    return std::exp(-std::chrono::duration<double>(elapsed) / TimeConstant);
}

} // namespace

void WorkMeter::add(double amount, TimePoint now)
{
    m_amount = m_amount * decay(now - m_at) + amount;
    m_at = now;
}

double WorkMeter::perSecond(TimePoint now) const
{
    return m_amount * decay(now - m_at) / std::chrono::duration<double>(TimeConstant).count();
}

} // namespace gentianramp
