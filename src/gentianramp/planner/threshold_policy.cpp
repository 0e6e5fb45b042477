#include <algorithm>
#include <gentianramp/planner/role_policy.hpp>
#include <gentianramp/routing/role_speed.hpp>
#include <memory>

#include "gentianramp/planner/engine_selection.hpp"

namespace gentianramp {
namespace {

constexpr double BacklogSeconds = 5; ///< Time in which waiting work should be completed.

/// Utilisation of the engines' prefill and decode rates. Mixed engines count half for each.
struct Utilisation
{
    double prefill = 0;
    double decode = 0;
};

Utilisation utilisationOf(const PlanInput &input, const RoleMix &mix)
{
    const BackendView &engine = input.engines.front().view;
    const double prefill = mix.prefill * prefillRate(engine, EngineRole::Prefill)
        + mix.mixed * prefillRate(engine, EngineRole::Mixed) / 2;
    const double decode = mix.decode * decodeRate(engine, EngineRole::Decode)
        + mix.mixed * decodeRate(engine, EngineRole::Mixed) / 2;
    const AggregateDemand &demand = input.demand;
    return {(demand.promptTokensPerSecond + demand.waitingPromptTokens / BacklogSeconds)
                / std::max(1.0, prefill),
            (demand.outputTokensPerSecond + demand.waitingOutputTokens / BacklogSeconds)
                / std::max(1.0, decode)};
}

std::vector<RoleChange> changeEngine(const PlanInput &input, EngineRole from, EngineRole to)
{
    std::optional<EngineStatus> engine = cheapestEngine(input, from);
    if (!engine)
        engine = cheapestEngine(input, EngineRole::Mixed);
    if (!engine)
        return {};
    return {{engine->view.id, to}};
}

class ThresholdPolicy
{
public:
    explicit ThresholdPolicy(ThresholdOptions options)
        : m_options(options)
    { }

    std::vector<RoleChange> decide(const PlanInput &input)
    {
        if (input.engines.empty() || input.now < m_nextChangeAt
            || ongoingChanges(input) >= input.settings.maxChangesAtOnce)
            return {};
        const RoleMix mix = plannedMix(input);
        const Utilisation utilisation = utilisationOf(input, mix);
        std::vector<RoleChange> changes;
        if (utilisation.prefill > m_options.highUtilisation
            && utilisation.decode < m_options.lowUtilisation && mix.decode + mix.mixed > 1)
            changes = changeEngine(input, EngineRole::Decode, EngineRole::Prefill);
        else if (utilisation.decode > m_options.highUtilisation
                 && utilisation.prefill < m_options.lowUtilisation && mix.prefill + mix.mixed > 1)
            changes = changeEngine(input, EngineRole::Prefill, EngineRole::Decode);
        if (!changes.empty())
            m_nextChangeAt = input.now + m_options.changeInterval;
        return changes;
    }

private:
    ThresholdOptions m_options;
    TimePoint m_nextChangeAt{};
};

} // namespace

RolePolicy makeThresholdPolicy(ThresholdOptions options)
{
    auto policy = std::make_shared<ThresholdPolicy>(options);
    return [policy](const PlanInput &input) { return policy->decide(input); };
}

} // namespace gentianramp
