#pragma once

#include <cstdint>
#include <functional>
#include <gentianramp/config/declared_configuration.hpp>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/ids.hpp>
#include <gentianramp/planner/demand_summary.hpp>
#include <gentianramp/routing/fleet_view.hpp>
#include <vector>

namespace gentianramp {

/// An engine as a role policy sees it.
struct EngineStatus
{
    BackendView view;
    EngineRole targetRole = EngineRole::Mixed; ///< Differs from the role during a change.
    TimePoint roleSince{};                     ///< When it last began to serve in its role.
    double cachedTokens = 0;                   ///< Prefix cache that a change would lose.
    double outstandingOutputTokens = 0;        ///< Has to drain before a change.
    bool operator==(const EngineStatus &) const = default;
};

/// What a role policy decides on: the engines of one service in one data centre.
struct PlanInput
{
    TimePoint now{};
    std::vector<EngineStatus> engines;
    ServiceRates demand; ///< Since the last call.
    PlannerSettings settings;
};

/// Order to drain an engine and then give it another role.
struct RoleChange
{
    BackendId backend;
    EngineRole role = EngineRole::Mixed;
    bool operator==(const RoleChange &) const = default;
};

/// Decides on role changes to begin now; called about once a second and service. May keep state
/// from call to call.
using RolePolicy = std::function<std::vector<RoleChange>(const PlanInput &)>;

/// Options of the threshold policy.
struct ThresholdOptions
{
    double high = 0.85; ///< Utilisation above which a phase gets another engine.
    double low = 0.6;   ///< Utilisation below which it may give one up.
    Duration pause = std::chrono::seconds(5); ///< Between two changes.
};

/// Options of the model-predictive policy.
struct PredictiveOptions
{
    Duration memory = std::chrono::seconds(60); ///< Demand seen longer ago does not count.
    Duration fade = std::chrono::seconds(20);   ///< Age at which demand counts a third.
    double prefillEfficiency = 0.85; ///< Share of its rate that a prefill engine reaches.
    double headroom = 1.15;          ///< Capacity over demand at which all answers are in time.
};

/// Never changes a role.
RolePolicy makeStaticPolicy();
/// Moves one engine at a time towards the phase whose utilisation is above a threshold.
RolePolicy makeThresholdPolicy(ThresholdOptions options = {});
/// Predicts demand over the horizon and changes a role where the answers gained outweigh the
/// capacity and cache lost and the operator's weight.
RolePolicy makePredictivePolicy(PredictiveOptions options = {});

} // namespace gentianramp
