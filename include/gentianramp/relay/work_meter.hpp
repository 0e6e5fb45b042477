#pragma once

#include <gentianramp/core/clock.hpp>

namespace gentianramp {

/// Measures an amount of work per second, averaged exponentially over about a second.
class WorkMeter
{
public:
    void add(double amount, TimePoint now);
    double perSecond(TimePoint now) const;

private:
    double m_amount = 0; ///< Decayed sum as of m_at.
    TimePoint m_at{};
};

} // namespace gentianramp
