#pragma once

#include <gentianramp/core/clock.hpp>
#include <map>
#include <optional>
#include <string>

namespace gentianramp {

/// How much the two stages of a service delay its requests, per second. A delay is the time beyond
/// that at an idle engine, as a share of the latency target of the request.
struct StageDelays
{
    double requests = 0;    ///< Requests with a prompt.
    double prefill = 0;     ///< Sum of the delays of prefills.
    double decode = 0;      ///< Sum of the delays from the prefill to the first event.
    double prefillWork = 0; ///< Engine-milliseconds of prefill, at the rate of an idle engine.
    double streams = 0;     ///< Streams being decoded; not per second.
    bool operator==(const StageDelays &) const = default;
};

/// Delays by service.
using ServiceDelays = std::map<std::string, StageDelays>;

void addDelays(ServiceDelays &sum, const ServiceDelays &delays);

/// Exponentially weighted mean of a service's delays since its last change.
class SmoothedDelays
{
public:
    /// @p timeConstant is the age at which an observation has lost two thirds of its weight. The
    /// first @p ignoredTime after idle times or reset() is ignored.
    SmoothedDelays(Duration timeConstant, Duration ignoredTime);

    void observe(const StageDelays &delays, TimePoint now);
    /// Forgets all observations, which no longer apply after a change.
    void reset();
    /// Whether there was any request yet.
    bool everBusy() const { return m_everBusy; }
    /// Mean of the observations, of which the recent ones count most; no value before they cover
    /// the time constant.
    std::optional<StageDelays> mean() const;

private:
    Duration m_timeConstant;
    Duration m_ignoredTime;
    TimePoint m_observedAt{};
    bool m_everBusy = false;
    Duration m_busyTime{}; ///< Since the service was idle, or since the reset.
    StageDelays m_weighted;
    double m_weight = 0; ///< Sum of the weights in m_weighted.
};

} // namespace gentianramp
