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

/// State of an engine that a role policy reads.
struct EngineStatus
{
    BackendView view;
    EngineRole targetRole = EngineRole::Mixed; ///< Differs from the role during a change.
    TimePoint roleSince{};                     ///< When the engine last began to serve in its role.
    double cachedTokens = 0;                   ///< Prefix cache that a role change would lose.
    double outstandingOutputTokens = 0;        ///< Have to drain before a role change.
    bool operator==(const EngineStatus &) const = default;
};

/// Input of a role policy: the engines of one service in one data centre.
struct PlanInput
{
    TimePoint now{};
    std::vector<EngineStatus> engines;
    AggregateDemand demand; ///< By the newest sample of each entry instance.
    PlannerSettings settings;
};

/// Order to drain an engine and then give it another role.
struct RoleChange
{
    BackendId backend;
    EngineRole role = EngineRole::Mixed;
    bool operator==(const RoleChange &) const = default;
};

/// Returns the role changes to begin now; called about once a second for each service. May keep
/// state between calls.
using RolePolicy = std::function<std::vector<RoleChange>(const PlanInput &)>;

/// Options of the threshold policy.
struct ThresholdOptions
{
    double highUtilisation = 0.85; ///< Above it prefill or decode gets another engine.
    double lowUtilisation = 0.6;   ///< Below it prefill or decode may give up an engine.
    Duration changeInterval = std::chrono::seconds(5); ///< Minimum time between two changes.
};

/// Options of the model-predictive policy.
struct PredictiveOptions
{
    Duration historyWindow = std::chrono::seconds(60); ///< Older demand is ignored.
    Duration decayTime = std::chrono::seconds(20); ///< Age at which the weight of demand is 1/e.
    double prefillEfficiency = 0.85; ///< Share of its rated speed that a prefill engine reaches.
    double headroom = 1.15; ///< Ratio of capacity to demand at which all answers are in time.
};

/// Never changes a role.
RolePolicy makeStaticPolicy();
/// Moves one engine at a time to prefill or decode when its utilisation is above a threshold.
RolePolicy makeThresholdPolicy(ThresholdOptions options = {});
/// Predicts demand over the horizon and changes roles if the answers gained in it exceed the cost:
/// the answers lost with an engine's capacity and cache, plus the operator's weight for each
/// change.
RolePolicy makePredictivePolicy(PredictiveOptions options = {});

} // namespace gentianramp
