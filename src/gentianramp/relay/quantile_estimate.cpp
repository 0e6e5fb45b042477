#include <gentianramp/relay/quantile_estimate.hpp>

#include <algorithm>
#include <cmath>

namespace gentianramp {

namespace {

/// Change of the estimate's logarithm with one value, at first and later.
constexpr double FirstStep = 0.5;
constexpr double MinStep = 0.02;

} // namespace

QuantileEstimate::QuantileEstimate(double quantile)
    : m_quantile(quantile)
{ }

void QuantileEstimate::observe(double value)
{
    if (!(value > 0))
        return;
    const double log = std::log(value);
    if (!m_log) {
        m_log = log;
        m_steps = 0;
        return;
    }
    const double step = std::max(FirstStep / ++m_steps, MinStep);
    *m_log += step * (log > *m_log ? m_quantile : m_quantile - 1);
}

std::optional<double> QuantileEstimate::value() const
{
    return m_log ? std::optional<double>(std::exp(*m_log)) : std::nullopt;
}

} // namespace gentianramp
