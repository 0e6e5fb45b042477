#include "programs/replay/routing_measure.hpp"

#include <algorithm>
#include <gentianramp/replay/virtual_replay.hpp>
#include <iostream>
#include <string>
#include <vector>

#include "programs/replay/parallel.hpp"

namespace gentianramp {
namespace {

constexpr Duration TraceLength = std::chrono::seconds(300);

/// One way to choose on one trace.
struct Run
{
    std::string name;
    VirtualReplayOptions options;
    ReplayResult result;
};

/// Every instance goes through the engines in turn.
BaselineChoice roundRobin()
{
    return
        [turns = std::vector<std::size_t>()](std::size_t entry, const auto &outstanding) mutable {
            turns.resize(std::max(turns.size(), entry + 1), entry);
            return turns[entry]++ % outstanding.size();
        };
}

/// The engine at which the instance itself has the fewest requests, the first of equals.
std::size_t leastConnections(std::size_t, const std::vector<std::uint32_t> &outstanding)
{
    return static_cast<std::size_t>(std::ranges::min_element(outstanding) - outstanding.begin());
}

void printRun(const std::string &prefix, const ReplayResult &result)
{
    const auto figure = [&prefix](const char *name, double value, const char *unit) {
        std::cout << "figure " << prefix << name << ' ' << value << ' ' << unit << '\n';
    };
    figure(".first_token_p99_ms",
           static_cast<double>(toMilliseconds(result.firstTokenQuantile(0.99))), "ms");
    figure(".cache_hit_share",
           static_cast<double>(result.cachedTokens) / static_cast<double>(result.promptTokens),
           "ratio");
    figure(".largest_pile_up", result.largestPileUp, "requests");
    figure(".goodput_per_s", result.goodput(TraceLength), "1/s");
    figure(".late", static_cast<double>(result.count(OutcomeKind::Late)), "requests");
    figure(".refused", static_cast<double>(result.count(OutcomeKind::Refused)), "requests");
}

bool measureDeployment(Deployment deployment, const RoutingOptions &options)
{
    const Trace trace = generateTrace({deployment, TraceLength, options.load}, options.seed);
    const VirtualReplayOptions ours{.fleet = replayFleet(deployment), .seed = options.seed};
    std::vector<Run> runs{
        {"round_robin", ours, {}}, {"least_connections", ours, {}}, {"ours", ours, {}}};
    runs[0].options.baseline = roundRobin();
    runs[1].options.baseline = leastConnections;
    runInParallel(runs.size(), options.threads, [&](std::size_t number) {
        runs[number].result = replayVirtually(trace, runs[number].options);
    });
    bool whole = true;
    for (const Run &run : runs) {
        std::string prefix = "routing.";
        prefix.append(trace.name).append(".").append(run.name);
        printRun(prefix, run.result);
        whole = whole && run.result.count(OutcomeKind::Cut) == 0
            && run.result.count(OutcomeKind::Unknown) == 0;
    }
    return whole;
}

} // namespace

int runRoutingMeasure(const RoutingOptions &options)
{
    bool whole = true;
    for (const Deployment deployment : {Deployment::Zilina, Deployment::Kyushu})
        whole = measureDeployment(deployment, options) && whole;
    return whole ? 0 : 1;
}

} // namespace gentianramp
