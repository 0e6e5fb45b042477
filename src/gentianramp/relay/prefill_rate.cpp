#include <gentianramp/relay/prefill_rate.hpp>

namespace gentianramp {

namespace {

/// Prefills longer than the observed ones by this factor replace the estimate, and those shorter by
/// it are ignored.
constexpr double LengthFactor = 2;
/// Weight of one observation in the mean length of the observed prefills.
constexpr double MeanWeight = 0.05;

} // namespace

void PrefillRate::observe(std::uint32_t tokens, double ms)
{
    if (tokens == 0 || ms <= 0)
        return;
    if (tokens >= LengthFactor * m_meanTokens) {
        m_rate.reset();
        m_meanTokens = tokens;
    }
    if (tokens * LengthFactor < m_meanTokens)
        return;
    m_meanTokens += MeanWeight * (tokens - m_meanTokens);
    m_rate.observe(tokens / ms);
}

} // namespace gentianramp
