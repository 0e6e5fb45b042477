#pragma once

#include <gentianramp/core/clock.hpp>
#include <optional>

namespace gentianramp {

/// Estimates the delay of messages although the clocks of sender and receiver have different
/// origins.
///
/// The baseline is the smallest difference between receive time and send time in the current and
/// the previous window; it is taken to be that of a message without delay. The delay of a message
/// is its own difference minus the baseline. Old windows are discarded, so that the baseline
/// follows clock drift.
class TransitEstimator
{
public:
    /// Delay of a message sent at @p sentNs on the sender's clock and received at @p now.
    Duration delay(std::int64_t sentNs, TimePoint now);

    /// True once delay() has been called.
    bool hasBaseline() const
    {
        return m_windowMinimum.has_value() || m_previousWindowMinimum.has_value();
    }

private:
    void rollWindow(TimePoint now);

    TimePoint m_windowStart;
    std::optional<std::int64_t> m_windowMinimum;
    std::optional<std::int64_t> m_previousWindowMinimum;
};

} // namespace gentianramp
