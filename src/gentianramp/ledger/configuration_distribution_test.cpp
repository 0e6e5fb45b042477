#include <algorithm>
#include <functional>
#include <gentianramp/core/invariant.hpp>
#include <gentianramp/ledger/configuration_distribution.hpp>
#include <map>
#include <random>
#include <set>

#include "gentianramp/ledger/generated/spread.pb.h"

#include <criterion/criterion.h>

using namespace gentianramp;
using namespace std::chrono_literals;

namespace {

constexpr Duration TickInterval = 50ms;

std::vector<DistributionMember> membersOf(std::size_t sites, std::size_t controls,
                                          std::size_t entries)
{
    std::vector<DistributionMember> members;
    for (std::size_t site = 0; site < sites; ++site) {
        const DataCentreId dataCentre("site-" + std::to_string(site));
        const auto name = [&](const char *kind, std::size_t number) {
            return InstanceId(std::string(kind) + "-" + std::to_string(site) + "-"
                              + std::to_string(number));
        };
        for (std::size_t i = 0; i < controls; ++i)
            members.push_back({name("control", i), dataCentre, true, i == 0 && site < 3});
        for (std::size_t i = 0; i < entries; ++i)
            members.push_back({name("entry", i), dataCentre, false, false});
    }
    return members;
}

/// Simulation of all processes and their network; the first voter leads and accepts configurations.
class DistributionSimulation
{
public:
    DistributionSimulation(std::vector<DistributionMember> members, double dropShare,
                           std::uint64_t seed)
        : m_members(std::move(members))
        , m_dropShare(dropShare)
        , m_random(seed)
    {
        for (const DistributionMember &member : m_members)
            restart(member.instance);
    }

    void restart(const InstanceId &instance)
    {
        m_processes[instance] = std::make_unique<ConfigurationDistribution>(
            DistributionOptions{.self = instance, .members = m_members}, m_now);
        m_seen[instance] = Revision(0);
    }

    void accept(const std::string &bytes)
    {
        ++m_revision;
        m_bytes = bytes;
    }

    void run(Duration time)
    {
        for (const TimePoint end = m_now + time; m_now < end; m_now += TickInterval) {
            while (!m_network.empty() && m_network.begin()->first <= m_now)
                deliverFirst();
            for (auto &[instance, process] : m_processes)
                step(instance, *process);
        }
    }

    bool everywhere() const
    {
        return std::all_of(m_processes.begin(), m_processes.end(), [&](const auto &item) {
            return item.second->current() == AcceptedConfiguration{Revision(m_revision), m_bytes};
        });
    }

    ConfigurationDistribution &at(const std::string &instance)
    {
        return *m_processes.at(InstanceId(instance));
    }
    ConfigurationDistribution &leader() { return at("control-0-0"); }
    TimePoint now() const { return m_now; }
    void setSiteIsolated(const std::string &site, bool isolated)
    {
        m_isolated[DataCentreId(site)] = isolated;
    }
    std::size_t messages() const { return m_messages; }

private:
    struct MessageInTransit
    {
        InstanceId from;
        DistributionMessage message;
    };

    const DistributionMember &member(const InstanceId &instance) const
    {
        return *std::find_if(m_members.begin(), m_members.end(),
                             [&](const auto &each) { return each.instance == instance; });
    }

    void step(const InstanceId &instance, ConfigurationDistribution &process)
    {
        const bool voter = member(instance).voter;
        if (voter && !m_isolated[member(instance).dataCentre]) {
            process.noteLeader(InstanceId("control-0-0"), m_now);
            if (m_revision > 0)
                perform(instance, process.distribute({Revision(m_revision), m_bytes}, m_now));
        }
        perform(instance, process.tick(m_now));
    }

    void perform(const InstanceId &instance, DistributionOutput output)
    {
        if (output.accepted) {
            cr_assert(output.accepted->revision > m_seen[instance], "revisions only grow");
            m_seen[instance] = output.accepted->revision;
        }
        for (DistributionMessage &message : output.messages) {
            ++m_messages;
            std::uniform_int_distribution<int> delay(1, 120);
            if (std::uniform_real_distribution<double>(0, 1)(m_random) >= m_dropShare)
                m_network.emplace(m_now + std::chrono::milliseconds(delay(m_random)),
                                  MessageInTransit{instance, std::move(message)});
        }
    }

    void deliverFirst()
    {
        const MessageInTransit inTransit = m_network.begin()->second;
        m_network.erase(m_network.begin());
        const bool apart = m_isolated[member(inTransit.from).dataCentre]
            || m_isolated[member(inTransit.message.to).dataCentre];
        if (apart && member(inTransit.from).dataCentre != member(inTransit.message.to).dataCentre)
            return;
        perform(inTransit.message.to,
                m_processes.at(inTransit.message.to)
                    ->onMessage(inTransit.from, inTransit.message.payload, m_now));
    }

    std::vector<DistributionMember> m_members;
    double m_dropShare;
    std::mt19937_64 m_random;
    TimePoint m_now{1s};
    std::map<InstanceId, std::unique_ptr<ConfigurationDistribution>> m_processes;
    std::map<InstanceId, Revision> m_seen;
    std::multimap<TimePoint, MessageInTransit> m_network;
    std::map<DataCentreId, bool> m_isolated;
    std::uint64_t m_revision = 0;
    std::string m_bytes;
    std::size_t m_messages = 0;
};

} // namespace

// An age below zero arrived as a number that wrapped, and dated the confirmation after the present.
Test(ConfigurationDistribution, AnImpossibleAgeIsNoConfirmation)
{
    const std::vector<DistributionMember> members = membersOf(1, 1, 1);
    const TimePoint now{1h};
    for (const std::uint64_t ageMs :
         {UINT64_MAX, UINT64_MAX - 4, std::uint64_t{1} << 63, std::uint64_t{1} << 40}) {
        ConfigurationDistribution entry({.self = InstanceId("entry-0-0"), .members = members}, now);
        proto::SpreadMessage message;
        message.mutable_update()->set_revision(1);
        message.mutable_update()->set_whole(true);
        message.mutable_update()->set_configuration("first");
        message.mutable_update()->set_age_ms(ageMs);
        entry.onMessage(InstanceId("control-0-0"), message.SerializeAsString(), now);
        cr_expect_eq(entry.current().revision, Revision(1));
        cr_expect_not(entry.age(now).has_value(), "age_ms=%lu", static_cast<unsigned long>(ageMs));
        message.mutable_update()->set_age_ms(250);
        entry.onMessage(InstanceId("control-0-0"), message.SerializeAsString(), now);
        cr_expect(entry.age(now) == Duration(250ms));
    }
}

// The time of a callback was passed on before the earlier time of the call that had made it.
Test(ConfigurationDistribution, AnEarlierTimeSendsNoImpossibleAge)
{
    const std::vector<DistributionMember> members = membersOf(1, 1, 1);
    const TimePoint now{1h};
    ConfigurationDistribution control({.self = InstanceId("control-0-0"), .members = members}, now);
    control.distribute({Revision(1), "first"}, now + 1s);
    control.noteLeader(InstanceId("control-0-0"), now + 1s);
    proto::SpreadMessage report;
    report.mutable_report()->set_data_centre("site-0");
    const DistributionOutput output
        = control.onMessage(InstanceId("entry-0-0"), report.SerializeAsString(), now + 1s - 5ms);
    cr_assert_eq(output.messages.size(), 1U);
    proto::SpreadMessage update;
    cr_assert(update.ParseFromString(output.messages.front().payload));
    cr_assert_leq(update.update().age_ms(), 1000U);
}

Test(ConfigurationDistribution, LimitsChildrenPerProcessInLargeSites)
{
    const std::vector<DistributionMember> members = membersOf(12, 34, 34);
    std::map<InstanceId, std::size_t> below;
    for (const DistributionMember &member : members) {
        const auto parents = distributionParents(member.instance, members);
        cr_assert_not(parents.empty());
        ++below[parents.front()];
    }
    // At most 8 control processes, 1 of the 34 entry instances and the roots of 11 other sites.
    for (const auto &[instance, count] : below)
        cr_assert_leq(count, DistributionFanOut + 12, "%s", instance.value().c_str());
}

Test(ConfigurationDistribution, ReachesEveryProcessAndReportsItsRevision)
{
    DistributionSimulation run(membersOf(3, 12, 5), 0, 1);
    run.run(3s);
    for (int change = 1; change <= 5; ++change) {
        run.accept("configuration " + std::to_string(change));
        run.run(1s);
        cr_assert(run.everywhere(), "change %d", change);
    }
    run.run(1s);
    for (const MemberRevision &each : run.leader().members(run.now()))
        cr_assert(each.revision == Revision(5), "%s", each.member.instance.value().c_str());
}

Test(ConfigurationDistribution, ReachesEveryProcessOverALossyNetwork)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        DistributionSimulation run(membersOf(3, 4, 3), 0.2, seed);
        for (int change = 1; change <= 20; ++change) {
            run.accept(std::string(200, 'a') + std::to_string(change));
            run.run(300ms);
        }
        run.run(10s);
        cr_assert(run.everywhere(), "seed %lu", static_cast<unsigned long>(seed));
    }
}

Test(ConfigurationDistribution, IsolatedSiteKnowsTheAgeOfItsConfiguration)
{
    DistributionSimulation run(membersOf(3, 2, 2), 0, 2);
    run.accept("before");
    run.run(5s);
    run.setSiteIsolated("site-2", true);
    run.accept("during");
    run.run(20s);
    cr_assert_eq(run.at("entry-2-1").current().bytes, "before");
    cr_assert_geq(toMilliseconds(*run.at("entry-2-1").age(run.now())), 19000);
    cr_assert_leq(toMilliseconds(*run.at("entry-1-1").age(run.now())), 5000);
    for (const MemberRevision &each : run.leader().members(run.now())) {
        const bool cut = each.member.dataCentre == DataCentreId("site-2");
        cr_assert_eq(each.revision.has_value(), !cut);
    }
    run.setSiteIsolated("site-2", false);
    run.run(10s);
    cr_assert(run.everywhere());
}

Test(ConfigurationDistribution, RestartedProcessCatchesUpAfterManyChanges)
{
    DistributionSimulation run(membersOf(3, 2, 2), 0, 3);
    run.setSiteIsolated("site-1", true);
    for (int change = 0; change < 500; ++change) {
        run.accept(std::to_string(change));
        run.run(TickInterval);
    }
    run.restart(InstanceId("entry-1-0"));
    run.restart(InstanceId("control-1-1"));
    run.setSiteIsolated("site-1", false);
    run.run(10s);
    cr_assert(run.everywhere());
}

Test(ConfigurationDistribution, IgnoresARevisionThatIsNotNewer)
{
    DistributionSimulation newer(membersOf(1, 2, 0), 0, 4);
    newer.accept("one");
    newer.run(3s);
    DistributionOutput older
        = newer.at("control-0-1").distribute({Revision(1), "other"}, newer.now());
    cr_assert_not(older.accepted.has_value());
    cr_assert_eq(newer.at("control-0-1").current().bytes, "one");
}

Test(ConfigurationDistribution, SendsFewMessagesWithoutChanges)
{
    DistributionSimulation run(membersOf(3, 4, 4), 0, 5);
    run.accept("one");
    run.run(10s);
    const std::size_t before = run.messages();
    run.run(20s);
    // 24 processes over 20 s. A report and its answer every 2 s make 1 message a second each.
    const double eachSecond = static_cast<double>(run.messages() - before) / 20 / 24;
    cr_assert_leq(eachSecond, 1.2, "messages per second and process: %f", eachSecond);
}
