#include "gentianramp/planner/engine_selection.hpp"

#include <algorithm>
#include <gentianramp/routing/role_speed.hpp>

namespace gentianramp {
namespace {

constexpr double CacheReuse = 0.5; ///< Share of cached tokens that would be reused.

bool countsInMix(const EngineStatus &engine)
{
    return engine.view.phase == BackendPhase::Serving || engine.view.phase == BackendPhase::Changing
        || engine.targetRole != engine.view.role;
}

bool mayChange(const EngineStatus &engine, const PlanInput &input)
{
    return engine.view.phase == BackendPhase::Serving && engine.targetRole == engine.view.role
        && engine.roleSince + input.settings.minimumDwell <= input.now;
}

} // namespace

RoleMix plannedMix(const PlanInput &input)
{
    RoleMix mix;
    for (const EngineStatus &engine : input.engines) {
        if (countsInMix(engine))
            ++mix.count(engine.targetRole);
    }
    return mix;
}

std::uint32_t ongoingChanges(const PlanInput &input)
{
    return static_cast<std::uint32_t>(
        std::ranges::count_if(input.engines, [](const EngineStatus &engine) {
            return engine.view.phase == BackendPhase::Changing
                || engine.targetRole != engine.view.role;
        }));
}

double lostEngineSeconds(const EngineStatus &engine, const PlannerSettings &settings)
{
    const double change = std::chrono::duration<double>(settings.roleChangeTime).count();
    const double cache = CacheReuse * engine.cachedTokens
        / std::max(1.0, prefillRate(engine.view, EngineRole::Mixed));
    // While an engine drains, its batch shrinks to zero, so about half of its decode rate is lost.
    const double drain = engine.outstandingOutputTokens
        / std::max(1.0, decodeRate(engine.view, engine.view.role)) / 2;
    return change + cache + drain;
}

std::optional<EngineStatus> cheapestEngine(const PlanInput &input, EngineRole role)
{
    std::optional<EngineStatus> best;
    for (const EngineStatus &engine : input.engines) {
        if (engine.view.role != role || !mayChange(engine, input))
            continue;
        if (!best
            || lostEngineSeconds(engine, input.settings) < lostEngineSeconds(*best, input.settings))
            best = engine;
    }
    return best;
}

} // namespace gentianramp
