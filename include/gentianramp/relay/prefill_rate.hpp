#pragma once

#include <cstdint>
#include <gentianramp/relay/quantile_estimate.hpp>
#include <optional>

namespace gentianramp {

/// Estimates how many prompt tokens an engine of a service prefills per millisecond, from the times
/// of prefills at engines that seemed idle. Other instances may have kept such an engine busy, so
/// the estimate is an upper quantile. Only the longest prefills count, since the time of short ones
/// is mostly that of the call.
class PrefillRate
{
public:
    /// A prefill of @p tokens that were in no KV cache took @p ms milliseconds.
    void observe(std::uint32_t tokens, double ms);
    /// Tokens per millisecond; no value before the first observation.
    std::optional<double> tokensPerMs() const { return m_rate.value(); }

private:
    double m_meanTokens = 0; ///< Mean length of the observed prefills.
    QuantileEstimate m_rate{0.75};
};

} // namespace gentianramp
