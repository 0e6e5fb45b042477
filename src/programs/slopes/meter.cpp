#include "meter.hpp"

#include <algorithm>
#include <cmath>
#include <ctime>
#include <iostream>
#include <malloc.h>

namespace gentianramp {

SlopeFit fitLine(const std::vector<SlopePoint> &points)
{
    const auto count = static_cast<double>(points.size());
    double sumSize = 0;
    double sumValue = 0;
    double sumSquare = 0;
    double sumProduct = 0;
    for (const SlopePoint &point : points) {
        sumSize += point.size;
        sumValue += point.value;
        sumSquare += point.size * point.size;
        sumProduct += point.size * point.value;
    }
    SlopeFit fit;
    fit.slope = (count * sumProduct - sumSize * sumValue) / (count * sumSquare - sumSize * sumSize);
    fit.intercept = (sumValue - fit.slope * sumSize) / count;
    double largest = 0;
    for (const SlopePoint &point : points) {
        const double expected = fit.intercept + fit.slope * point.size;
        fit.worstResidual = std::max(fit.worstResidual, std::abs(point.value - expected));
        largest = std::max(largest, std::abs(point.value));
    }
    fit.worstResidual = largest > 0 ? fit.worstResidual / largest : 0;
    return fit;
}

double threadCpuSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

std::uint64_t heapBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

double cpuMicroseconds(int rounds, const std::function<void()> &work)
{
    const double before = threadCpuSeconds();
    for (int round = 0; round < rounds; ++round)
        work();
    return (threadCpuSeconds() - before) * 1e6 / rounds;
}

void printSlope(const std::string &name, const std::string &unit,
                const std::vector<SlopePoint> &points)
{
    for (const SlopePoint &point : points)
        std::cout << "figure " << name << ".at_" << point.size << ' ' << point.value << ' ' << unit
                  << '\n';
    const SlopeFit fit = fitLine(points);
    std::cout << "figure " << name << ".intercept " << fit.intercept << ' ' << unit << '\n'
              << "figure " << name << ".slope " << fit.slope << ' ' << unit << "/item\n"
              << "figure " << name << ".worst_residual " << fit.worstResidual << " share\n";
}

} // namespace gentianramp
