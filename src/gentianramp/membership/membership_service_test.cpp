#include <functional>
#include <gentianramp/membership/membership_service.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "gentianramp/membership/generated/membership.pb.h"

#include <criterion/criterion.h>

using namespace gentianramp;
using namespace std::chrono_literals;

namespace {

/// Simulation of the processes of several data centres; messages are delivered at once.
struct MembershipSimulation
{
    explicit MembershipSimulation(const std::map<std::string, int> &counts)
    {
        for (const auto &[site, count] : counts) {
            for (int index = 1; index <= count; ++index)
                placed.push_back({InstanceId(site + std::to_string(index)), DataCentreId(site)});
        }
        for (const PlacedInstance &process : placed)
            start(process);
    }

    void start(const PlacedInstance &process)
    {
        ++incarnations[process.instance];
        MembershipOptions options{.self = process.instance,
                                  .dataCentre = process.dataCentre,
                                  .instances = placed,
                                  .relayCandidates = placed};
        services[process.instance] = std::make_unique<MembershipService>(
            options,
            [this, from = process.instance](const InstanceId &to, const std::string &payload) {
                ++sent[from];
                bytes += payload.size();
                if (services.contains(to) && isolated.contains(from) == isolated.contains(to))
                    services[to]->onMessage(from, Incarnation(incarnations[from]), payload, now);
            },
            now);
    }

    void run(Duration length)
    {
        for (const TimePoint end = now + length; now < end; now += 250ms) {
            for (const auto &[instance, service] : services)
                service->tick(now);
        }
    }

    MemberState observedState(const std::string &by, const std::string &of)
    {
        return services.at(InstanceId(by))->state(InstanceId(of), now);
    }

    TimePoint now{1h};
    std::vector<PlacedInstance> placed;
    std::map<InstanceId, std::uint64_t> incarnations;
    std::map<InstanceId, std::unique_ptr<MembershipService>> services;
    std::map<InstanceId, std::size_t> sent;
    std::set<InstanceId> isolated;
    std::size_t bytes = 0;
};

} // namespace

// A relay that was handed an earlier time sent the age of a digest as 49 days, so that the members
// of its data centre took no news of another one from it.
Test(Membership, AnEarlierTimeMakesNoDigestOlder)
{
    const std::vector<PlacedInstance> placed{{InstanceId("a1"), DataCentreId("a")},
                                             {InstanceId("a2"), DataCentreId("a")},
                                             {InstanceId("b1"), DataCentreId("b")}};
    const TimePoint now{1h};
    std::vector<std::uint32_t> ages;
    MembershipService relay(
        {.self = InstanceId("a1"),
         .dataCentre = DataCentreId("a"),
         .instances = placed,
         .relayCandidates = placed},
        [&](const InstanceId &, const std::string &payload) {
            proto::MembershipMessage message;
            cr_assert(message.ParseFromString(payload));
            for (const proto::SiteDigest &site : message.digest().sites()) {
                if (site.data_centre() == "b")
                    ages.push_back(site.age_ms());
            }
        },
        now);
    proto::MembershipMessage received;
    received.mutable_digest()->add_sites()->set_data_centre("b");
    relay.onMessage(InstanceId("b1"), Incarnation(1), received.SerializeAsString(), now + 5s);
    relay.tick(now + 5s - 10ms);
    cr_assert_eq(ages.size(), 1U);
    cr_assert_leq(ages.front(), 1000U);
}

Test(Membership, EveryProcessSeesAllOthersAlive)
{
    MembershipSimulation simulation({{"a", 4}, {"b", 3}, {"c", 1}});
    simulation.run(6s);
    for (const PlacedInstance &by : simulation.placed) {
        for (const PlacedInstance &of : simulation.placed)
            cr_assert_eq(simulation.observedState(by.instance.value(), of.instance.value()),
                         MemberState::Alive);
    }
}

Test(Membership, SilentProcessIsSuspectedEverywhereWithinSeconds)
{
    MembershipSimulation simulation({{"a", 4}, {"b", 3}});
    simulation.run(6s);
    simulation.services.erase(InstanceId("a1"));
    simulation.run(8s);
    for (const char *by : {"a2", "a3", "a4", "b1", "b2", "b3"})
        cr_assert_eq(simulation.observedState(by, "a1"), MemberState::Suspected);
    simulation.start({InstanceId("a1"), DataCentreId("a")});
    simulation.run(6s);
    cr_assert_eq(simulation.observedState("b1", "a1"), MemberState::Alive);
}

Test(Membership, IsolatedDataCentreIsUnknownToOthersAndAliveToItself)
{
    MembershipSimulation simulation({{"a", 3}, {"b", 3}});
    simulation.run(6s);
    simulation.isolated = {InstanceId("a1"), InstanceId("a2"), InstanceId("a3")};
    simulation.run(12s);
    cr_assert_eq(simulation.observedState("b1", "a1"), MemberState::Unknown);
    cr_assert_eq(simulation.observedState("a1", "b1"), MemberState::Unknown);
    cr_assert_eq(simulation.observedState("a1", "a2"), MemberState::Alive);
}

Test(Membership, PlatformListOnlyMarksLeavingProcesses)
{
    MembershipSimulation simulation({{"a", 3}});
    simulation.run(4s);
    simulation.services.at(InstanceId("a1"))->onPlatformList({InstanceId("a2")}, simulation.now);
    cr_assert_eq(simulation.observedState("a1", "a2"), MemberState::Leaving);
    cr_assert_eq(simulation.observedState("a1", "a3"), MemberState::Alive);
}

Test(Membership, LeavingProcessIsSeenAsLeavingInAnotherDataCentre)
{
    MembershipSimulation simulation({{"a", 3}, {"b", 3}});
    simulation.run(4s);
    simulation.services.at(InstanceId("a2"))->setLeaving();
    simulation.run(4s);
    cr_assert_eq(simulation.observedState("b3", "a2"), MemberState::Leaving);
}

Test(Membership, IgnoresMessagesOfAnEarlierIncarnation)
{
    MembershipSimulation simulation({{"a", 2}});
    simulation.run(4s);
    // An encoded MembershipMessage: a heartbeat with `leaving` set.
    const std::string beat("\x0a\x02\x08\x01", 4);
    auto &service = *simulation.services.at(InstanceId("a1"));
    service.onMessage(InstanceId("a2"), Incarnation(0), beat, simulation.now);
    cr_assert_eq(simulation.observedState("a1", "a2"), MemberState::Alive);
    service.onMessage(InstanceId("a2"), Incarnation(2), beat, simulation.now);
    cr_assert_eq(simulation.observedState("a1", "a2"), MemberState::Leaving);
    service.onMessage(InstanceId("a2"), Incarnation(2), "\xff", simulation.now);
    cr_assert_eq(service.malformed(), 1U);
}

Test(Membership, MessageCountIsBoundedByDataCentreAndRelayCount)
{
    std::map<std::string, int> processCounts;
    for (char site = 'a'; site <= 'l'; ++site)
        processCounts[std::string(1, site)] = 34;
    MembershipSimulation simulation(processCounts);
    simulation.run(10s);
    std::size_t most = 0;
    for (const auto &[instance, count] : simulation.sent)
        most = std::max(most, count);
    // A relay sends a digest to 33 members and 22 relays every 2 s, a heartbeat to the other relay
    // every 1 s.
    cr_log_info("most messages of one process in 10 s: %zu", most);
    cr_assert_leq(most, 5U * (33 + 22) + 10);
}
