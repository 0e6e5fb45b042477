#include <gentianramp/registry/token_bucket.hpp>

#include <algorithm>

namespace gentianramp {

namespace {

using Seconds = std::chrono::duration<double>;

} // namespace

TokenBucket::TokenBucket(double tokensPerSecond, double burst)
    : m_tokensPerSecond(tokensPerSecond)
    , m_burst(burst)
    , m_tokens(burst)
{ }

void TokenBucket::refill(TimePoint now)
{
    if (now > m_refilledAt) {
        const double passed = Seconds(now - m_refilledAt).count();
        m_tokens = std::min(m_burst, m_tokens + passed * m_tokensPerSecond);
        m_refilledAt = now;
    }
}

bool TokenBucket::take(double amount, TimePoint now)
{
    refill(now);
    if (m_tokens <= 0)
        return false;
    m_tokens -= amount;
    return true;
}

Duration TokenBucket::timeUntilAvailable(TimePoint now)
{
    refill(now);
    if (m_tokens > 0)
        return Duration::zero();
    // Rounded up, so that the bucket isn't empty once the time has passed.
    return std::chrono::duration_cast<Duration>(Seconds(-m_tokens / m_tokensPerSecond))
        + std::chrono::milliseconds(1);
}

} // namespace gentianramp
