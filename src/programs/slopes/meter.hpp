#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace gentianramp {

/// A measured value at one size.
struct SlopePoint
{
    double size = 0;
    double value = 0;
};

/// Straight line through measured points by least squares.
struct SlopeFit
{
    double intercept = 0;
    double slope = 0;
    /// Largest distance of a point from the line, as a share of the largest value.
    double worstResidual = 0;
};

SlopeFit fitLine(const std::vector<SlopePoint> &points);

/// Processor time of this thread, in seconds.
double threadCpuSeconds();
/// Bytes that the process holds on its heap.
std::uint64_t heapBytes();

/// Processor microseconds that one of @p rounds calls of @p work takes.
double cpuMicroseconds(int rounds, const std::function<void()> &work);

/// Prints "figure NAME.at_SIZE VALUE UNIT" for each point, then the fit as NAME.intercept,
/// NAME.slope and NAME.worst_residual.
void printSlope(const std::string &name, const std::string &unit,
                const std::vector<SlopePoint> &points);

} // namespace gentianramp
