#pragma once

#include <gentianramp/core/clock.hpp>

namespace gentianramp {

/// Token bucket that can go into debt: an amount larger than the number of tokens is granted as
/// soon as the bucket isn't empty, and the debt has to be refilled before the next grant.
class TokenBucket
{
public:
    TokenBucket(double tokensPerSecond, double burst);

    /// Takes @p amount tokens; returns false if the bucket is empty or in debt.
    bool take(double amount, TimePoint now);
    /// Time until take() succeeds; zero if it succeeds now.
    Duration timeUntilAvailable(TimePoint now);

private:
    void refill(TimePoint now);

    double m_tokensPerSecond;
    double m_burst;
    double m_tokens;
    TimePoint m_refilledAt{};
};

} // namespace gentianramp
