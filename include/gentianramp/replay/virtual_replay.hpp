#pragma once

#include <cstdint>
#include <functional>
#include <gentianramp/config/declared_configuration.hpp>
#include <gentianramp/engine/engine_model.hpp>
#include <gentianramp/planner/role_policy.hpp>
#include <gentianramp/replay/outcome.hpp>
#include <gentianramp/replay/trace.hpp>
#include <vector>

namespace gentianramp {

/// Instances and backend servers of a virtual replay; every data centre has the same.
struct ReplayFleet
{
    std::uint32_t sites = 3;
    std::uint32_t entriesPerSite = 3;
    ServiceId modelService;
    std::uint32_t enginesPerSite = 4;
    ServiceId plainService;
    std::uint32_t workersPerSite = 1;
    EngineModelOptions engine;
};

/// The fleet that the users of a deployment have today.
ReplayFleet replayFleet(Deployment deployment);

/// Chooses an engine in place of the Router: number of the entry instance and what it has
/// outstanding at each engine of the service.
using BaselineChoice
    = std::function<std::size_t(std::size_t entry, const std::vector<std::uint32_t> &outstanding)>;

/// Options of a virtual replay.
struct VirtualReplayOptions
{
    ReplayFleet fleet;
    std::vector<EngineRole> roles; ///< Of a data centre's engines at the start.
    PlannerSettings settings;
    std::function<RolePolicy()> makePolicy; ///< One policy for each data centre.
    std::uint32_t choices = 2;              ///< Passed to the Router.
    BaselineChoice baseline;                ///< Empty: the Router chooses.
    std::uint64_t seed = 1;
};

/// Replays a trace through Router and role policy against engine models, in one thread and under
/// a virtual clock.
ReplayResult replayVirtually(const Trace &trace, const VirtualReplayOptions &options);

} // namespace gentianramp
