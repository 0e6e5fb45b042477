#pragma once

#include <cstdint>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/ids.hpp>
#include <vector>

namespace gentianramp {

/// Demand for one service at one priority that one entry instance measured.
struct ServiceDemand
{
    ServiceId service;
    std::uint32_t priority = 0;
    std::uint64_t requests = 0;
    std::uint64_t promptTokens = 0;        ///< With expected cache hits subtracted.
    std::uint64_t cachedTokens = 0;        ///< Expected cache hits.
    std::uint64_t outputTokens = 0;        ///< Estimated at arrival.
    std::uint64_t refused = 0;             ///< Refused for lack of capacity.
    std::uint64_t waitingPromptTokens = 0; ///< Queued at the end of the span.
    std::uint64_t waitingOutputTokens = 0;
    std::uint64_t outstandingPromptTokens = 0; ///< Dispatched, not yet prefilled.
    std::uint64_t outstandingOutputTokens = 0; ///< Dispatched, not yet emitted.
    bool operator==(const ServiceDemand &) const = default;
};

/// Demand at one entry instance over a span of time.
struct DemandSample
{
    InstanceId instance;
    Duration span{};
    std::vector<ServiceDemand> services;
    bool operator==(const DemandSample &) const = default;
};

} // namespace gentianramp
