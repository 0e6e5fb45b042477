#pragma once

#include <gentianramp/core/clock.hpp>
#include <optional>

namespace gentianramp {

/// Reckons how long a message was under way although the two clocks have no common zero.
///
/// The smallest difference of receive and send time over the last one to two windows stands for an
/// undelayed message; what a message took beyond it is its delay. Windows follow clock drift.
class TransitEstimator
{
public:
    /// Delay of a message sent at @p sentNs on the sender's clock and received at @p now.
    Duration delay(std::int64_t sentNs, TimePoint now);

    /// True when at least one message was seen.
    bool hasBaseline() const { return m_current.has_value() || m_previous.has_value(); }

private:
    void rollWindow(TimePoint now);

    TimePoint m_windowStart;
    std::optional<std::int64_t> m_current;
    std::optional<std::int64_t> m_previous;
};

} // namespace gentianramp
