#pragma once

#include <gentianramp/core/clock.hpp>

namespace gentianramp {

/// A bound on what may be used in a second, with a store for bursts. A use larger than what is
/// stored is allowed once something is stored, and the debt is paid off before the next one.
class TokenBucket
{
public:
    TokenBucket(double tokensPerSecond, double burst);

    /// Uses @p amount unless there is a debt.
    bool take(double amount, TimePoint now);
    /// Time until take() succeeds again; zero when it does now.
    Duration timeUntilAvailable(TimePoint now);

private:
    void refill(TimePoint now);

    double m_tokensPerSecond;
    double m_burst;
    double m_tokens;
    TimePoint m_refilledAt{};
};

} // namespace gentianramp
