#include <gentianramp/idempotency/claim_round.hpp>
#include <gentianramp/idempotency/key_replica.hpp>
#include <memory>

#include <criterion/criterion.h>

using namespace gentianramp;
using namespace std::chrono_literals;

namespace {

const InstanceId R1("r1");
const InstanceId R2("r2");
const InstanceId R3("r3");
const KeyScope Scope{CustomerId("c"), ServiceId("s"), IdempotencyKey("k")};
constexpr TimePoint Now{1h};

ClaimRecord claimedBy(const InstanceId &claimant)
{
    return {.claim = {claimant, Incarnation(1), 1}, .attempt = 1, .fingerprint = "body"};
}

Ballot ballot(std::uint64_t round, const InstanceId &proposer)
{
    return {.round = round, .instance = proposer, .incarnation = Incarnation(1)};
}

/// Three replicas of one data centre.
struct ReplicaGroupFixture
{
    ReplicaGroupFixture()
    {
        for (const InstanceId &member : {R1, R2, R3})
            start(member, 1, true);
    }

    void start(const InstanceId &member, std::uint64_t incarnation, bool noPriorClaims)
    {
        KeyReplicaOptions options{.self = member,
                                  .incarnation = Incarnation(incarnation),
                                  .retention = 60s,
                                  .maxKeys = 10,
                                  .maxStoredBytes = 100,
                                  .noPriorClaims = noPriorClaims};
        replicas[member] = std::make_unique<KeyReplica>(options, groups, Now);
    }

    void learn(const InstanceId &member)
    {
        for (const auto &[source, request] : replicas[member]->dueLearnRequests(Now)) {
            const auto page = replicas[source]->onLearnRequest(member, request, Now);
            replicas[member]->onLearnPage(source, page, Now);
        }
    }

    void prepare(ClaimRound &round, const InstanceId &member)
    {
        round.onPromise(member, replicas[member]->onPrepare(round.prepare(), Now));
    }

    void accept(ClaimRound &round, const KeyAccept &accept, const InstanceId &member)
    {
        round.onAccepted(member, replicas[member]->onAccept(accept, Now));
    }

    ClaimRound round(std::uint64_t number, const InstanceId &proposer) const
    {
        return ClaimRound(Scope, groups.groups(Scope), ballot(number, proposer));
    }

    KeyGroups groups{{{R1, DataCentreId("a")}, {R2, DataCentreId("a")}, {R3, DataCentreId("a")}},
                     {DataCentreId("a")}};
    std::map<InstanceId, std::unique_ptr<KeyReplica>> replicas;
};

} // namespace

Test(KeyReplica, ProposalBasedOnAPromiseLostInARestartIsRefused)
{
    ReplicaGroupFixture group;
    ClaimRound first = group.round(2, R2);
    group.prepare(first, R1);
    group.start(R1, 2, false);
    group.learn(R1);
    group.prepare(first, R2);
    cr_assert(first.isPromised());

    ClaimRound second = group.round(1, R3);
    group.prepare(second, R1);
    group.prepare(second, R3);
    const KeyAccept other = second.propose(claimedBy(R3));
    group.accept(second, other, R1);
    group.accept(second, other, R3);
    cr_assert(second.isChosen());

    const KeyAccept stale = first.propose(claimedBy(R2));
    for (const InstanceId &member : {R1, R2, R3})
        group.accept(first, stale, member);
    cr_assert_not(first.isChosen());
}

Test(KeyReplica, AcceptanceLostInARestartDoesNotCount)
{
    ReplicaGroupFixture group;
    ClaimRound round = group.round(1, R2);
    group.prepare(round, R2);
    group.prepare(round, R3);
    const KeyAccept accept = round.propose(claimedBy(R2));
    group.accept(round, accept, R1);
    group.start(R1, 2, false);
    group.learn(R1);
    group.accept(round, accept, R2);
    cr_assert_not(round.isChosen());
    group.accept(round, accept, R3);
    cr_assert(round.isChosen());
}

Test(KeyReplica, RestartedReplicaRefusesProposalsUntilItHasLearned)
{
    ReplicaGroupFixture group;
    group.start(R1, 2, false);
    ClaimRound round = group.round(1, R2);
    group.prepare(round, R1);
    group.prepare(round, R2);
    cr_assert_not(round.isPromised());
    cr_assert(group.replicas[R1]->isLearning(Now));
    group.learn(R1);
    cr_assert_not(group.replicas[R1]->isLearning(Now));
    group.prepare(round, R1);
    cr_assert(round.isPromised());
}

Test(KeyReplica, RestartedReplicaLearnsTheKeysOfItsPeers)
{
    ReplicaGroupFixture group;
    constexpr int keys = 9;
    for (int number = 0; number < keys; ++number) {
        KeyScope scope = Scope;
        scope.key = IdempotencyKey(std::to_string(number));
        group.replicas[R2]->onPrepare({.scope = scope, .ballot = ballot(1, R2)}, Now);
    }
    group.start(R1, 2, false);
    group.learn(R1);
    cr_assert_eq(group.replicas[R1]->keyCount(), static_cast<std::size_t>(keys));
}

Test(KeyReplica, ForgetsKeysAfterTheRetention)
{
    ReplicaGroupFixture group;
    group.replicas[R1]->onPrepare({.scope = Scope, .ballot = ballot(1, R2)}, Now);
    group.replicas[R1]->forgetExpired(Now + 59s);
    cr_assert_eq(group.replicas[R1]->keyCount(), 1U);
    group.replicas[R1]->forgetExpired(Now + 61s);
    cr_assert_eq(group.replicas[R1]->keyCount(), 0U);
}

Test(KeyReplica, KeepsOnlyTheRecordWhenTheAnswerExceedsTheByteLimit)
{
    ReplicaGroupFixture group;
    ClaimRound round = group.round(1, R2);
    for (const InstanceId &member : {R1, R2, R3})
        group.prepare(round, member);
    ClaimRecord record = claimedBy(R2);
    record.state = ClaimState::Complete;
    record.answer.body = std::string(101, 'x');
    group.accept(round, round.propose(record), R1);
    const KeyPromise promise
        = group.replicas[R1]->onPrepare({.scope = Scope, .ballot = ballot(2, R3)}, Now);
    cr_assert_eq(promise.record->state, ClaimState::Complete);
    cr_assert(promise.record->answer.tooLarge);
    cr_assert_eq(group.replicas[R1]->droppedAnswers(), 1U);
}
