#pragma once

#include <optional>

namespace gentianramp {

/// Estimates a quantile of positive values without storing them: each value moves the estimate up
/// or down by a factor that shrinks with their number.
class QuantileEstimate
{
public:
    /// @p quantile is between 0 and 1.
    explicit QuantileEstimate(double quantile);

    /// Ignores values that are not positive.
    void observe(double value);
    /// Forgets earlier values.
    void reset() { m_log.reset(); }
    std::optional<double> value() const;

private:
    double m_quantile;
    std::optional<double> m_log; ///< Logarithm of the estimate.
    int m_steps = 0;
};

} // namespace gentianramp
