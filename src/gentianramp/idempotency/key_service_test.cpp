#include <gentianramp/idempotency/test_deployment.hpp>
#include <optional>

#include <criterion/criterion.h>

using namespace gentianramp;
using namespace std::chrono_literals;

namespace {

KeyServiceOptions testOptions()
{
    KeyServiceOptions options;
    options.sites = {DataCentreId("a"), DataCentreId("b")};
    options.lifetime = 60s;
    options.longestWait = 3s;
    return options;
}

std::vector<PlacedInstance> fiveInstances()
{
    return {{InstanceId("a1"), DataCentreId("a")},
            {InstanceId("a2"), DataCentreId("a")},
            {InstanceId("a3"), DataCentreId("a")},
            {InstanceId("b1"), DataCentreId("b")},
            {InstanceId("b2"), DataCentreId("b")}};
}

/// Deployment with a caller.
struct Bench
{
    explicit Bench(KeyServiceOptions options = testOptions())
        : deployment(fiveInstances(), std::move(options), {}, 1)
    { }

    ClaimRequest request(const std::string &key, const std::string &body = "body") const
    {
        return {.scope = {CustomerId("c"), ServiceId("s"), IdempotencyKey(key)},
                .fingerprint = body,
                .wallMs = deployment.wallMs(),
                .deadline = deployment.now() + 2s};
    }

    ClaimResult claim(const std::string &instance, const ClaimRequest &request)
    {
        std::optional<ClaimResult> got;
        deployment.service(InstanceId(instance))
            ->claim(request, deployment.now(),
                    [&got](ClaimResult result) { got = std::move(result); });
        for (int step = 0; step < 500 && !got; ++step)
            deployment.runUntil(deployment.now() + 10ms);
        cr_assert(got.has_value());
        return *got;
    }

    void settle(const std::string &instance, const ClaimResult &granted, ClaimOutcome outcome)
    {
        deployment.service(InstanceId(instance))
            ->settle(granted.ticket, std::move(outcome), deployment.now());
        deployment.runUntil(deployment.now() + 500ms);
    }

    void restart(const std::string &instance)
    {
        deployment.crash(InstanceId(instance));
        deployment.restart(InstanceId(instance));
    }

    TestDeployment deployment;
};

} // namespace

Test(KeyService, RepeatGetsTheStoredAnswer)
{
    Bench bench;
    const ClaimResult first = bench.claim("a1", bench.request("a/1"));
    cr_assert_eq(first.status, ClaimStatus::Granted);
    bench.settle("a1", first, {ClaimState::Complete, {200, "text/plain", "done", false}});
    const ClaimResult repeat = bench.claim("b2", bench.request("a/1"));
    cr_assert_eq(repeat.status, ClaimStatus::AlreadyComplete);
    cr_assert_eq(repeat.verdict, Verdict::Complete);
    cr_assert_eq(repeat.answer.body, "done");
}

Test(KeyService, RepeatWaitsForTheRunningAttempt)
{
    Bench bench;
    const ClaimResult first = bench.claim("a1", bench.request("a/1"));
    cr_assert_eq(bench.claim("a2", bench.request("a/1")).status, ClaimStatus::InProgress);
    bench.deployment.after(300ms, [&] {
        bench.deployment.service(InstanceId("a1"))
            ->settle(first.ticket, {ClaimState::Complete, {200, "", "late", false}},
                     bench.deployment.now());
    });
    cr_assert_eq(bench.claim("a2", bench.request("a/1")).answer.body, "late");
}

Test(KeyService, OtherBodyUnderTheSameKeyIsRefused)
{
    Bench bench;
    bench.claim("a1", bench.request("a/1"));
    const ClaimResult other = bench.claim("a2", bench.request("a/1", "other"));
    cr_assert_eq(other.status, ClaimStatus::Conflict);
}

Test(KeyService, ReleasedKeyCanBeClaimedAgain)
{
    Bench bench;
    const ClaimResult first = bench.claim("a1", bench.request("a/1"));
    bench.settle("a1", first, {.state = ClaimState::Released});
    const ClaimResult second = bench.claim("b1", bench.request("a/1"));
    cr_assert_eq(second.status, ClaimStatus::Granted);
    cr_assert_eq(second.ticket.attempt, 2U);
}

Test(KeyService, DeadClaimantMeansMayHaveRun)
{
    Bench bench;
    bench.claim("b1", bench.request("a/1"));
    bench.deployment.crash(InstanceId("b1"));
    cr_assert_eq(bench.claim("a2", bench.request("a/1")).status, ClaimStatus::MayHaveRun);
    bench.deployment.restart(InstanceId("b1"));
    cr_assert_eq(bench.claim("a3", bench.request("a/1")).status, ClaimStatus::MayHaveRun);
}

Test(KeyService, CutOffDataCentreServesItsOwnKeysOnly)
{
    Bench bench;
    bench.deployment.cutOff({InstanceId("b1"), InstanceId("b2")});
    cr_assert_eq(bench.claim("b1", bench.request("b/1")).status, ClaimStatus::Granted);
    ClaimRequest foreign = bench.request("a/1");
    const ClaimResult unknown = bench.claim("b1", foreign);
    cr_assert_eq(unknown.status, ClaimStatus::Unavailable);
    cr_assert_eq(unknown.verdict, Verdict::MayHaveRun);
    foreign.firstAttempt = true;
    foreign.deadline = bench.deployment.now() + 2s;
    cr_assert_eq(bench.claim("b1", foreign).verdict, Verdict::NotRun);
}

Test(KeyService, RestartedReplicasLearnOneAfterTheOther)
{
    Bench bench;
    const ClaimResult first = bench.claim("b1", bench.request("a/1"));
    bench.settle("b1", first, {ClaimState::Complete, {200, "", "kept", false}});
    for (const char *instance : {"a1", "a2", "a3"}) {
        bench.restart(instance);
        bench.deployment.runUntil(bench.deployment.now() + 3s);
    }
    cr_assert_eq(bench.claim("b1", bench.request("a/1")).answer.body, "kept");
}

Test(KeyService, ReplicasThatLostAMajorityRefuseOldKeysUntilTheLifetimePassed)
{
    Bench bench;
    for (const char *instance : {"a1", "a2", "a3"})
        bench.restart(instance);
    bench.deployment.runUntil(bench.deployment.now() + 10s);
    cr_assert_eq(bench.claim("a1", bench.request("a/1")).status, ClaimStatus::Unavailable);
    // Version 7 of the time now: made after the restart, so that no claim can have been lost.
    std::string hex = "000000000000";
    for (auto [rest, at] = std::pair{bench.deployment.wallMs(), 11}; rest > 0; rest /= 16, --at)
        hex[static_cast<std::size_t>(at)] = "0123456789abcdef"[rest % 16];
    const std::string fresh
        = "a/" + hex.substr(0, 8) + "-" + hex.substr(8) + "-7000-8000-000000000000";
    cr_assert_eq(bench.claim("a1", bench.request(fresh)).status, ClaimStatus::Granted);
    bench.deployment.runUntil(bench.deployment.now() + 75s);
    cr_assert_eq(bench.claim("a1", bench.request("a/1")).status, ClaimStatus::Granted);
    cr_assert_eq(bench.claim("a1", bench.request(fresh)).status, ClaimStatus::MayHaveRun);
}

Test(KeyService, FullReplicasRefuseAndForgetNothing)
{
    KeyServiceOptions options = testOptions();
    options.maxKeys = 1;
    Bench bench(options);
    const ClaimResult first = bench.claim("a1", bench.request("a/1"));
    bench.settle("a1", first, {.state = ClaimState::MayHaveRun});
    const ClaimResult second = bench.claim("a2", bench.request("a/2"));
    cr_assert_eq(second.status, ClaimStatus::Overloaded);
    cr_assert_eq(second.verdict, Verdict::NotRun);
    cr_assert_eq(bench.claim("a3", bench.request("a/1")).status, ClaimStatus::MayHaveRun);
}

Test(KeyService, LargeAnswersAreNotKept)
{
    KeyServiceOptions options = testOptions();
    options.maxAnswerBytes = 4;
    Bench bench(options);
    const ClaimResult first = bench.claim("a1", bench.request("a/1"));
    bench.settle("a1", first, {ClaimState::Complete, {200, "", "longer", false}});
    const ClaimResult repeat = bench.claim("a2", bench.request("a/1"));
    cr_assert_eq(repeat.status, ClaimStatus::AlreadyComplete);
    cr_assert(repeat.answer.tooLarge);
    cr_assert_eq(repeat.verdict, Verdict::MayHaveRun);
}

Test(KeyService, ChangedInstanceListNeedsBothGroups)
{
    Bench bench;
    const ClaimResult first = bench.claim("a1", bench.request("a/1"));
    bench.settle("a1", first, {ClaimState::Complete, {200, "", "old group", false}});
    // Data centre a moves to b1 and b2 altogether.
    const std::vector<PlacedInstance> next{{InstanceId("b1"), DataCentreId("a")},
                                           {InstanceId("b2"), DataCentreId("a")},
                                           {InstanceId("a1"), DataCentreId("b")}};
    for (const PlacedInstance &placed : fiveInstances())
        bench.deployment.service(placed.instance)->setInstances(next, bench.deployment.now());
    cr_assert_eq(bench.claim("b1", bench.request("a/1")).answer.body, "old group");
    bench.deployment.crash(InstanceId("a2"));
    bench.deployment.crash(InstanceId("a3"));
    cr_assert_eq(bench.claim("b1", bench.request("a/2")).status, ClaimStatus::Unavailable);
}

Test(KeyService, TicketEndsWithItsDispatchWindow)
{
    Bench bench;
    const ClaimResult first = bench.claim("a1", bench.request("a/1"));
    cr_assert(first.ticket.mayDispatch(bench.deployment.now()));
    cr_assert_not(first.ticket.mayDispatch(bench.deployment.now() + 5s));
}
