#pragma once

#include <atomic>
#include <cstdint>

namespace gentianramp {

/// Expected length of an answer.
struct OutputLength
{
    double mean = 0;   ///< Tokens.
    double spread = 0; ///< Mean absolute deviation, tokens.
    bool operator==(const OutputLength &) const = default;
};

/// Moving average of the lengths of answers; concurrent updates may lose a sample.
class OutputEstimate
{
public:
    /// @p first is the estimate until the first answer is recorded.
    explicit OutputEstimate(OutputLength first);

    void record(std::uint32_t tokens) noexcept;
    /// Estimate for a request bounded by @p maxTokens (0: unbounded).
    OutputLength estimate(std::uint32_t maxTokens) const noexcept;

private:
    std::atomic<double> m_mean;
    std::atomic<double> m_spread;
    std::atomic<std::uint32_t> m_count{0};
};

} // namespace gentianramp
