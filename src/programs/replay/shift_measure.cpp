#include "programs/replay/shift_measure.hpp"

#include <algorithm>
#include <fstream>
#include <gentianramp/replay/goodput_bound.hpp>
#include <gentianramp/replay/result_file.hpp>
#include <gentianramp/replay/virtual_replay.hpp>
#include <iostream>
#include <string>
#include <vector>

#include "programs/replay/parallel.hpp"

namespace gentianramp {
namespace {

constexpr Duration TraceLength = std::chrono::seconds(600);
constexpr double KyushuChangeWeight = 2; ///< Answers that one change must bring.
constexpr double ZilinaChangeWeight = 8; ///< Cars wait at the barrier during a change.

/// One replay of the measure.
struct Run
{
    std::string policy;
    VirtualReplayOptions options;
    ReplayResult result;
};

PlannerSettings plannerSettings(Deployment deployment)
{
    PlannerSettings settings;
    settings.roleChangeCost
        = deployment == Deployment::Kyushu ? KyushuChangeWeight : ZilinaChangeWeight;
    return settings;
}

std::vector<EngineRole> rolesOf(std::uint32_t prefill, std::uint32_t decode, std::uint32_t engines)
{
    std::vector<EngineRole> roles(engines, EngineRole::Mixed);
    std::fill_n(roles.begin(), prefill, EngineRole::Prefill);
    std::fill_n(roles.begin() + prefill, decode, EngineRole::Decode);
    return roles;
}

/// Every fixed split of a data centre's engines, then the policies that change roles.
std::vector<Run> runsFor(Deployment deployment, std::uint64_t seed)
{
    VirtualReplayOptions options{
        .fleet = replayFleet(deployment), .settings = plannerSettings(deployment), .seed = seed};
    const std::uint32_t engines = options.fleet.enginesPerSite;
    std::vector<Run> runs;
    for (std::uint32_t prefill = 0; prefill < engines; ++prefill) {
        for (std::uint32_t decode = 0; prefill + decode <= engines; ++decode) {
            options.roles = rolesOf(prefill, decode, engines);
            runs.push_back({"static", options, {}});
        }
    }
    options.roles = rolesOf(0, 0, engines);
    options.makePolicy = [] { return makeThresholdPolicy(); };
    runs.push_back({"threshold", options, {}});
    options.makePolicy = [] { return makePredictivePolicy(); };
    runs.push_back({"planner", options, {}});
    // From a split that does not suit the load, to show that the planner leaves it.
    options.roles = rolesOf(engines / 2, engines - engines / 2, engines);
    runs.push_back({"planner_from_split", options, {}});
    options.makePolicy = makeStaticPolicy;
    runs.push_back({"split", options, {}});
    return runs;
}

const Run &bestOf(const std::vector<Run> &runs, const std::string &policy)
{
    const Run *best = nullptr;
    for (const Run &run : runs) {
        if (run.policy != policy)
            continue;
        if (best == nullptr
            || run.result.count(OutcomeKind::Timely) > best->result.count(OutcomeKind::Timely))
            best = &run;
    }
    return *best;
}

void printFigure(const std::string &name, double value, const std::string &unit)
{
    std::cout << "figure " << name << ' ' << value << ' ' << unit << '\n';
}

/// Prints the figures of one policy; false when an answer was cut or got lost.
bool printRun(const std::string &prefix, const ReplayResult &result)
{
    const auto count
        = [&result](OutcomeKind kind) { return static_cast<double>(result.count(kind)); };
    printFigure(prefix + ".goodput_per_s", result.goodput(TraceLength), "1/s");
    printFigure(prefix + ".role_changes", result.roleChanges, "changes");
    printFigure(prefix + ".late", count(OutcomeKind::Late), "requests");
    printFigure(prefix + ".refused", count(OutcomeKind::Refused), "requests");
    printFigure(prefix + ".cut", count(OutcomeKind::Cut), "requests");
    return result.count(OutcomeKind::Cut) == 0 && result.count(OutcomeKind::Unknown) == 0
        && result.count(OutcomeKind::Wrong) == 0;
}

void writeFile(const std::string &path, const std::string &text)
{
    std::ofstream(path) << text;
}

/// Writes the trace and the best run of each policy, for gentianramp-replay report.
void writeResults(const std::string &folder, const Trace &trace, const std::vector<Run> &runs)
{
    std::string prefix = folder;
    prefix.append("/").append(trace.name);
    writeFile(prefix + ".trace", formatTrace(trace));
    for (const std::string policy : {"static", "threshold", "planner"}) {
        ReplayResult result = bestOf(runs, policy).result;
        result.name = policy;
        std::string path = prefix;
        path.append(".").append(policy).append(".result");
        writeFile(path, formatResult(result));
    }
}

bool measureDeployment(Deployment deployment, const ShiftOptions &options)
{
    const Trace trace = generateTrace({deployment, TraceLength, options.load}, options.seed);
    std::vector<Run> runs = runsFor(deployment, options.seed);
    double bound = 0;
    runInParallel(runs.size() + 1, options.threads, [&](std::size_t number) {
        if (number == 0)
            bound = timelyAnswersBound(trace, replayFleet(deployment));
        else
            runs[number - 1].result = replayVirtually(trace, runs[number - 1].options);
    });
    const std::string prefix = "shift." + trace.name;
    const double length = std::chrono::duration<double>(TraceLength).count();
    bool whole = true;
    for (const std::string policy :
         {"static", "threshold", "planner", "split", "planner_from_split"}) {
        std::string name = prefix;
        name.append(".").append(policy);
        whole = printRun(name, bestOf(runs, policy).result) && whole;
    }
    printFigure(prefix + ".bound.goodput_per_s", bound / length, "1/s");
    printFigure(prefix + ".offered_per_s", static_cast<double>(trace.requests.size()) / length,
                "1/s");
    const double reached = bestOf(runs, "planner").result.goodput(TraceLength) * length / bound;
    printFigure(prefix + ".planner.share_of_bound", reached, "ratio");
    if (!options.results.empty())
        writeResults(options.results, trace, runs);
    return whole;
}

} // namespace

int runShiftMeasure(const ShiftOptions &options)
{
    bool whole = true;
    for (const Deployment deployment : {Deployment::Zilina, Deployment::Kyushu})
        whole = measureDeployment(deployment, options) && whole;
    return whole ? 0 : 1;
}

} // namespace gentianramp
