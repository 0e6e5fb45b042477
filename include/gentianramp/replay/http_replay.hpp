#pragma once

#include <cstdint>
#include <gentianramp/core/ids.hpp>
#include <gentianramp/http/client.hpp>
#include <gentianramp/replay/outcome.hpp>
#include <gentianramp/replay/trace.hpp>
#include <string>
#include <unordered_map>
#include <vector>

namespace gentianramp {

/// How callers address a service of the trace.
struct ServiceTarget
{
    std::string model; ///< For a model service.
    std::string path;  ///< For a plain service.
    bool operator==(const ServiceTarget &) const = default;
};

/// Options of a replay against entry instances.
struct HttpReplayOptions
{
    std::vector<HttpAddress> entries;
    std::unordered_map<CustomerId, std::string> bearerKeys;
    std::string defaultBearerKey; ///< For customers without a key of their own.
    std::unordered_map<ServiceId, ServiceTarget> targets; ///< Others: the model of that name.
    double speed = 1;                                     ///< Factor on the speed of arrivals.
    std::string runName = "r1";   ///< Part of every request id; different for each run.
    std::uint64_t seed = 1;       ///< Of the choice of entry instances.
    std::uint32_t maxOpen = 2000; ///< Further requests wait until one ends.
};

/// Sends the requests of a trace to entry instances at their times and checks every answer.
/// Runs until all have ended.
ReplayResult replayOverHttp(const Trace &trace, const HttpReplayOptions &options);

} // namespace gentianramp
