#pragma once

#include <cstddef>
#include <functional>
#include <span>

namespace gentianramp {

/// A server that may take a request, as known at this instance.
struct PlaceCandidate
{
    double slots = 1;  ///< Requests that it runs concurrently.
    double taken = 0;  ///< Requests that run or wait there, as far as known.
    double costMs = 0; ///< Further delay or penalty of a request there.
    bool operator==(const PlaceCandidate &) const = default;
};

/// Returns uniformly distributed numbers in [0, 1).
using RandomHook = std::function<double()>;

/// Expected milliseconds that a request waits for one of @p slots slots of which @p taken are
/// taken, each for @p slotMs on average: the time until enough requests have ended if all are
/// taken, otherwise the mean wait at a group of servers that is so busy on average (Sakasegawa's
/// approximation).
double slotWaitMs(double slots, double taken, double slotMs);

/// Chooses one of @p candidates, which must not be empty. Answers the load of many instances that
/// see the same reports: were each to choose the server that looks least loaded, all requests until
/// the next report would go there. So servers are drawn at random in proportion to their free
/// slots, which fills all of them at the same time. A server with a higher cost is drawn less; how
/// much less depends on the wait that all servers together have to expect, so that costs decide
/// while nothing waits and free slots decide when slots are scarce.
std::size_t choosePlace(std::span<const PlaceCandidate> candidates, double slotMs,
                        const RandomHook &random);

} // namespace gentianramp
