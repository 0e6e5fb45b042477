#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <gentianramp/planner/role_policy.hpp>
#include <memory>

#include "gentianramp/planner/engine_selection.hpp"

namespace gentianramp {
namespace {

constexpr std::size_t MaxPlannedChanges = 4; ///< Largest number of role changes in one plan.
constexpr std::array Roles{EngineRole::Mixed, EngineRole::Prefill, EngineRole::Decode};

double seconds(Duration value)
{
    return std::chrono::duration<double>(value).count();
}

/// Possible demand over the horizon.
struct Scenario
{
    double requests = 0; ///< Per second.
    TokenRates tokens;
};

struct WeightedScenario
{
    Scenario scenario;
    double weight = 0; ///< All weights add up to 1.
};

/// Demand expected over the horizon, as a distribution.
using Forecast = std::vector<WeightedScenario>;

/// Role change of one engine.
struct Step
{
    EngineRole from = EngineRole::Mixed;
    EngineRole to = EngineRole::Mixed;
};

/// Steps from one mix to the other, in which each engine changes at most once.
std::vector<Step> stepsBetween(const RoleMix &current, const RoleMix &target)
{
    std::vector<EngineRole> surplus;
    std::vector<EngineRole> missing;
    for (const EngineRole role : Roles) {
        for (std::uint32_t i = target.count(role); i < current.count(role); ++i)
            surplus.push_back(role);
        for (std::uint32_t i = current.count(role); i < target.count(role); ++i)
            missing.push_back(role);
    }
    std::vector<Step> steps;
    steps.reserve(surplus.size());
    for (std::size_t i = 0; i < surplus.size(); ++i)
        steps.push_back({surplus[i], missing[i]});
    return steps;
}

RoleMix applyStep(RoleMix mix, const Step &step)
{
    --mix.count(step.from);
    ++mix.count(step.to);
    return mix;
}

class PredictivePolicy
{
public:
    explicit PredictivePolicy(PredictiveOptions options)
        : m_options(options)
    { }

    std::vector<RoleChange> decide(const PlanInput &input)
    {
        observe(input);
        if (input.engines.empty() || ongoingChanges(input) >= input.settings.maxChangesAtOnce)
            return {};
        const Forecast forecast = predict(input);
        const RoleMix current = plannedMix(input);
        const RoleMix target = bestMix(input, forecast, current);
        return selectChanges(input, forecast, current, target);
    }

private:
    void observe(const PlanInput &input)
    {
        m_observations.push_back(
            {input.now,
             {input.demand.requestsPerSecond,
              {input.demand.promptTokensPerSecond, input.demand.outputTokensPerSecond}}});
        while (m_observations.front().at + m_options.historyWindow < input.now)
            m_observations.pop_front();
    }

    /// Forecasts that each observation of the history window recurs, with a weight that decays with
    /// its age, and spreads waiting work over the horizon. The forecast is a distribution because a
    /// mix has to suit the variation of demand, not only its average.
    Forecast predict(const PlanInput &input) const
    {
        const double horizon = seconds(input.settings.horizon);
        Forecast forecast;
        double totalWeight = 0;
        for (const Observation &observation : m_observations) {
            const double weight
                = std::exp(-seconds(input.now - observation.at) / seconds(m_options.decayTime));
            Scenario scenario = observation.demand;
            scenario.tokens.promptTokens += input.demand.waitingPromptTokens / horizon;
            scenario.tokens.outputTokens += input.demand.waitingOutputTokens / horizon;
            forecast.push_back({scenario, weight});
            totalWeight += weight;
        }
        for (WeightedScenario &scenario : forecast)
            scenario.weight /= totalWeight;
        return forecast;
    }

    /// Expected answers per second that the mix completes in time.
    double answersPerSecond(const RoleMix &mix, const Forecast &forecast,
                            const BackendView &engine) const
    {
        double answers = 0;
        for (const auto &[scenario, weight] : forecast) {
            const double share = carriedShare(mix, scenario.tokens, engine, m_options.headroom,
                                              m_options.prefillEfficiency);
            answers += weight * scenario.requests * share;
        }
        return answers;
    }

    /// Answers lost by one change that takes an engine out of @p mix.
    double changeCost(const PlanInput &input, const Forecast &forecast, const RoleMix &mix,
                      const Step &step, const EngineStatus &engine) const
    {
        RoleMix without = mix;
        --without.count(step.from);
        const double rate = answersPerSecond(mix, forecast, engine.view)
            - answersPerSecond(without, forecast, engine.view);
        return input.settings.roleChangeCost + rate * lostEngineSeconds(engine, input.settings);
    }

    /// Additional answers over the horizon after a change to another mix, less those the change
    /// costs.
    double netGain(const PlanInput &input, const Forecast &forecast, const RoleMix &current,
                   const RoleMix &target) const
    {
        const std::vector<Step> steps = stepsBetween(current, target);
        const BackendView &engine = input.engines.front().view;
        const double rounds = std::ceil(static_cast<double>(steps.size())
                                        / std::max(1U, input.settings.maxChangesAtOnce));
        // Mean delay until a change takes effect, when the changes run in equal rounds.
        const double delay = seconds(input.settings.roleChangeTime) * (rounds + 1) / 2;
        const double effectiveSeconds = std::max(0.0, seconds(input.settings.horizon) - delay);
        double gain = effectiveSeconds
            * (answersPerSecond(target, forecast, engine)
               - answersPerSecond(current, forecast, engine));
        for (const Step &step : steps) {
            const std::optional<EngineStatus> chosen = cheapestEngine(input, step.from);
            if (!chosen)
                return 0;
            gain -= changeCost(input, forecast, current, step, *chosen);
        }
        return gain;
    }

    RoleMix bestMix(const PlanInput &input, const Forecast &forecast, const RoleMix &current) const
    {
        RoleMix best = current;
        double bestGain = 0;
        const std::uint32_t total = current.total();
        for (std::uint32_t prefill = 0; prefill <= total; ++prefill) {
            for (std::uint32_t decode = 0; prefill + decode <= total; ++decode) {
                const RoleMix mix{total - prefill - decode, prefill, decode};
                if (mix.prefill == total || stepsBetween(current, mix).size() > MaxPlannedChanges)
                    continue;
                const double gain = netGain(input, forecast, current, mix);
                if (gain <= bestGain)
                    continue;
                bestGain = gain;
                best = mix;
            }
        }
        return best;
    }

    /// Role changes to begin now: those with the greatest immediate gain, as many as the limit on
    /// concurrent changes allows.
    std::vector<RoleChange> selectChanges(const PlanInput &input, const Forecast &forecast,
                                          const RoleMix &current, const RoleMix &target) const
    {
        std::vector<Step> steps = stepsBetween(current, target);
        std::ranges::stable_sort(steps, std::ranges::greater{}, [&](const Step &step) {
            return answersPerSecond(applyStep(current, step), forecast, input.engines.front().view);
        });
        PlanInput remaining = input;
        std::uint32_t allowedChanges = input.settings.maxChangesAtOnce - ongoingChanges(input);
        std::vector<RoleChange> changes;
        for (const Step &step : steps) {
            if (allowedChanges == 0)
                break;
            const std::optional<EngineStatus> engine = cheapestEngine(remaining, step.from);
            if (!engine)
                continue;
            changes.push_back({engine->view.id, step.to});
            std::erase(remaining.engines, *engine);
            --allowedChanges;
        }
        return changes;
    }

    struct Observation
    {
        TimePoint at{};
        Scenario demand;
    };

    PredictiveOptions m_options;
    std::deque<Observation> m_observations;
};

} // namespace

RolePolicy makePredictivePolicy(PredictiveOptions options)
{
    auto policy = std::make_shared<PredictivePolicy>(options);
    return [policy](const PlanInput &input) { return policy->decide(input); };
}

} // namespace gentianramp
