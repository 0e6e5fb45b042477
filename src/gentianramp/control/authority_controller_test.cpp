#include "authority_controller.hpp"
#include "authority_engine_client.hpp"

#include <boost/asio/io_context.hpp>
#include <gentianramp/fakes/fake_backend.hpp>
#include <gentianramp/fleet/fleet_table.hpp>
#include <memory>
#include <optional>
#include <string>

#include <criterion/criterion.h>

using namespace gentianramp;
using namespace std::chrono_literals;

namespace {

const DataCentreId Site("a");

/// One control process, two fake engines and one entry instance that receives the fleet table.
struct ControllerFixture
{
    ControllerFixture()
    {
        RuntimeClock::pause();
        configuration.sites = {Site};
        configuration.models = {{.id = ModelId("m"), .version = "1", .weightBytes = 100}};
        configuration.services
            = {{.id = ServiceId("desk"), .kind = ServiceKind::Model, .model = ModelId("m")}};
        for (const char *name : {"e1", "e2"})
            addEngine(name);
        AuthorityOptions options;
        options.settings.instance = InstanceId("control-1");
        options.settings.dataCentre = Site;
        options.settings.peers
            = {{.instance = InstanceId("entry-1"), .dataCentre = Site, .kind = ProcessKind::Entry}};
        options.incarnation = Incarnation(1);
        options.executor = context.get_executor();
        options.send
            = [this](const InstanceId &, PayloadKind kind, const std::string &payload, Duration) {
                  if (kind != PayloadKind::Fleet)
                      return;
                  if (auto view = table.onMessage(payload, RuntimeClock::now()).view)
                      fleet = std::move(view);
              };
        controller = std::make_unique<AuthorityController>(std::move(options));
        controller->onConfiguration(configuration);
    }

    void addEngine(const std::string &name)
    {
        FakeBackendOptions options;
        options.id = BackendId(name);
        options.model = "m";
        options.checksFencing = name == "e1";
        options.loadTime = 1s;
        engines.push_back(std::make_unique<FakeBackend>(context.get_executor(), options));
        const auto port = engines.back()->start();
        cr_assert(static_cast<bool>(port));
        configuration.backends.push_back({.id = BackendId(name),
                                          .site = Site,
                                          .service = ServiceId("desk"),
                                          .host = "127.0.0.1",
                                          .port = *port});
    }

    void run(Duration length)
    {
        const TimePoint end = RuntimeClock::now() + length;
        while (RuntimeClock::now() < end) {
            controller->tick(RuntimeClock::now());
            context.restart();
            context.run_for(4ms);
            RuntimeClock::advance(20ms);
        }
    }

    bool held() const { return controller->held(RuntimeClock::now()).has_value(); }

    BackendPhase phaseOf(const std::string &name) const
    {
        for (const BackendView &backend : fleet->backends) {
            if (backend.id.value() == name)
                return backend.phase;
        }
        cr_assert_fail("engine is not in the fleet table");
        return BackendPhase::Unreachable;
    }

    boost::asio::io_context context{1};
    DeclaredConfiguration configuration;
    std::vector<std::unique_ptr<FakeBackend>> engines;
    FleetReceiver table{Site};
    std::optional<FleetView> fleet;
    std::unique_ptr<AuthorityController> controller;
};

} // namespace

Test(AuthorityController, HolderAppliesADeclaredRoleChange)
{
    ControllerFixture fixture;
    fixture.run(3s);
    cr_assert_not(fixture.held());
    fixture.run(2s);
    cr_assert(fixture.held());
    cr_assert(fixture.fleet.has_value());
    cr_assert_eq(fixture.phaseOf("e1"), BackendPhase::Serving);

    fixture.configuration.backends[0].role = EngineRole::Prefill;
    fixture.controller->onConfiguration(fixture.configuration);
    fixture.run(10s);
    cr_assert_eq(fixture.controller->engines()[0].report.role, EngineRole::Prefill);
    cr_assert_eq(fixture.phaseOf("e1"), BackendPhase::Serving);
    cr_assert_eq(fixture.controller->engines()[1].report.role, EngineRole::Mixed);
}

Test(AuthorityController, NewVersionIsLoadedAndADeclaredDrainIsShownInTheTable)
{
    ControllerFixture fixture;
    fixture.run(4s);
    fixture.configuration.models[0].version = "2";
    fixture.configuration.backends[1].drained = true;
    fixture.controller->onConfiguration(fixture.configuration);
    fixture.run(4s);
    cr_assert_eq(fixture.controller->engines()[0].report.versions.at(ModelId("m")).at(0), "2");
    cr_assert_eq(fixture.phaseOf("e2"), BackendPhase::Draining);
}

Test(AuthorityController, StoppedEngineIsUnreachableInTheTable)
{
    ControllerFixture fixture;
    fixture.run(5s);
    fixture.engines[0]->stop();
    fixture.run(4s);
    cr_assert_eq(fixture.phaseOf("e1"), BackendPhase::Unreachable);
    cr_assert_eq(fixture.phaseOf("e2"), BackendPhase::Serving);
}

Test(AuthorityController, ReleaseEndsTheLeaseAndCallsDone)
{
    ControllerFixture fixture;
    fixture.run(5s);
    bool done = false;
    fixture.controller->release([&done] { done = true; });
    cr_assert_not(fixture.held());
    fixture.run(1s);
    cr_assert(done);
}

Test(EngineState, ParsesValidReportsAndRejectsInvalidOnes)
{
    const BackendId id("e");
    const auto report = parseEngineState(
        id, R"({"phase":"draining","role":"decode","versions":{"m":"3"},"adapters":["x"],
                "fencing":7,"running":2,"order":{"phase":"running"}})");
    cr_assert(static_cast<bool>(report));
    cr_assert_eq(report->phase, EnginePhase::Draining);
    cr_assert_eq(report->versions.at(ModelId("m")).at(0), "3");
    cr_assert_eq(report->fencing, FencingNumber(7));
    cr_assert(report->orderRunning);
    for (const char *bad :
         {"", "[]", "{}", R"({"phase":3})", R"({"phase":"serving","fencing":"x"})"})
        cr_assert_not(static_cast<bool>(parseEngineState(id, bad)));
}
