#include <gentianramp/idempotency/key_service_simulation.hpp>
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

/// Simulated deployment and a caller.
struct KeyServiceFixture
{
    explicit KeyServiceFixture(KeyServiceOptions options = testOptions())
        : simulation(fiveInstances(), std::move(options), {}, 1)
    { }

    ClaimRequest request(const std::string &key, const std::string &body = "body") const
    {
        return {.scope = {CustomerId("c"), ServiceId("s"), IdempotencyKey(key)},
                .fingerprint = body,
                .wallMs = simulation.wallMs(),
                .deadline = simulation.now() + 2s};
    }

    ClaimResult claim(const std::string &instance, const ClaimRequest &request)
    {
        std::optional<ClaimResult> claimResult;
        simulation.service(InstanceId(instance))
            ->claim(request, simulation.now(),
                    [&claimResult](ClaimResult result) { claimResult = std::move(result); });
        for (int step = 0; step < 500 && !claimResult; ++step)
            simulation.runUntil(simulation.now() + 10ms);
        cr_assert(claimResult.has_value());
        return *claimResult;
    }

    void settle(const std::string &instance, const ClaimResult &granted, ClaimOutcome outcome)
    {
        simulation.service(InstanceId(instance))
            ->settle(granted.ticket, std::move(outcome), simulation.now());
        simulation.runUntil(simulation.now() + 500ms);
    }

    void restart(const std::string &instance)
    {
        simulation.crash(InstanceId(instance));
        simulation.restart(InstanceId(instance));
    }

    KeyServiceSimulation simulation;
};

} // namespace

Test(KeyService, RepeatGetsTheStoredAnswer)
{
    KeyServiceFixture fixture;
    const ClaimResult first = fixture.claim("a1", fixture.request("a/1"));
    cr_assert_eq(first.status, ClaimStatus::Granted);
    fixture.settle("a1", first, {ClaimState::Complete, {200, "text/plain", "done", false}});
    const ClaimResult repeat = fixture.claim("b2", fixture.request("a/1"));
    cr_assert_eq(repeat.status, ClaimStatus::AlreadyComplete);
    cr_assert_eq(repeat.verdict, Verdict::Complete);
    cr_assert_eq(repeat.answer.body, "done");
}

Test(KeyService, RepeatWaitsForTheRunningAttempt)
{
    KeyServiceFixture fixture;
    const ClaimResult first = fixture.claim("a1", fixture.request("a/1"));
    cr_assert_eq(fixture.claim("a2", fixture.request("a/1")).status, ClaimStatus::InProgress);
    fixture.simulation.after(300ms, [&] {
        fixture.simulation.service(InstanceId("a1"))
            ->settle(first.ticket, {ClaimState::Complete, {200, "", "late", false}},
                     fixture.simulation.now());
    });
    cr_assert_eq(fixture.claim("a2", fixture.request("a/1")).answer.body, "late");
}

Test(KeyService, OtherBodyUnderTheSameKeyIsRefused)
{
    KeyServiceFixture fixture;
    fixture.claim("a1", fixture.request("a/1"));
    const ClaimResult other = fixture.claim("a2", fixture.request("a/1", "other"));
    cr_assert_eq(other.status, ClaimStatus::Conflict);
}

Test(KeyService, ReleasedKeyCanBeClaimedAgain)
{
    KeyServiceFixture fixture;
    const ClaimResult first = fixture.claim("a1", fixture.request("a/1"));
    fixture.settle("a1", first, {.state = ClaimState::Released});
    const ClaimResult second = fixture.claim("b1", fixture.request("a/1"));
    cr_assert_eq(second.status, ClaimStatus::Granted);
    cr_assert_eq(second.ticket.attempt, 2U);
}

Test(KeyService, ClaimOfACrashedClaimantMayHaveRun)
{
    KeyServiceFixture fixture;
    fixture.claim("b1", fixture.request("a/1"));
    fixture.simulation.crash(InstanceId("b1"));
    cr_assert_eq(fixture.claim("a2", fixture.request("a/1")).status, ClaimStatus::MayHaveRun);
    fixture.simulation.restart(InstanceId("b1"));
    cr_assert_eq(fixture.claim("a3", fixture.request("a/1")).status, ClaimStatus::MayHaveRun);
}

Test(KeyService, PartitionedDataCentreServesOnlyItsOwnKeys)
{
    KeyServiceFixture fixture;
    fixture.simulation.partition({InstanceId("b1"), InstanceId("b2")});
    cr_assert_eq(fixture.claim("b1", fixture.request("b/1")).status, ClaimStatus::Granted);
    ClaimRequest foreign = fixture.request("a/1");
    const ClaimResult unknown = fixture.claim("b1", foreign);
    cr_assert_eq(unknown.status, ClaimStatus::Unavailable);
    cr_assert_eq(unknown.verdict, Verdict::MayHaveRun);
    foreign.firstAttempt = true;
    foreign.deadline = fixture.simulation.now() + 2s;
    cr_assert_eq(fixture.claim("b1", foreign).verdict, Verdict::NotRun);
}

Test(KeyService, RecordSurvivesRestartsOfAllReplicasInTurn)
{
    KeyServiceFixture fixture;
    const ClaimResult first = fixture.claim("b1", fixture.request("a/1"));
    fixture.settle("b1", first, {ClaimState::Complete, {200, "", "kept", false}});
    for (const char *instance : {"a1", "a2", "a3"}) {
        fixture.restart(instance);
        fixture.simulation.runUntil(fixture.simulation.now() + 3s);
    }
    cr_assert_eq(fixture.claim("b1", fixture.request("a/1")).answer.body, "kept");
}

Test(KeyService, UntimedKeysAreRefusedForTheRetentionAfterAllReplicasRestarted)
{
    KeyServiceFixture fixture;
    for (const char *instance : {"a1", "a2", "a3"})
        fixture.restart(instance);
    fixture.simulation.runUntil(fixture.simulation.now() + 10s);
    cr_assert_eq(fixture.claim("a1", fixture.request("a/1")).status, ClaimStatus::Unavailable);
    // A UUID of version 7 with the current time: the key was created after the restart, which can't
    // have lost a claim of it.
    std::string hex = "000000000000";
    for (auto [rest, at] = std::pair{fixture.simulation.wallMs(), 11}; rest > 0; rest /= 16, --at)
        hex[static_cast<std::size_t>(at)] = "0123456789abcdef"[rest % 16];
    const std::string fresh
        = "a/" + hex.substr(0, 8) + "-" + hex.substr(8) + "-7000-8000-000000000000";
    cr_assert_eq(fixture.claim("a1", fixture.request(fresh)).status, ClaimStatus::Granted);
    fixture.simulation.runUntil(fixture.simulation.now() + 75s);
    cr_assert_eq(fixture.claim("a1", fixture.request("a/1")).status, ClaimStatus::Granted);
    cr_assert_eq(fixture.claim("a1", fixture.request(fresh)).status, ClaimStatus::MayHaveRun);
}

Test(KeyService, FullReplicasRefuseNewKeysAndKeepExistingOnes)
{
    KeyServiceOptions options = testOptions();
    options.maxKeys = 1;
    KeyServiceFixture fixture(options);
    const ClaimResult first = fixture.claim("a1", fixture.request("a/1"));
    fixture.settle("a1", first, {.state = ClaimState::MayHaveRun});
    const ClaimResult second = fixture.claim("a2", fixture.request("a/2"));
    cr_assert_eq(second.status, ClaimStatus::Overloaded);
    cr_assert_eq(second.verdict, Verdict::NotRun);
    cr_assert_eq(fixture.claim("a3", fixture.request("a/1")).status, ClaimStatus::MayHaveRun);
}

Test(KeyService, LargeAnswersAreNotKept)
{
    KeyServiceOptions options = testOptions();
    options.maxAnswerBytes = 4;
    KeyServiceFixture fixture(options);
    const ClaimResult first = fixture.claim("a1", fixture.request("a/1"));
    fixture.settle("a1", first, {ClaimState::Complete, {200, "", "longer", false}});
    const ClaimResult repeat = fixture.claim("a2", fixture.request("a/1"));
    cr_assert_eq(repeat.status, ClaimStatus::AlreadyComplete);
    cr_assert(repeat.answer.tooLarge);
    cr_assert_eq(repeat.verdict, Verdict::MayHaveRun);
}

Test(KeyService, ChangedInstanceListNeedsQuorumsOfBothGroups)
{
    KeyServiceFixture fixture;
    const ClaimResult first = fixture.claim("a1", fixture.request("a/1"));
    fixture.settle("a1", first, {ClaimState::Complete, {200, "", "old group", false}});
    // The next list has b1 and b2 in data centre a and a1 in b; a2 and a3 are removed.
    const std::vector<PlacedInstance> next{{InstanceId("b1"), DataCentreId("a")},
                                           {InstanceId("b2"), DataCentreId("a")},
                                           {InstanceId("a1"), DataCentreId("b")}};
    for (const PlacedInstance &placed : fiveInstances())
        fixture.simulation.service(placed.instance)->setInstances(next, fixture.simulation.now());
    cr_assert_eq(fixture.claim("b1", fixture.request("a/1")).answer.body, "old group");
    fixture.simulation.crash(InstanceId("a2"));
    fixture.simulation.crash(InstanceId("a3"));
    cr_assert_eq(fixture.claim("b1", fixture.request("a/2")).status, ClaimStatus::Unavailable);
}

Test(KeyService, TicketExpiresAfterTheDispatchWindow)
{
    KeyServiceFixture fixture;
    const ClaimResult first = fixture.claim("a1", fixture.request("a/1"));
    cr_assert(first.ticket.mayDispatch(fixture.simulation.now()));
    cr_assert_not(first.ticket.mayDispatch(fixture.simulation.now() + 5s));
}
