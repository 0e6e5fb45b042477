#pragma once

#include <cstdint>
#include <string>

namespace gentianramp {

/// Options of the measure of role policies.
struct ShiftOptions
{
    std::uint64_t seed = 1;
    double load = 1; ///< Factor on the rate of arrivals.
    unsigned threads = 3;
    std::string results; ///< Folder for the trace and the result files; empty: none.
};

/// Runs all role policies on both deployments' traces and prints figures; returns the exit status.
int runShiftMeasure(const ShiftOptions &options);

} // namespace gentianramp
