#include "gentianramp/routing/output_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace gentianramp {
namespace {

constexpr double SmoothingFactor = 0.05;

} // namespace

OutputEstimate::OutputEstimate(OutputLength first)
    : m_mean(first.mean)
    , m_spread(first.spread)
{ }

void OutputEstimate::record(std::uint32_t tokens) noexcept
{
    const std::uint32_t count = m_count.fetch_add(1, std::memory_order_relaxed);
    const double gain = std::max(SmoothingFactor, 1.0 / (1.0 + count));
    const double mean = m_mean.load(std::memory_order_relaxed);
    const double spread = m_spread.load(std::memory_order_relaxed);
    m_mean.store(mean + gain * (tokens - mean), std::memory_order_relaxed);
    m_spread.store(spread + gain * (std::abs(tokens - mean) - spread), std::memory_order_relaxed);
}

OutputLength OutputEstimate::estimate(std::uint32_t maxTokens) const noexcept
{
    OutputLength length{m_mean.load(std::memory_order_relaxed),
                        m_spread.load(std::memory_order_relaxed)};
    if (maxTokens == 0)
        return length;
    length.mean = std::min(length.mean, static_cast<double>(maxTokens));
    // An answer can't exceed maxTokens; the bound on the spread stays at least one token.
    length.spread = std::min(length.spread, maxTokens - length.mean + 1);
    return length;
}

} // namespace gentianramp
