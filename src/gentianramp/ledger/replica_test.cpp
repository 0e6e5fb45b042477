#include "ledger_simulation.hpp"

#include <algorithm>
#include <gentianramp/ledger/replica.hpp>

#include <criterion/criterion.h>

using namespace gentianramp;
using namespace gentianramp::testing;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1s};

/// Three voters "a", "b" and "c" whose identities are 1, 2 and 3.
StoredLog foundedLog()
{
    StoredLog stored;
    stored.hardState.set_identity(1);
    stored.hardState.set_boot(1);
    stored.hardState.set_term(1);
    stored.snapshot.set_index(10);
    stored.snapshot.set_term(1);
    std::uint64_t identity = 1;
    for (const char *name : {"a", "b", "c"}) {
        auto *slot = stored.snapshot.add_identities();
        slot->set_instance(name);
        slot->set_identity(identity++);
    }
    return stored;
}

ReplicaOptions optionsOfA()
{
    return {.self = InstanceId("a"), .voters = {InstanceId("a"), InstanceId("b"), InstanceId("c")}};
}

proto::LedgerMessage messageOf(std::uint64_t identity, std::uint64_t term)
{
    proto::LedgerMessage message;
    message.set_identity(identity);
    message.set_boot(1);
    message.set_session(identity * 100);
    message.set_term(term);
    return message;
}

proto::LedgerMessage voteRequest(std::uint64_t identity, std::uint64_t term)
{
    proto::LedgerMessage message = messageOf(identity, term);
    message.mutable_vote_request()->set_last_index(10);
    message.mutable_vote_request()->set_last_term(1);
    return message;
}

proto::LedgerMessage granted(std::uint64_t identity, std::uint64_t term, bool preVote)
{
    proto::LedgerMessage message = messageOf(identity, term);
    message.mutable_vote_response()->set_pre_vote(preVote);
    message.mutable_vote_response()->set_granted(true);
    message.mutable_vote_response()->set_election_term(term);
    message.mutable_vote_response()->set_last_index(10);
    return message;
}

/// Answer to the leader's broadcast @p round.
proto::LedgerMessage acknowledged(std::uint64_t identity, std::uint64_t term, std::uint64_t match,
                                  std::uint64_t round = 1)
{
    proto::LedgerMessage message = messageOf(identity, term);
    message.mutable_append_response()->set_accepted(true);
    message.mutable_append_response()->set_match_index(match);
    message.mutable_append_response()->set_probe(round);
    return message;
}

/// Newest broadcast round in the messages of @p output; 0 if there is none.
std::uint64_t roundOf(const ReplicaOutput &output)
{
    std::uint64_t round = 0;
    for (const OutgoingMessage &each : output.messages)
        round = std::max(round, each.message.append_request().probe());
    return round;
}

/// Lets "a" win the election of the term after @p stored with the vote of "b".
Replica leaderFrom(const StoredLog &stored)
{
    Replica replica(optionsOfA(), stored, Start);
    const std::uint64_t term = stored.hardState.term();
    replica.tick(Start + 10s);
    replica.step(InstanceId("b"), granted(2, term, true), Start + 10s);
    replica.step(InstanceId("b"), granted(2, term + 1, false), Start + 10s);
    return replica;
}

bool grantsVote(const ReplicaOutput &output)
{
    return std::any_of(output.messages.begin(), output.messages.end(),
                       [](const auto &each) { return each.message.vote_response().granted(); });
}

std::size_t entriesOfKind(const Replica &replica, proto::EntryKind kind)
{
    const auto entries = replica.entries();
    return static_cast<std::size_t>(
        std::count_if(entries.begin(), entries.end(),
                      [kind](const proto::LogEntry &entry) { return entry.kind() == kind; }));
}

/// Isolates the voter @p third and accepts a change that only the two others receive.
std::string acceptWhileIsolated(LedgerSimulation &run, std::size_t third)
{
    run.setIsolated(third, true);
    run.run(10s);
    std::string command = run.propose("accepted while one voter was isolated");
    run.run(5s);
    cr_assert(run.accepted(command));
    return command;
}

} // namespace

Test(Replica, VoteSurvivesARestart)
{
    StoredLog stored = foundedLog();
    Replica replica(optionsOfA(), stored, Start);
    const ReplicaOutput output = replica.step(InstanceId("b"), voteRequest(2, 5), Start + 10s);
    cr_assert(grantsVote(output));
    cr_assert(output.record.has_value());
    stored.hardState = output.record->hard_state();
    Replica restarted(optionsOfA(), stored, Start + 11s);
    cr_assert_not(grantsVote(restarted.step(InstanceId("c"), voteRequest(3, 5), Start + 12s)));
    cr_assert(grantsVote(restarted.step(InstanceId("b"), voteRequest(2, 5), Start + 12s)));
}

Test(Replica, CommitsEntriesOfEarlierTermsOnlyWithOneOfItsOwnTerm)
{
    StoredLog stored = foundedLog();
    proto::LogEntry old;
    old.set_index(11);
    old.set_term(1);
    stored.entries.push_back(old);
    Replica replica = leaderFrom(stored);
    cr_assert(replica.role() == ReplicaRole::Leader);
    replica.step(InstanceId("b"), acknowledged(2, 2, 11), Start + 10s);
    cr_assert(replica.commitIndex() == LogIndex(10),
              "a majority with an entry of an earlier term does not commit it");
    replica.step(InstanceId("b"), acknowledged(2, 2, 12), Start + 10s);
    cr_assert(replica.commitIndex() == LogIndex(12));
}

Test(Replica, IgnoresVotesOfFoldersThatAreNotAdmitted)
{
    Replica replica(optionsOfA(), foundedLog(), Start);
    replica.tick(Start + 10s);
    replica.step(InstanceId("b"), granted(77, 1, true), Start + 10s);
    cr_assert(replica.role() == ReplicaRole::PreCandidate);
    replica.step(InstanceId("c"), granted(3, 1, true), Start + 10s);
    cr_assert(replica.role() == ReplicaRole::Candidate);
    replica.step(InstanceId("b"), granted(77, 2, false), Start + 10s);
    cr_assert(replica.role() == ReplicaRole::Candidate);
}

// A voter whose votes were silently ruled out looked like any other in the logs.
Test(Replica, TellsThatAVoteOfARolledBackFolderDidNotCount)
{
    StoredLog stored = foundedLog();
    proto::Witness &witness = *stored.hardState.add_witnesses();
    witness.set_instance("b");
    witness.set_identity(2);
    witness.mutable_before()->set_committed(12);
    Replica replica(optionsOfA(), stored, Start);
    replica.tick(Start + 10s);
    cr_assert_not(replica.voters()[1].rolledBack);
    replica.step(InstanceId("b"), granted(2, 1, true), Start + 10s);
    cr_assert(replica.voters()[1].rolledBack);
    cr_assert(replica.role() == ReplicaRole::PreCandidate);
}

Test(Replica, AdmitsAFolderOnlyAfterRetirementAndReplication)
{
    Replica replica = leaderFrom(foundedLog());
    const TimePoint now = Start + 10s;
    replica.step(InstanceId("b"), acknowledged(2, 2, 11), now);
    replica.step(InstanceId("c"), acknowledged(30, 2, 0), now);
    std::uint64_t round = roundOf(replica.tick(now + 500ms));
    cr_assert_eq(entriesOfKind(replica, proto::ENTRY_RETIRE), 1);
    replica.step(InstanceId("c"), acknowledged(30, 2, 12, round), now + 500ms);
    round = roundOf(replica.tick(now + 1s));
    cr_assert_eq(entriesOfKind(replica, proto::ENTRY_ADMIT), 0, "retirement is not committed");
    replica.step(InstanceId("b"), acknowledged(2, 2, 12, round), now + 1s);
    ReplicaOutput output;
    replica.propose("one more", now + 1s, output);
    replica.step(InstanceId("b"), acknowledged(2, 2, 13, round), now + 1s);
    cr_assert_eq(replica.commitIndex(), LogIndex(13));
    round = roundOf(replica.tick(now + 1500ms));
    cr_assert_eq(entriesOfKind(replica, proto::ENTRY_ADMIT), 0,
                 "the new folder lacks a committed entry");
    replica.step(InstanceId("c"), acknowledged(30, 2, 13, round), now + 1500ms);
    replica.tick(now + 2s);
    cr_assert_eq(entriesOfKind(replica, proto::ENTRY_ADMIT), 1);
}

// A new folder was admitted only if it had the whole log at a heartbeat, which it seldom had while
// changes came one after the other.
Test(Replica, AdmitsAFolderAsSoonAsItHasTheWholeLog)
{
    Replica replica = leaderFrom(foundedLog());
    const TimePoint now = Start + 10s;
    replica.step(InstanceId("b"), acknowledged(2, 2, 11), now);
    replica.step(InstanceId("c"), acknowledged(30, 2, 0), now);
    const std::uint64_t round = roundOf(replica.tick(now + 500ms));
    cr_assert_eq(entriesOfKind(replica, proto::ENTRY_RETIRE), 1);
    replica.step(InstanceId("b"), acknowledged(2, 2, 12, round), now + 510ms);
    ReplicaOutput output;
    replica.propose("one more", now + 520ms, output);
    replica.step(InstanceId("c"), acknowledged(30, 2, 13, round), now + 530ms);
    replica.propose("the next one", now + 540ms, output);
    cr_assert_eq(entriesOfKind(replica, proto::ENTRY_ADMIT), 1);
}

Test(Replica, RecordsMatchAndCommitIndexOfTheLeadersFolder)
{
    Replica replica(optionsOfA(), foundedLog(), Start);
    proto::LedgerMessage append = messageOf(2, 3);
    append.mutable_append_request()->set_prev_index(10);
    append.mutable_append_request()->set_prev_term(1);
    append.mutable_append_request()->set_commit(10);
    proto::LogEntry &entry = *append.mutable_append_request()->add_entries();
    entry.set_index(11);
    entry.set_term(3);
    replica.step(InstanceId("b"), append, Start);
    const ReplicaOutput output = replica.step(InstanceId("c"), voteRequest(3, 4), Start + 10s);
    const auto &witnesses = output.messages.front().message.witnesses();
    const auto ofLeader = std::find_if(witnesses.begin(), witnesses.end(),
                                       [](const auto &each) { return each.instance() == "b"; });
    cr_assert(ofLeader != witnesses.end());
    cr_assert_eq(ofLeader->life().match_index(), 11);
    cr_assert_eq(ofLeader->life().committed(), 10);
}

Test(Replica, AsksForPreVotesSoonerUntilItHasHeardALeader)
{
    const ReplicaOptions options = optionsOfA();
    const Duration soon = options.electionTimeout * 2 / 3;
    Replica replica(options, foundedLog(), Start);
    TimePoint now = Start;
    for (int attempt = 0; attempt < 3; ++attempt) {
        cr_assert_leq((replica.nextTick() - now).count(), soon.count());
        now = replica.nextTick();
        const ReplicaOutput output = replica.tick(now);
        cr_assert_eq(output.messages.size(), 2);
        cr_assert(output.messages[0].message.vote_request().pre_vote());
    }
    // An election waits for disks, and gets the whole time.
    replica.step(InstanceId("b"), granted(2, 1, true), now);
    cr_assert_eq(replica.role(), ReplicaRole::Candidate);
    cr_assert_geq((replica.nextTick() - now).count(), options.electionTimeout.count());
    proto::LedgerMessage request = messageOf(2, 2);
    request.mutable_append_request()->set_prev_index(10);
    request.mutable_append_request()->set_prev_term(1);
    replica.step(InstanceId("b"), request, now);
    cr_assert_geq((replica.nextTick() - now).count(), options.electionTimeout.count());
    now = replica.nextTick();
    replica.tick(now);
    cr_assert_geq((replica.nextTick() - now).count(), options.electionTimeout.count());
}

Test(Replica, StepsDownWithoutAMajority)
{
    Replica replica = leaderFrom(foundedLog());
    cr_assert(replica.role() == ReplicaRole::Leader);
    replica.tick(Start + 20s);
    cr_assert(replica.role() == ReplicaRole::Follower);
}

// The arrival of a delayed message was taken for the time of the confirmation that it tells of, so
// that a voter claimed to have changes that had been accepted while the message was on its way.
Test(Replica, ADelayedMessageDoesNotMakeAConfirmationNewer)
{
    Replica replica(optionsOfA(), foundedLog(), Start);
    const auto request = [&](std::uint64_t round) {
        proto::LedgerMessage message = messageOf(2, 2);
        message.mutable_append_request()->set_prev_index(10);
        message.mutable_append_request()->set_prev_term(1);
        message.mutable_append_request()->set_commit(10);
        message.mutable_append_request()->set_probe(round);
        return message;
    };
    const ReplicaOutput answer = replica.step(InstanceId("b"), request(1), Start + 1s);
    replica.step(InstanceId("b"), request(2), Start + 1200ms);
    replica.step(InstanceId("b"), request(1), Start + 1300ms);
    cr_assert_not(replica.confirmedAt());
    proto::LedgerMessage delayed = request(3);
    proto::Confirmation &confirmation = *delayed.mutable_append_request()->mutable_confirmation();
    confirmation.set_answered_probe(1);
    confirmation.set_answered_session(answer.messages.front().message.session());
    confirmation.set_answered_ms(400);
    confirmation.set_age_ms(100);
    replica.step(InstanceId("b"), delayed, Start + 9s);
    cr_assert(replica.confirmedAt() == Start + 1300ms);
}

// A caller that had held on to its time over a wait let the leader send an age below zero as 49
// days.
Test(Replica, AnEarlierTimeMakesNoAnswerOfAFollowerOlder)
{
    Replica replica = leaderFrom(foundedLog());
    ReplicaOutput output = replica.tick(Start + 11s);
    const std::uint64_t round = roundOf(output);
    cr_assert_gt(round, 0U);
    const std::uint64_t last = replica.lastIndex().value();
    replica.step(InstanceId("b"), acknowledged(2, 2, last, round), Start + 12s);
    replica.propose("change", Start + 12s - 5ms, output);
    std::size_t confirmations = 0;
    for (const OutgoingMessage &each : output.messages) {
        const proto::AppendRequest &request = each.message.append_request();
        if (!request.has_confirmation())
            continue;
        ++confirmations;
        cr_assert_leq(request.confirmation().answered_ms(), 1000U);
        cr_assert_leq(request.confirmation().age_ms(), 2000U);
    }
    cr_assert_gt(confirmations, 0U);
}

// A follower took an age that cannot be for a confirmation 49 days ahead, and kept it for good.
Test(Replica, AConfirmationThatWasAnsweredBeforeItWasAskedForIsRefused)
{
    for (const std::uint32_t answeredMs : {4294967291U, 4294967295U, 2147483648U, 1001U}) {
        Replica replica(optionsOfA(), foundedLog(), Start);
        proto::LedgerMessage message = messageOf(2, 2);
        proto::AppendRequest &request = *message.mutable_append_request();
        request.set_prev_index(10);
        request.set_prev_term(1);
        request.set_commit(10);
        request.set_probe(1);
        const ReplicaOutput answer = replica.step(InstanceId("b"), message, Start + 1s);
        request.set_probe(2);
        request.mutable_confirmation()->set_answered_probe(1);
        request.mutable_confirmation()->set_answered_session(
            answer.messages.front().message.session());
        request.mutable_confirmation()->set_answered_ms(answeredMs);
        replica.step(InstanceId("b"), message, Start + 2s);
        cr_expect_not(replica.confirmedAt(), "answered_ms=%u", answeredMs);
        // The next one that can be is used.
        request.set_probe(3);
        request.mutable_confirmation()->set_answered_probe(2);
        request.mutable_confirmation()->set_answered_ms(500);
        request.mutable_confirmation()->set_age_ms(100);
        replica.step(InstanceId("b"), message, Start + 3s);
        cr_expect(replica.confirmedAt() == Start + 2400ms, "answered_ms=%u", answeredMs);
    }
}

Test(Replica, AConfirmationForAnEarlierIncarnationIsNotUsed)
{
    Replica replica(optionsOfA(), foundedLog(), Start);
    proto::LedgerMessage message = messageOf(2, 2);
    proto::AppendRequest &request = *message.mutable_append_request();
    request.set_prev_index(10);
    request.set_prev_term(1);
    request.set_commit(10);
    request.set_probe(1);
    replica.step(InstanceId("b"), message, Start + 1s);
    request.set_probe(2);
    request.mutable_confirmation()->set_answered_probe(1);
    request.mutable_confirmation()->set_answered_session(1);
    replica.step(InstanceId("b"), message, Start + 2s);
    cr_assert_not(replica.confirmedAt());
}

// A leader whose messages reached nobody stayed in office, and confirmed no read, as long as other
// voters asked it for their votes.
Test(Replica, LeaderThatIsOnlyAskedForVotesStepsDown)
{
    Replica replica = leaderFrom(foundedLog());
    cr_assert(replica.role() == ReplicaRole::Leader);
    for (Duration passed = 100ms; passed <= 4s; passed += 100ms) {
        proto::LedgerMessage request = voteRequest(2, 2);
        request.mutable_vote_request()->set_pre_vote(true);
        replica.step(InstanceId("b"), request, Start + 10s + passed);
        replica.tick(Start + 10s + passed);
    }
    cr_assert(replica.role() != ReplicaRole::Leader);
}

Test(Ledger, EmptiedFolderDoesNotCountAsTheAdmittedOne)
{
    LedgerSimulation run({.seed = 5, .dropShare = 0, .duplicateShare = 0});
    run.found();
    const std::size_t leader = *run.leader();
    const std::size_t lost = (leader + 1) % 3;
    const std::size_t behind = (leader + 2) % 3;
    acceptWhileIsolated(run, behind);
    run.setIsolated(leader, true);
    run.setIsolated(behind, false);
    run.loseDisk(lost);
    run.start(lost);
    run.run(30s);
    cr_assert(run.voter(behind).replica->role() != ReplicaRole::Leader);
    cr_assert(run.voter(lost).replica->role() != ReplicaRole::Leader);
    run.settle();
    for (const std::string &what : run.violations())
        cr_expect(false, "%s", what.c_str());
}

Test(Ledger, LosingTwoFoldersInTurnKeepsCommittedEntries)
{
    LedgerSimulation run({.seed = 6, .dropShare = 0, .duplicateShare = 0});
    run.found();
    const std::size_t first = *run.leader();
    const std::size_t repaired = (first + 1) % 3;
    const std::size_t third = (first + 2) % 3;
    acceptWhileIsolated(run, third);
    run.loseDisk(repaired);
    run.start(repaired);
    run.setIsolated(third, false);
    run.run(20s);
    cr_assert(run.voter(repaired).replica->admitted());
    acceptWhileIsolated(run, third);
    run.loseDisk(*run.leader());
    run.setIsolated(third, false);
    run.run(20s);
    run.settle();
    for (const std::string &what : run.violations())
        cr_expect(false, "%s", what.c_str());
}

// Changes that came one after the other, or faster than the folder could acknowledge them, put off
// its retirement and admission: the next loss of a disk, long after the first, left one voter of
// three.
Test(Ledger, AdmitsAnEmptyFolderUnderAStreamOfChanges)
{
    LedgerSimulation run({.seed = 11, .dropShare = 0, .duplicateShare = 0});
    run.found();
    const std::size_t leader = *run.leader();
    const std::size_t lost = (leader + 1) % 3;
    run.loseDisk(lost);
    run.start(lost);
    for (int change = 0; change < 40; ++change) {
        run.propose("change " + std::to_string(change));
        run.run(100ms);
    }
    cr_assert(run.voter(lost).replica->admitted());
    run.settle();
    for (const std::string &what : run.violations())
        cr_expect(false, "%s", what.c_str());
}

Test(Ledger, RolledBackFolderDoesNotCountAsTheAdmittedOne)
{
    LedgerSimulation run({.seed = 7, .dropShare = 0, .duplicateShare = 0});
    run.found();
    const std::size_t leader = *run.leader();
    const std::size_t stale = (leader + 1) % 3;
    const std::size_t behind = (leader + 2) % 3;
    run.voter(stale).folderCopy = run.voter(stale).disk.files;
    run.crash(stale);
    run.start(stale);
    run.run(20s);
    acceptWhileIsolated(run, behind);
    run.setIsolated(leader, true);
    run.setIsolated(behind, false);
    run.restoreCopy(stale);
    run.run(30s);
    cr_assert(run.voter(behind).replica->role() != ReplicaRole::Leader);
    cr_assert(run.voter(stale).replica->role() != ReplicaRole::Leader);
    cr_assert_not(run.voter(stale).replica->admitted());
    run.settle();
    for (const std::string &what : run.violations())
        cr_expect(false, "%s", what.c_str());
}

Test(Ledger, IsolatedLeaderConfirmsNoRead)
{
    LedgerSimulation run({.seed = 8, .dropShare = 0, .duplicateShare = 0});
    run.found();
    const std::size_t leader = *run.leader();
    cr_assert(run.confirmsRead(leader));
    run.setIsolated(leader, true);
    cr_assert(run.voter(leader).replica->role() == ReplicaRole::Leader);
    cr_assert_not(run.confirmsRead(leader));
}

Test(Ledger, PausedLeaderConfirmsNoRead)
{
    LedgerSimulation run({.seed = 9, .dropShare = 0, .duplicateShare = 0});
    run.found();
    const std::size_t leader = *run.leader();
    run.voter(leader).paused = true;
    run.run(20s);
    cr_assert(run.leader().has_value() && *run.leader() != leader);
    run.voter(leader).paused = false;
    run.voter(leader).deferred.clear();
    cr_assert_not(run.confirmsRead(leader));
}

Test(Ledger, LeaderTransfersLeadershipWithoutAnElectionTimeout)
{
    LedgerSimulation run({.seed = 10, .dropShare = 0, .duplicateShare = 0});
    run.found();
    const std::size_t leader = *run.leader();
    run.transferLeadership(leader);
    run.run(1200ms);
    cr_assert(run.leader().has_value() && *run.leader() != leader);
}

// A seat passed from a killed process to a spare. As the leader wrote down that the former folder
// counted no more, a third process lost its disk, and no leader was elected any more although two
// processes had everything (review/3).
Test(Ledger, FormerFolderCountsWhileAnotherOneReplacesIt)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        LedgerSimulation run({.seed = seed, .dropShare = 0, .duplicateShare = 0, .spares = 1});
        run.found();
        run.run(5s);
        const std::size_t leader = run.leader().value();
        const std::size_t killed = (leader + 1) % 3;
        const std::size_t third = (leader + 2) % 3;
        const std::string kept = run.propose("accepted before");
        run.run(5s);
        cr_assert(run.accepted(kept));
        run.kill(killed);
        run.moveSlot(killed);
        const auto isReplacing
            = [&] { return run.voter(leader).replica->voters()[killed].successor != 0; };
        for (int step = 0; step < 200 && !isReplacing(); ++step)
            run.run(50ms);
        cr_assert(isReplacing(), "seed %lu", static_cast<unsigned long>(seed));
        run.loseDisk(third);
        run.run(2s);
        run.start(killed);
        run.start(third);
        run.run(30s);
        cr_expect(run.leader().has_value(), "seed %lu", static_cast<unsigned long>(seed));
        const std::string after = run.propose("accepted after");
        run.run(5s);
        cr_expect(run.accepted(after), "seed %lu", static_cast<unsigned long>(seed));
        for (const std::string &what : run.violations())
            cr_expect(false, "seed %lu: %s", static_cast<unsigned long>(seed), what.c_str());
    }
}
