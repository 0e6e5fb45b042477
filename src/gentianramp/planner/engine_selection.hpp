#pragma once

#include <gentianramp/planner/role_policy.hpp>
#include <optional>

#include "gentianramp/planner/role_mix.hpp"

namespace gentianramp {

/// Roles that the engines have or are changing to; engines that drain or left do not count.
RoleMix plannedMix(const PlanInput &input);

/// Changes that are under way.
std::uint32_t changesUnderWay(const PlanInput &input);

/// Work that a change of this engine would lose, in engine seconds: cache and drain.
double lostEngineSeconds(const EngineStatus &engine, const PlannerSettings &settings);

/// The engine in @p role that loses least by a change; empty when none may change now.
std::optional<EngineStatus> cheapestEngine(const PlanInput &input, EngineRole role);

} // namespace gentianramp
