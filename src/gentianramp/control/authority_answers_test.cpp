#include "authority_answers.hpp"

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

constexpr TimePoint Now{std::chrono::hours(1)};

BackendView engine(const std::string &name, EngineRole role)
{
    BackendView view;
    view.id = BackendId(name);
    view.service = ServiceId("desk");
    view.models = {{ModelId("m"), "2"}};
    view.role = role;
    return view;
}

} // namespace

Test(AuthorityAnswers, ContainEnginesRolesAndLeaseHolders)
{
    const DataCentreId site("a");
    FleetTables fleetTables({site, DataCentreId("b")});
    FleetSender sender(site);
    const InstanceId holder("control-1");
    const FencingNumber number(7);
    const FleetView before{site,
                           {engine("e1", EngineRole::Mixed), engine("e2", EngineRole::Mixed)}};
    const FleetView after{site,
                          {engine("e1", EngineRole::Prefill), engine("e2", EngineRole::Mixed)}};
    fleetTables.onMessage(holder, sender.update(before, number), Now);
    fleetTables.onMessage(holder, sender.update(after, number), Now);
    DeclaredConfiguration configuration;
    configuration.backends = {{.id = BackendId("e1"), .checksFencing = true, .drained = true}};
    const TimePoint later = Now + std::chrono::seconds(2);

    const auto engines = enginesAnswer(fleetTables, configuration, "", later).engines();
    cr_assert_eq(engines.engines_size(), 2);
    cr_assert_eq(engines.engines(0).role(), "prefill");
    cr_assert_eq(engines.engines(0).versions(0), "m=2");
    cr_assert(engines.engines(0).checks_fencing() && engines.engines(0).drained());
    cr_assert_not(engines.engines(1).drained());
    cr_assert_eq(engines.engines(0).age_ms(), 2000U);
    cr_assert_eq(enginesAnswer(fleetTables, configuration, "b", later).engines().engines_size(), 0);

    const auto roles = rolesAnswer(fleetTables, later).roles();
    cr_assert_eq(roles.plans_size(), 1);
    cr_assert_eq(roles.plans(0).prefill(), 1U);
    cr_assert_eq(roles.plans(0).mixed(), 1U);
    cr_assert_eq(roles.plans(0).changes(), 1U);
    cr_assert_eq(roles.plans(0).lease_holder(), "control-1");
}
