#include <gentianramp/relay/place_choice.hpp>

#include <algorithm>
#include <cmath>
#include <vector>

namespace gentianramp {

namespace {

/// Free slots that a full server counts with, so that servers are drawn when all are full.
constexpr double MinFreeSlots = 1e-6;
/// Utilization above which the mean wait at a group of servers is not extrapolated.
constexpr double MaxUtilization = 0.95;

/// Delay that makes a server less likely by a factor of e while nothing waits, as a share of the
/// time for which a request takes a slot: a small difference must not leave all load to one server.
constexpr double CostScaleShare = 0.05;
constexpr double MinScaleMs = 1;

/// Milliseconds until enough requests have ended for a new one to get a slot.
double queueWaitMs(double slots, double taken, double slotMs)
{
    return slotMs * std::max(taken + 1 - slots, 0.0) / slots;
}

} // namespace

double slotWaitMs(double slots, double taken, double slotMs)
{
    const double utilization = std::min(taken / slots, MaxUtilization);
    const double mean
        = std::pow(utilization, std::sqrt(2 * (slots + 1)) - 1) / (slots * (1 - utilization));
    return std::max(queueWaitMs(slots, taken, slotMs), slotMs * mean);
}

std::size_t choosePlace(std::span<const PlaceCandidate> candidates, double slotMs,
                        const RandomHook &random)
{
    double slots = 0;
    double taken = 0;
    std::vector<double> delayMs;
    delayMs.reserve(candidates.size());
    for (const PlaceCandidate &candidate : candidates) {
        slots += candidate.slots;
        taken += candidate.taken;
        // Only what certainly waits counts: the mean wait of a server with free slots would send
        // all requests until the next report to the few servers that look least loaded.
        delayMs.push_back(queueWaitMs(candidate.slots, candidate.taken, slotMs) + candidate.costMs);
    }
    const auto count = static_cast<double>(candidates.size());
    const double scaleMs = std::max(MinScaleMs, CostScaleShare * slotMs)
        + slotWaitMs(slots / count, taken / count, slotMs);
    const double minMs = *std::min_element(delayMs.begin(), delayMs.end());
    std::vector<double> cumulated;
    cumulated.reserve(candidates.size());
    double total = 0;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const PlaceCandidate &candidate = candidates[index];
        const double free = std::max(candidate.slots - candidate.taken, MinFreeSlots);
        total += free * std::exp((minMs - delayMs[index]) / scaleMs);
        cumulated.push_back(total);
    }
    const auto found = std::upper_bound(cumulated.begin(), cumulated.end(), random() * total);
    return std::min<std::size_t>(found - cumulated.begin(), candidates.size() - 1);
}

} // namespace gentianramp
