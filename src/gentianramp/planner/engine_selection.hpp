#pragma once

#include <gentianramp/planner/role_policy.hpp>
#include <optional>

#include "gentianramp/planner/role_mix.hpp"

namespace gentianramp {

/// Number of engines by the role that they have or are changing to. Engines that are unreachable,
/// leaving or draining count only during a role change.
RoleMix plannedMix(const PlanInput &input);

/// Number of role changes in progress.
std::uint32_t ongoingChanges(const PlanInput &input);

/// Engine time, in seconds, that a role change of this engine costs: the change, the lost cache and
/// the drain.
double lostEngineSeconds(const EngineStatus &engine, const PlannerSettings &settings);

/// Engine in @p role whose role change costs least; empty when none may change now.
std::optional<EngineStatus> cheapestEngine(const PlanInput &input, EngineRole role);

} // namespace gentianramp
