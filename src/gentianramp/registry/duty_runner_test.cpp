#include <gentianramp/registry/duty_runner.hpp>

#include <algorithm>
#include <limits>
#include <map>
#include <random>
#include <vector>

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

using std::chrono::milliseconds;

TimePoint at(std::int64_t ms)
{
    return TimePoint(milliseconds(ms));
}

DutyCall usage(const std::string &window)
{
    return {.kind = DutyCall::Kind::ReportUsage, .subject = {}, .variant = window, .body = window};
}

DutyCall servers(const std::string &subject, const std::string &variant, const std::string &body)
{
    return {
        .kind = DutyCall::Kind::OrderServers, .subject = subject, .variant = variant, .body = body};
}

} // namespace

Test(duty_runner, onlyTheNewestOrderOfASubjectIsSent)
{
    DutyRunner runner({.callsPerSecond = 1000});
    runner.add(servers("s/a", "spot", "1"), at(0));
    runner.add(servers("s/a", "spot", "2"), at(0));
    runner.add(servers("s/a", "on_demand", "3"), at(0));
    const std::optional<DutyCall> first = runner.take(at(0));
    cr_assert_eq(first->body, "2");
    cr_assert_not(runner.take(at(10)), "one call of a subject at a time");
    runner.finish(*first, DutyAnswer::Done, at(20));
    cr_assert_eq(runner.take(at(20))->body, "3");
}

// A failed order that was replaced meanwhile would undo the newer one.
Test(duty_runner, aFailedOrderIsNotRepeatedAfterANewerOne)
{
    DutyRunner runner({.callsPerSecond = 1000});
    runner.add(servers("s/a", "spot", "1"), at(0));
    const std::optional<DutyCall> first = runner.take(at(0));
    runner.add(servers("s/a", "spot", "2"), at(10));
    runner.finish(*first, DutyAnswer::Unanswered, at(20));
    cr_assert_not(runner.take(at(200)));
    cr_assert_eq(runner.take(at(270))->body, "2");
    cr_assert_eq(runner.waiting(), 1U);
}

Test(duty_runner, reportsAreSentInOrderUntilEachIsDelivered)
{
    DutyRunner runner({.callsPerSecond = 1000});
    runner.add(usage("1"), at(0));
    runner.add(usage("2"), at(0));
    std::int64_t now = 0;
    std::vector<std::int64_t> delays;
    for (int failure = 0; failure < 6; ++failure) {
        const std::int64_t since = now;
        std::optional<DutyCall> call;
        while (!(call = runner.take(at(now))))
            now += 10;
        delays.push_back(now - since);
        cr_assert_eq(call->body, "1");
        runner.finish(*call, DutyAnswer::Unanswered, at(now));
    }
    cr_assert(delays == (std::vector<std::int64_t>{0, 250, 500, 1000, 2000, 2000}));
    now += 2000;
    runner.finish(*runner.take(at(now)), DutyAnswer::Done, at(now));
    cr_assert_eq(runner.take(at(now + 1))->body, "2");
}

Test(duty_runner, aHolderWaitsForTheLastCallOfItsPredecessor)
{
    DutyAuthority authority(milliseconds(4200));
    cr_assert_not(authority.mayAct(at(10'000)));
    authority.gain(2, at(10'000));
    cr_assert_not(authority.mayAct(at(14'199)));
    cr_assert(authority.mayAct(at(14'200)));
    authority.lose();
    cr_assert_not(authority.mayAct(at(20'000)));
}

// After an outage all holders would call at once.
Test(duty_runner, theRateIsBoundedOverAllSubjects)
{
    DutyRunner runner({.callsPerSecond = 25});
    for (int subject = 0; subject < 500; ++subject)
        runner.add(servers(std::to_string(subject), "spot", "1"), at(0));
    int calls = 0;
    for (int now = 0; now < 4000; now += 10) {
        while (const auto call = runner.take(at(now))) {
            ++calls;
            runner.finish(*call, DutyAnswer::Done, at(now));
        }
    }
    cr_assert_leq(calls, 101);
    cr_assert_geq(calls, 90);
}

// A process that was suspended between the confirmation and the call called after its successor.
Test(duty_runner, aPermitEndsBeforeASuccessorMakesCalls)
{
    constexpr milliseconds orderMargin(1200);
    constexpr milliseconds callTimeout(400);
    cr_assert(DutyPermit::MaxAge + callTimeout < orderMargin);
    DutyAuthority authority(orderMargin);
    authority.gain(5, at(0));
    const DutyPermit permit(5, at(2000));
    cr_assert(permit.isValid(authority, at(2000)));
    cr_assert(permit.isValid(authority, at(2700)));
    cr_assert_not(permit.isValid(authority, at(2701)));
}

// Orders were decided under one term, and the rest of them sent under the next one without its
// wait.
Test(duty_runner, aPermitDoesNotOutlastTheTerm)
{
    DutyAuthority authority(milliseconds(100));
    authority.gain(5, at(0));
    const DutyPermit permit(5, at(1000));
    authority.lose();
    cr_assert_not(permit.isValid(authority, at(1010)));
    authority.gain(7, at(1020));
    cr_assert_not(permit.isValid(authority, at(1030)));
    cr_assert_not(permit.isValid(authority, at(1200)), "of another term");
    cr_assert_not(DutyPermit(7, at(1030)).isValid(authority, at(1030)), "before the term's wait");
    cr_assert(DutyPermit(7, at(1130)).isValid(authority, at(1130)));
}

// Leaders are lost, frozen and cut off at random. A former one takes itself for the leader until
// its election timeout is over, and its calls arrive up to the time-out of a call later.
Test(duty_runner, aSuccessorCallsOnlyAfterTheLastCallOfItsPredecessor)
{
    constexpr std::int64_t lease = 3000;
    constexpr std::int64_t margin = lease + 1200;
    constexpr std::int64_t longestBelief = 800;
    constexpr std::int64_t longestCall = 400;
    struct Arrival
    {
        std::int64_t at;
        std::uint64_t token;
        int holder;
        std::string subject;
    };
    for (unsigned seed = 1; seed <= 1000; ++seed) {
        std::mt19937 random(seed);
        std::vector<DutyAuthority> authorities(5, DutyAuthority(milliseconds(margin)));
        std::vector<DutyRunner> runners(5, DutyRunner({.callsPerSecond = 25}));
        std::vector<std::int64_t> believesUntil(5, 0);
        std::vector<Arrival> arrivals;
        std::uint64_t term = 0;
        std::int64_t nextChange = 0;
        int leader = -1;
        for (std::int64_t now = 0; now < 60'000; now += 50) {
            if (now >= nextChange) {
                if (leader >= 0)
                    believesUntil[leader] = now + random() % longestBelief;
                // The next leader is elected once the former one is silent.
                leader = static_cast<int>(random() % 5);
                authorities[leader].lose();
                runners[leader].clear();
                authorities[leader].gain(++term, at(now));
                believesUntil[leader] = std::numeric_limits<std::int64_t>::max();
                nextChange = now + 200 + random() % 9000;
            }
            for (int instance = 0; instance < 5; ++instance) {
                DutyAuthority &authority = authorities[instance];
                if (now > believesUntil[instance]) {
                    authority.lose();
                    runners[instance].clear();
                }
                if (!authority.mayAct(at(now)))
                    continue;
                runners[instance].add(
                    servers(std::to_string(random() % 3), "spot", std::to_string(now)), at(now));
                if (const auto call = runners[instance].take(at(now))) {
                    const auto onTheWay = static_cast<std::int64_t>(random() % longestCall);
                    arrivals.push_back(
                        {now + onTheWay, authority.token(), instance, call->subject});
                    runners[instance].finish(
                        *call, random() % 4 == 0 ? DutyAnswer::Unanswered : DutyAnswer::Done,
                        at(now));
                }
            }
        }
        std::stable_sort(
            arrivals.begin(), arrivals.end(),
            [](const Arrival &left, const Arrival &right) { return left.at < right.at; });
        std::map<std::string, Arrival> last;
        std::map<std::uint64_t, int> holders;
        std::map<std::string, std::map<int, std::int64_t>> lastOf;
        for (const Arrival &arrival : arrivals) {
            cr_assert_eq(holders.emplace(arrival.token, arrival.holder).first->second,
                         arrival.holder, "seed %u: two holders of one token", seed);
            const auto before = last.find(arrival.subject);
            if (before != last.end()) {
                cr_assert_geq(arrival.token, before->second.token, "seed %u: token fell", seed);
                const auto own = lastOf[arrival.subject].find(arrival.holder);
                if (before->second.holder != arrival.holder && own != lastOf[arrival.subject].end())
                    cr_assert_geq(arrival.at - own->second, lease, "seed %u: holders took turns",
                                  seed);
            }
            last[arrival.subject] = arrival;
            lastOf[arrival.subject][arrival.holder] = arrival.at;
        }
        cr_assert_not(arrivals.empty());
    }
}
