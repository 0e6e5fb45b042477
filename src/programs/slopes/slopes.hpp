#pragma once

#include <cstdint>

namespace gentianramp {

/// Choice of a backend server and its accounting, over the backend servers of a data centre.
void measureRouter(std::uint64_t seed);
/// Exchange of customers' limits between entry instances.
void measureLimits(std::uint64_t seed);
/// Demand summaries, over the number of services.
void measureDemand();
/// Size of the declared configuration and cost of reading it, over its backend servers.
void measureConfiguration();
/// Size of the fleet table of a data centre, over its backend servers.
void measureFleet();
/// Claims of idempotency keys, over the number of remembered keys.
void measureKeys(std::uint64_t seed);

} // namespace gentianramp
