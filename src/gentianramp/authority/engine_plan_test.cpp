#include <gentianramp/authority/engine_plan.hpp>
#include <optional>
#include <random>
#include <set>

#include <criterion/criterion.h>

using namespace gentianramp;
using namespace std::chrono_literals;

namespace {

const ModelId Model("m");

BackendId name(int index)
{
    return BackendId("e" + std::to_string(index));
}

/// Desired and reported state of engines that execute orders at once.
struct Fleet
{
    explicit Fleet(int count)
    {
        for (int index = 0; index < count; ++index) {
            desired.push_back({.backend = name(index), .model = Model, .version = "1"});
            EngineReport report{.backend = name(index)};
            report.versions[Model] = {"1"};
            reports.push_back(report);
        }
    }

    std::vector<PlannedOrder> planOrders()
    {
        return nextOrders(desired, reports, {},
                          [this](const BackendId &, std::uint64_t) { return loadsAllowed-- > 0; });
    }

    EngineReport &report(const BackendId &backend)
    {
        for (EngineReport &candidate : reports) {
            if (candidate.backend == backend)
                return candidate;
        }
        cr_assert_fail("unknown engine");
        return reports.front();
    }

    void apply(const PlannedOrder &order)
    {
        EngineReport &engine = report(order.backend);
        if (order.kind == OrderKind::Drain)
            engine.phase = EnginePhase::Draining;
        else if (order.kind == OrderKind::Undrain)
            engine.phase = EnginePhase::Serving;
        else if (order.kind == OrderKind::SetRole)
            engine.role = order.role;
        else if (order.kind == OrderKind::Load)
            engine.versions[order.model].push_back(order.version);
        else
            std::erase(engine.versions[order.model], order.version);
    }

    std::size_t serving() const
    {
        std::size_t count = 0;
        for (const EngineReport &engine : reports)
            count += engine.phase == EnginePhase::Serving ? 1 : 0;
        return count;
    }

    std::vector<DesiredEngine> desired;
    std::vector<EngineReport> reports;
    int loadsAllowed = 1000;
};

} // namespace

Test(EnginePlan, NoOrdersWhenReportsMatchTheDesiredState)
{
    cr_assert(Fleet(3).planOrders().empty());
}

Test(EnginePlan, RoleChangeDrainsWaitsForRequestsSetsTheRoleAndUndrains)
{
    Fleet fleet(2);
    fleet.desired[0].role = EngineRole::Prefill;
    fleet.reports[0].requestsRunning = 1;
    auto orders = fleet.planOrders();
    cr_assert_eq(orders.size(), 1U);
    cr_assert_eq(orders[0].kind, OrderKind::Drain);
    fleet.apply(orders[0]);
    cr_assert(fleet.planOrders().empty());
    fleet.reports[0].requestsRunning = 0;
    orders = fleet.planOrders();
    cr_assert_eq(orders.at(0).kind, OrderKind::SetRole);
    fleet.apply(orders[0]);
    orders = fleet.planOrders();
    cr_assert_eq(orders.at(0).kind, OrderKind::Undrain);
}

Test(EnginePlan, DrainedEngineInItsDesiredRoleIsUndrained)
{
    Fleet fleet(2);
    fleet.reports[0].phase = EnginePhase::Draining;
    cr_assert_eq(fleet.planOrders().at(0).kind, OrderKind::Undrain);
}

Test(EnginePlan, RoleChangeLeavesOneEngineInService)
{
    Fleet fleet(2);
    fleet.desired[0].role = EngineRole::Prefill;
    fleet.desired[1].role = EngineRole::Prefill;
    cr_assert_eq(fleet.planOrders().size(), 1U);
    fleet.reports[1].phase = EnginePhase::Changing;
    cr_assert(fleet.planOrders().empty());
}

Test(EnginePlan, LoadsWaitForPermitsAndUnloadTheOldVersionAfterwards)
{
    Fleet fleet(3);
    for (DesiredEngine &engine : fleet.desired)
        engine.version = "2";
    fleet.loadsAllowed = 1;
    const auto orders = fleet.planOrders();
    cr_assert_eq(orders.size(), 1U);
    cr_assert_eq(orders[0].kind, OrderKind::Load);
    fleet.apply(orders[0]);
    cr_assert_eq(fleet.planOrders().at(0).kind, OrderKind::Unload);
    cr_assert_eq(fleet.planOrders().at(0).version, "1");
}

Test(EnginePlan, EngineDrainedByAnOperatorIsDrainedOnce)
{
    Fleet fleet(1);
    fleet.desired[0].drained = true;
    cr_assert_eq(fleet.planOrders().at(0).kind, OrderKind::Drain);
    fleet.reports[0].phase = EnginePhase::Draining;
    cr_assert(fleet.planOrders().empty());
}

Test(EnginePlan, RandomDesiredStatesAreReachedWithAnEngineInService)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        std::mt19937_64 random(seed);
        Fleet fleet(4);
        for (DesiredEngine &engine : fleet.desired) {
            engine.role = random() % 2 == 0 ? EngineRole::Prefill : EngineRole::Decode;
            engine.version = random() % 2 == 0 ? "1" : "2";
        }
        for (int step = 0; step < 60; ++step) {
            for (const PlannedOrder &order : fleet.planOrders()) {
                if (random() % 4 != 0) // Other orders are lost.
                    fleet.apply(order);
            }
            cr_assert_geq(fleet.serving(), 1U);
        }
        cr_assert(fleet.planOrders().empty());
        cr_assert_eq(fleet.serving(), 4U);
    }
}

Test(EnginePlan, DesiredStateCombinesDeclarationAndPlannedRoles)
{
    DeclaredConfiguration configuration;
    configuration.models = {{.id = Model, .version = "3", .weightBytes = 10}};
    configuration.services = {{.id = ServiceId("s"), .kind = ServiceKind::Model, .model = Model},
                              {.id = ServiceId("bay"), .kind = ServiceKind::Plain}};
    configuration.backends
        = {{.id = name(1), .site = DataCentreId("a"), .service = ServiceId("s")},
           {.id = name(2), .site = DataCentreId("a"), .service = ServiceId("bay")},
           {.id = name(3), .site = DataCentreId("b"), .service = ServiceId("s")}};
    const auto engines
        = desiredEngines(configuration, DataCentreId("a"), {{name(1), EngineRole::Decode}});
    cr_assert_eq(engines.size(), 1U);
    cr_assert_eq(engines[0].role, EngineRole::Decode);
    cr_assert_eq(engines[0].version, "3");
}

Test(WeightStore, SharesByPriorityAndRedistributesUnusedBandwidth)
{
    const DataCentreId a("a");
    const DataCentreId b("b");
    const DataCentreId c("c");
    const auto equal = shareWeightStore(90, {{a, 1, 1000}, {b, 1, 1000}, {c, 1, 10}});
    cr_assert_float_eq(equal.at(a), 40, 1e-9);
    cr_assert_float_eq(equal.at(c), 10, 1e-9);
    const auto ranked = shareWeightStore(90, {{a, 0, 1000}, {b, 1, 1000}});
    cr_assert_float_eq(ranked.at(a), 60, 1e-9);
    cr_assert_float_eq(ranked.at(b), 30, 1e-9);
}

Test(WeightStore, PacerRefusesALoadBeforeTheLastOneHasEnded)
{
    const TimePoint now{1h};
    LoadPacer pacer;
    cr_assert(pacer.tryStart(100, 50, now));
    cr_assert_not(pacer.tryStart(1, 50, now + 1900ms));
    cr_assert(pacer.tryStart(1, 50, now + 2s));
    cr_assert_not(pacer.tryStart(1, 0, now + 10s));
}
