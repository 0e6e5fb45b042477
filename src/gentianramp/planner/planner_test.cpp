#include "gentianramp/planner/role_mix.hpp"

#include <gentianramp/planner/demand_summary.hpp>
#include <gentianramp/planner/role_policy.hpp>
#include <random>

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

const TimePoint Start{std::chrono::seconds(1000)};
const ServiceId TestService("desk");

PlanInput inputWith(std::uint32_t engines, EngineRole role)
{
    PlanInput input{.now = Start};
    for (std::uint32_t i = 0; i < engines; ++i) {
        EngineStatus engine{.targetRole = role};
        engine.view.id = BackendId("engine-" + std::to_string(i));
        engine.view.role = role;
        input.engines.push_back(std::move(engine));
    }
    return input;
}

void setDemand(PlanInput &input, double requests, double prompt, double output)
{
    input.demand.requestsPerSecond = requests;
    input.demand.promptTokensPerSecond = prompt;
    input.demand.outputTokensPerSecond = output;
}

/// Runs the policy once per second and applies its changes immediately; returns their number.
std::uint32_t runFor(const RolePolicy &policy, PlanInput &input, int seconds)
{
    std::uint32_t changes = 0;
    for (int i = 0; i < seconds; ++i) {
        input.now += std::chrono::seconds(1);
        for (const RoleChange &change : policy(input)) {
            ++changes;
            for (EngineStatus &engine : input.engines) {
                if (engine.view.id != change.backend)
                    continue;
                engine.view.role = change.role;
                engine.targetRole = change.role;
                engine.roleSince = input.now;
            }
        }
    }
    return changes;
}

} // namespace

Test(RoleMix, PrefillAndDecodePairCarriesMoreThanTwoMixedEngines)
{
    const BackendView engine;
    const TokenRates demand{10000, 1250};
    cr_assert_float_eq(capacityFactor({0, 1, 1}, demand, engine), 1, 1e-6);
    cr_assert_lt(capacityFactor({2, 0, 0}, demand, engine), 1);
    cr_assert_float_eq(capacityFactor({0, 2, 0}, demand, engine), 0, 1e-6);
}

Test(PredictivePolicy, ChangesNothingWhileCapacitySuffices)
{
    PlanInput input = inputWith(6, EngineRole::Mixed);
    setDemand(input, 10, 2000, 2000);
    const RolePolicy policy = makePredictivePolicy();
    cr_assert_eq(runFor(policy, input, 120), 0);
}

Test(PredictivePolicy, ChangesRolesForALastingShortageOfDecodeCapacity)
{
    PlanInput input = inputWith(6, EngineRole::Mixed);
    setDemand(input, 20, 1000, 6800);
    const RolePolicy policy = makePredictivePolicy();
    const std::uint32_t changes = runFor(policy, input, 120);
    cr_assert_geq(changes, 3);
    cr_assert_leq(changes, 6);
}

Test(PredictivePolicy, RoleChangeWeightPreventsChangesOfLittleGain)
{
    PlanInput input = inputWith(6, EngineRole::Mixed);
    input.settings.roleChangeCost = 1000;
    setDemand(input, 20, 1000, 6800);
    cr_assert_eq(runFor(makePredictivePolicy(), input, 120), 0);
}

Test(PredictivePolicy, NeverExceedsMaxChangesAtOnce)
{
    std::mt19937_64 random(11);
    PlanInput input = inputWith(8, EngineRole::Mixed);
    input.settings.maxChangesAtOnce = 2;
    input.settings.minimumDwell = Duration::zero();
    const RolePolicy policy = makePredictivePolicy();
    for (int i = 0; i < 500; ++i) {
        input.now += std::chrono::seconds(1);
        setDemand(input, 30, static_cast<double>(random() % 60000),
                  static_cast<double>(random() % 9000));
        input.engines[i % 8].view.phase
            = random() % 4 == 0 ? BackendPhase::Changing : BackendPhase::Serving;
        std::uint32_t ongoing = 0;
        for (const EngineStatus &engine : input.engines)
            ongoing += engine.view.phase == BackendPhase::Changing ? 1 : 0;
        const std::vector<RoleChange> changes = policy(input);
        cr_assert(changes.empty() || changes.size() + ongoing <= 2);
        for (const RoleChange &change : changes)
            cr_assert_neq(change.backend, BackendId());
    }
}

Test(PredictivePolicy, SelectsTheEngineWithTheCheapestChange)
{
    PlanInput input = inputWith(6, EngineRole::Mixed);
    for (EngineStatus &engine : input.engines)
        engine.cachedTokens = 100000;
    input.engines[3].cachedTokens = 0;
    setDemand(input, 40, 1000, 6800);
    const RolePolicy policy = makePredictivePolicy();
    const std::vector<RoleChange> changes = policy(input);
    cr_assert_eq(changes.size(), 1);
    cr_assert_eq(changes.front().backend, BackendId("engine-3"));
}

Test(ThresholdPolicy, MovesEnginesToOverloadedPrefill)
{
    PlanInput input = inputWith(4, EngineRole::Decode);
    setDemand(input, 10, 30000, 200);
    input.settings.minimumDwell = Duration::zero();
    cr_assert_geq(runFor(makeThresholdPolicy(), input, 60), 1);
}

Test(StaticPolicy, NeverChangesRoles)
{
    PlanInput input = inputWith(4, EngineRole::Decode);
    setDemand(input, 100, 100000, 0);
    cr_assert_eq(runFor(makeStaticPolicy(), input, 60), 0);
}

Test(DemandSummary, SumsInstancesAndIgnoresStaleSamples)
{
    DemandSummary summary(std::chrono::seconds(5));
    const DemandSample sample{.instance = InstanceId("a"),
                              .span = std::chrono::seconds(2),
                              .services
                              = {{.service = TestService, .requests = 4, .promptTokens = 100}}};
    DemandSample other = sample;
    other.instance = InstanceId("b");
    summary.add(sample, Start);
    summary.add(other, Start + std::chrono::seconds(4));
    cr_assert_float_eq(
        summary.total(TestService, Start + std::chrono::seconds(4)).requestsPerSecond, 4, 1e-9);
    cr_assert_float_eq(
        summary.total(TestService, Start + std::chrono::seconds(6)).promptTokensPerSecond, 50,
        1e-9);
}

Test(DemandSummary, RoundTripKeepsEveryField)
{
    const DemandSample sample{
        .instance = InstanceId("a"),
        .span = std::chrono::milliseconds(1500),
        .services = {{TestService, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10}},
    };
    const Result<DemandSample> decoded = decodeDemand(encodeDemand(sample));
    cr_assert(static_cast<bool>(decoded));
    cr_assert_eq(*decoded, sample);
}

Test(DemandSummary, MalformedSamplesAreRejected)
{
    std::mt19937_64 random(5);
    for (int i = 0; i < 3000; ++i) {
        std::string bytes
            = encodeDemand({InstanceId("a"), std::chrono::seconds(1), {{TestService, 1}}});
        bytes[random() % bytes.size()] = static_cast<char>(random());
        bytes.resize(random() % (bytes.size() + 1));
        const Result<DemandSample> decoded = decodeDemand(bytes);
        cr_assert(!decoded || decoded->span > Duration::zero());
    }
}
