#pragma once

#include <cstdint>

namespace gentianramp {

/// Options of the measure of the choice of backend servers.
struct RoutingOptions
{
    std::uint64_t seed = 1;
    double load = 0.8; ///< Factor on the rate of arrivals.
    unsigned threads = 3;
};

/// Compares the Router with round robin and least connections; returns the exit status.
int runRoutingMeasure(const RoutingOptions &options);

} // namespace gentianramp
