#include <functional>
#include <gentianramp/membership/membership_service.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>

#include <criterion/criterion.h>

using namespace gentianramp;
using namespace std::chrono_literals;

namespace {

/// Processes of some data centres that hand each other's messages on at once.
struct Bench
{
    explicit Bench(const std::map<std::string, int> &counts)
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
        ++lives[process.instance];
        MembershipOptions options{.self = process.instance,
                                  .dataCentre = process.dataCentre,
                                  .instances = placed,
                                  .relayCandidates = placed};
        services[process.instance] = std::make_unique<MembershipService>(
            options,
            [this, from = process.instance](const InstanceId &to, const std::string &payload) {
                ++sent[from];
                bytes += payload.size();
                if (services.contains(to) && cut.contains(from) == cut.contains(to))
                    services[to]->onMessage(from, Incarnation(lives[from]), payload, now);
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

    MemberState seen(const std::string &by, const std::string &of)
    {
        return services.at(InstanceId(by))->state(InstanceId(of), now);
    }

    TimePoint now{1h};
    std::vector<PlacedInstance> placed;
    std::map<InstanceId, std::uint64_t> lives;
    std::map<InstanceId, std::unique_ptr<MembershipService>> services;
    std::map<InstanceId, std::size_t> sent;
    std::set<InstanceId> cut;
    std::size_t bytes = 0;
};

} // namespace

Test(Membership, EveryoneSeesEveryoneAlive)
{
    Bench bench({{"a", 4}, {"b", 3}, {"c", 1}});
    bench.run(6s);
    for (const PlacedInstance &by : bench.placed) {
        for (const PlacedInstance &of : bench.placed)
            cr_assert_eq(bench.seen(by.instance.value(), of.instance.value()), MemberState::Alive);
    }
}

Test(Membership, SilentProcessIsSuspectedEverywhereWithinSeconds)
{
    Bench bench({{"a", 4}, {"b", 3}});
    bench.run(6s);
    bench.services.erase(InstanceId("a1"));
    bench.run(8s);
    for (const char *by : {"a2", "a3", "a4", "b1", "b2", "b3"})
        cr_assert_eq(bench.seen(by, "a1"), MemberState::Suspected);
    bench.start({InstanceId("a1"), DataCentreId("a")});
    bench.run(6s);
    cr_assert_eq(bench.seen("b1", "a1"), MemberState::Alive);
}

Test(Membership, CutOffDataCentreIsUnknownToTheOthersAndWellToItself)
{
    Bench bench({{"a", 3}, {"b", 3}});
    bench.run(6s);
    bench.cut = {InstanceId("a1"), InstanceId("a2"), InstanceId("a3")};
    bench.run(12s);
    cr_assert_eq(bench.seen("b1", "a1"), MemberState::Unknown);
    cr_assert_eq(bench.seen("a1", "b1"), MemberState::Unknown);
    cr_assert_eq(bench.seen("a1", "a2"), MemberState::Alive);
}

Test(Membership, PlatformListOnlyCountsForLeaving)
{
    Bench bench({{"a", 3}});
    bench.run(4s);
    bench.services.at(InstanceId("a1"))->onPlatformList({InstanceId("a2")}, bench.now);
    cr_assert_eq(bench.seen("a1", "a2"), MemberState::Leaving);
    cr_assert_eq(bench.seen("a1", "a3"), MemberState::Alive);
}

Test(Membership, LeavingProcessTellsTheOthers)
{
    Bench bench({{"a", 3}, {"b", 3}});
    bench.run(4s);
    bench.services.at(InstanceId("a2"))->setLeaving();
    bench.run(4s);
    cr_assert_eq(bench.seen("b3", "a2"), MemberState::Leaving);
}

Test(Membership, MessageOfAnEarlierLifeChangesNothing)
{
    Bench bench({{"a", 2}});
    bench.run(4s);
    const std::string beat("\x0a\x02\x08\x01", 4);
    auto &service = *bench.services.at(InstanceId("a1"));
    service.onMessage(InstanceId("a2"), Incarnation(0), beat, bench.now);
    cr_assert_eq(bench.seen("a1", "a2"), MemberState::Alive);
    service.onMessage(InstanceId("a2"), Incarnation(2), beat, bench.now);
    cr_assert_eq(bench.seen("a1", "a2"), MemberState::Leaving);
    service.onMessage(InstanceId("a2"), Incarnation(2), "\xff", bench.now);
    cr_assert_eq(service.malformed(), 1U);
}

Test(Membership, MessagesGrowWithTheDataCentreOnly)
{
    std::map<std::string, int> twelve;
    for (char site = 'a'; site <= 'l'; ++site)
        twelve[std::string(1, site)] = 34;
    Bench bench(twelve);
    bench.run(10s);
    std::size_t most = 0;
    for (const auto &[instance, count] : bench.sent)
        most = std::max(most, count);
    // A relay: 33 members and 22 relays each two seconds, a beat to the other relay each second.
    cr_log_info("most messages of one process in 10 s: %zu", most);
    cr_assert_leq(most, 5U * (33 + 22) + 10);
}
