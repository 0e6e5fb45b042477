#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <gentianramp/planner/role_policy.hpp>
#include <memory>

#include "gentianramp/planner/engine_selection.hpp"

namespace gentianramp {
namespace {

constexpr std::size_t MostSteps = 4; ///< Changes that one plan looks ahead.
constexpr std::array Roles{EngineRole::Mixed, EngineRole::Prefill, EngineRole::Decode};

double seconds(Duration value)
{
    return std::chrono::duration<double>(value).count();
}

/// Demand that a span of time may bring.
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

/// One step from a mix of roles to another.
struct Step
{
    EngineRole from = EngineRole::Mixed;
    EngineRole to = EngineRole::Mixed;
};

/// Steps that lead from one mix to the other, each engine changing once.
std::vector<Step> stepsBetween(const RoleMix &now, const RoleMix &wanted)
{
    std::vector<EngineRole> surplus;
    std::vector<EngineRole> missing;
    for (const EngineRole role : Roles) {
        for (std::uint32_t i = wanted.count(role); i < now.count(role); ++i)
            surplus.push_back(role);
        for (std::uint32_t i = now.count(role); i < wanted.count(role); ++i)
            missing.push_back(role);
    }
    std::vector<Step> steps;
    steps.reserve(surplus.size());
    for (std::size_t i = 0; i < surplus.size(); ++i)
        steps.push_back({surplus[i], missing[i]});
    return steps;
}

RoleMix after(RoleMix mix, const Step &step)
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
        if (input.engines.empty() || changesUnderWay(input) >= input.settings.maxChangesAtOnce)
            return {};
        const Forecast forecast = predict(input);
        const RoleMix now = plannedMix(input);
        const RoleMix wanted = bestMix(input, forecast, now);
        return firstSteps(input, forecast, now, wanted);
    }

private:
    void observe(const PlanInput &input)
    {
        m_seen.push_back(
            {input.now,
             {input.demand.requestsPerSecond,
              {input.demand.promptTokensPerSecond, input.demand.outputTokensPerSecond}}});
        while (m_seen.front().at + m_options.memory < input.now)
            m_seen.pop_front();
    }

    /// The demand of the time remembered comes again, the latest more often; waiting work is
    /// spread over the horizon. A mix has to suit the swings, not only their average.
    Forecast predict(const PlanInput &input) const
    {
        const double horizon = seconds(input.settings.horizon);
        Forecast forecast;
        double weights = 0;
        for (const Seen &seen : m_seen) {
            const double weight = std::exp(-seconds(input.now - seen.at) / seconds(m_options.fade));
            Scenario scenario = seen.demand;
            scenario.tokens.promptTokens += input.demand.waitingPromptTokens / horizon;
            scenario.tokens.outputTokens += input.demand.waitingOutputTokens / horizon;
            forecast.push_back({scenario, weight});
            weights += weight;
        }
        for (WeightedScenario &scenario : forecast)
            scenario.weight /= weights;
        return forecast;
    }

    /// Answers in time per second that the mix is expected to give.
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
        return input.settings.roleChangeWeight + rate * lostEngineSeconds(engine, input.settings);
    }

    /// Answers that going from one mix to another brings over the horizon, less its cost.
    double netGain(const PlanInput &input, const Forecast &forecast, const RoleMix &now,
                   const RoleMix &wanted) const
    {
        const std::vector<Step> steps = stepsBetween(now, wanted);
        const BackendView &engine = input.engines.front().view;
        const double rounds = std::ceil(static_cast<double>(steps.size())
                                        / std::max(1U, input.settings.maxChangesAtOnce));
        const double delay = seconds(input.settings.roleChangeTime) * (rounds + 1) / 2;
        const double lasting = std::max(0.0, seconds(input.settings.horizon) - delay);
        double gain = lasting
            * (answersPerSecond(wanted, forecast, engine)
               - answersPerSecond(now, forecast, engine));
        for (const Step &step : steps) {
            const std::optional<EngineStatus> chosen = cheapestEngine(input, step.from);
            if (!chosen)
                return 0;
            gain -= changeCost(input, forecast, now, step, *chosen);
        }
        return gain;
    }

    RoleMix bestMix(const PlanInput &input, const Forecast &forecast, const RoleMix &now) const
    {
        RoleMix best = now;
        double bestGain = 0;
        const std::uint32_t total = now.total();
        for (std::uint32_t prefill = 0; prefill <= total; ++prefill) {
            for (std::uint32_t decode = 0; prefill + decode <= total; ++decode) {
                const RoleMix mix{total - prefill - decode, prefill, decode};
                if (mix.prefill == total || stepsBetween(now, mix).size() > MostSteps)
                    continue;
                const double gain = netGain(input, forecast, now, mix);
                if (gain <= bestGain)
                    continue;
                bestGain = gain;
                best = mix;
            }
        }
        return best;
    }

    /// The steps to begin now: those that help most at once, as many as may run at a time.
    std::vector<RoleChange> firstSteps(const PlanInput &input, const Forecast &forecast,
                                       const RoleMix &now, const RoleMix &wanted) const
    {
        std::vector<Step> steps = stepsBetween(now, wanted);
        std::ranges::stable_sort(steps, std::ranges::greater{}, [&](const Step &step) {
            return answersPerSecond(after(now, step), forecast, input.engines.front().view);
        });
        PlanInput left = input;
        std::uint32_t room = input.settings.maxChangesAtOnce - changesUnderWay(input);
        std::vector<RoleChange> changes;
        for (const Step &step : steps) {
            if (room == 0)
                break;
            const std::optional<EngineStatus> engine = cheapestEngine(left, step.from);
            if (!engine)
                continue;
            changes.push_back({engine->view.id, step.to});
            std::erase(left.engines, *engine);
            --room;
        }
        return changes;
    }

    struct Seen
    {
        TimePoint at{};
        Scenario demand;
    };

    PredictiveOptions m_options;
    std::deque<Seen> m_seen;
};

} // namespace

RolePolicy makePredictivePolicy(PredictiveOptions options)
{
    auto policy = std::make_shared<PredictivePolicy>(options);
    return [policy](const PlanInput &input) { return policy->decide(input); };
}

} // namespace gentianramp
