#include "voter_simulation.hpp"

#include <random>

#include "gentianramp/registry/generated/registry.pb.h"

#include <criterion/criterion.h>

using namespace gentianramp;
using gentianramp::testing::DiskFault;
using gentianramp::testing::Seats;
using gentianramp::testing::VoterSimulation;

namespace {

using std::chrono::milliseconds;

} // namespace

Test(declaration_ledger, highestNumberWins)
{
    VoterSimulation voters;
    voters.run(6000);
    cr_assert_not_null(voters.leader());
    cr_assert(voters.declare(voters.leader(), 7, "seven") == true);
    cr_assert(voters.declare(voters.leader(), 30, "thirty") == true);
    // An older declaration that arrives again is acknowledged without effect.
    cr_assert(voters.declare(voters.leader(), 7, "seven") == true);
    cr_assert(voters.read(voters.leader()) == (RawDeclaration{30, "thirty"}));
    for (auto &[seat, ledger] : voters.ledgers)
        cr_assert(ledger->committed() == (RawDeclaration{30, "thirty"}));
}

Test(declaration_ledger, firstContentUnderANumberIsKept)
{
    VoterSimulation voters;
    voters.run(6000);
    DeclarationLedger *leader = voters.leader();
    const auto accepted = std::make_shared<int>(0);
    for (const char *content : {"first", "second", "third"})
        leader->declare(
            {5, content}, [accepted](bool inForce) { *accepted += inForce ? 1 : 0; },
            TimePoint(std::chrono::seconds(106)));
    voters.run(3000);
    cr_assert_eq(*accepted, 3);
    cr_assert(voters.declare(leader, 5, "fourth") == true);
    cr_assert(voters.read(leader) == (RawDeclaration{5, "first"}));
}

Test(declaration_ledger, acknowledgedDeclarationSurvivesLossOfLeaderAndItsDisk)
{
    VoterSimulation voters;
    voters.run(6000);
    const InstanceId first = voters.leaderSeat();
    cr_assert(voters.declare(voters.leader(), 3, "three") == true);
    voters.stop(first);
    cr_assert_not(prepareSeat(voters.disk(first).disk(), first.value(), false, 4711));
    voters.run(8000);
    cr_assert_not_null(voters.leader());
    cr_assert(voters.read(voters.leader()) == (RawDeclaration{3, "three"}));
    voters.start(first);
    voters.run(6000);
    cr_assert(voters.ledgers[first]->committed() == (RawDeclaration{3, "three"}));
}

// A version of -5 was acknowledged and stored as 2^64 - 5: every later version was acknowledged and
// changed nothing, so that no operator could change anything any more.
Test(declaration_ledger, aNumberThatNoDeclarationHasIsReplacedByTheNextOne)
{
    constexpr std::uint64_t stored = 0 - std::uint64_t{5};
    const InstanceId seat("seat-1");
    testing::MemoryDataFolder folder;
    cr_assert_not(prepareSeat(folder.disk(), seat.value(), true, 7));
    const ReplicaOptions options{.self = seat, .voters = {seat}};
    TimePoint now(std::chrono::seconds(100));
    const auto runUntilLeading = [&now](auto &voter) {
        cr_assert(voter.start(now));
        for (int step = 0; step < 100 && !voter.leads(); ++step)
            voter.tick(now += milliseconds(50));
        cr_assert(voter.leads());
    };
    {
        LedgerHooks hooks;
        hooks.send = [](const InstanceId &, const std::string &) {};
        hooks.decided = [](const CommandId &, const CommandAnswer &) {};
        hooks.accepted = [](const AcceptedConfiguration &) {};
        hooks.leadership = [](bool, Term) {};
        hooks.storageFailed = [](const std::string &) {};
        LedgerDriver earlierBuild(options, folder.disk(), hooks);
        runUntilLeading(earlierBuild);
        proto::StoredDeclaration declaration;
        declaration.set_number(stored);
        declaration.set_content("minus five");
        ConfigurationProposal proposal;
        proposal.command = CommandId("1");
        proposal.base = earlierBuild.store().revision();
        proposal.configuration = declaration.SerializeAsString();
        cr_assert(earlierBuild.propose(proposal, now));
    }
    DeclarationHooks hooks;
    hooks.send = [](const InstanceId &, const std::string &) {};
    hooks.inForce = [](const RawDeclaration &) {};
    hooks.leadership = [](bool, Term) {};
    hooks.storageFailed = [](const std::string &) {};
    DeclarationLedger ledger(options, folder.disk(), hooks);
    runUntilLeading(ledger);
    cr_assert_eq(ledger.committed().number, stored);
    std::optional<bool> accepted;
    const DeclareHook note = [&accepted](bool value) { accepted = value; };
    ledger.declare({stored + 1, "minus four"}, note, now);
    cr_assert(accepted == false);
    ledger.declare({8, "eight"}, note, now);
    cr_assert(accepted == true);
    cr_assert(ledger.committed() == (RawDeclaration{8, "eight"}));
    ledger.declare({7, "seven"}, note, now);
    cr_assert(accepted == true);
    cr_assert(ledger.committed() == (RawDeclaration{8, "eight"}));
}

// Instances were answered by a control process that was cut off, as if a majority had just
// confirmed it: a usage record that had been proposed with an earlier time had dated its
// confirmation weeks ahead.
Test(declaration_ledger, aVoterThatIsCutOffIsNotConfirmedAnyMore)
{
    for (const bool cutsLeader : {true, false}) {
        VoterSimulation voters;
        voters.run(6000);
        const InstanceId leader = voters.leaderSeat();
        voters.delaysMessages = true;
        for (std::uint64_t window = 1; window <= 10; ++window) {
            voters.leader()->recordUsage(
                {.decided = window, .undelivered = {}}, [](bool) {},
                voters.now() - milliseconds(5));
            voters.run(200);
        }
        voters.run(2000);
        InstanceId cutOff = leader;
        for (const InstanceId &seat : Seats)
            cutOff = !cutsLeader && seat != leader ? seat : cutOff;
        voters.partition(cutOff);
        voters.run(4000);
        const std::optional<Duration> age = voters.confirmationAge(cutOff);
        cr_expect(age && *age >= milliseconds(3500) && *age <= milliseconds(5000),
                  "%s says that it was confirmed %ld ms ago", cutOff.value().c_str(),
                  age ? static_cast<long>(toMilliseconds(*age)) : -1L);
    }
}

Test(declaration_ledger, minorityNeitherAcceptsNorReads)
{
    VoterSimulation voters;
    voters.run(6000);
    const InstanceId old = voters.leaderSeat();
    DeclarationLedger *partitionedLeader = voters.leader();
    cr_assert(voters.declare(partitionedLeader, 3, "three") == true);
    voters.partition(old);
    cr_assert_neq(voters.declare(partitionedLeader, 4, "four"), std::optional<bool>(true));
    voters.run(6000);
    cr_assert_not(voters.read(partitionedLeader).has_value());
    cr_assert(voters.declare(voters.leader(), 5, "five") == true);
    voters.heal(old);
    voters.run(6000);
    cr_assert(voters.ledgers[old]->committed() == (RawDeclaration{5, "five"}));
}

// A voter whose answers did not reach the leader went on to confirm its old declaration to entry
// processes, because it heard the leader.
Test(declaration_ledger, voterThatLacksACommittedDeclarationDoesNotConfirmItsOwn)
{
    VoterSimulation voters;
    voters.run(6000);
    const InstanceId leader = voters.leaderSeat();
    const InstanceId behind = leader == Seats[0] ? Seats[1] : Seats[0];
    cr_assert(voters.declare(voters.leader(), 3, "three") == true);
    voters.run(1000);
    for (const InstanceId &seat : Seats)
        cr_assert(voters.confirmationAge(seat) < milliseconds(1000));
    voters.cutLink(behind, leader);
    voters.cutLink(leader, behind);
    cr_assert(voters.declare(voters.leader(), 5, "five", 300) == true);
    voters.mendLink(leader, behind);
    voters.run(5000);
    cr_assert(voters.ledgers[leader]->leads());
    cr_assert_eq(voters.ledgers[behind]->committed().number, 3);
    cr_assert(voters.confirmationAge(behind) > milliseconds(4000));
    voters.mendLink(behind, leader);
    voters.run(2000);
    cr_assert_eq(voters.ledgers[behind]->committed().number, 5);
    cr_assert(voters.confirmationAge(behind) < milliseconds(1000));
}

// A leader that no voter received any more kept confirming its declaration as long as voters asked
// it for their votes.
Test(declaration_ledger, leaderThatNobodyAnswersConfirmsNothing)
{
    VoterSimulation voters;
    voters.run(6000);
    const InstanceId leader = voters.leaderSeat();
    cr_assert(voters.declare(voters.leader(), 3, "three") == true);
    for (const InstanceId &from : Seats) {
        for (const InstanceId &to : Seats) {
            if (to != leader)
                voters.cutLink(from, to);
        }
    }
    voters.run(6000);
    cr_assert(voters.confirmationAge(leader) > milliseconds(5000));
}

Test(declaration_ledger, acknowledgedDeclarationSurvivesCrashOfAllVoters)
{
    VoterSimulation voters;
    voters.run(6000);
    cr_assert(voters.declare(voters.leader(), 8, "eight") == true);
    std::mt19937_64 random(5);
    for (const InstanceId &seat : Seats) {
        voters.stop(seat);
        voters.disk(seat).crash(random);
    }
    for (const InstanceId &seat : Seats)
        voters.start(seat);
    voters.run(8000);
    cr_assert_not_null(voters.leader());
    cr_assert(voters.read(voters.leader()) == (RawDeclaration{8, "eight"}));
}

Test(declaration_ledger, fullDiskIsReportedAndOtherVotersContinue)
{
    VoterSimulation voters;
    voters.run(6000);
    const InstanceId first = voters.leaderSeat();
    voters.disk(first).fault = DiskFault::FullDisk;
    cr_assert_neq(voters.declare(voters.leader(), 2, "two", 500), std::optional<bool>(true));
    cr_assert(voters.failed(first));
    voters.stop(first);
    voters.run(8000);
    cr_assert_not_null(voters.leader());
    cr_assert(voters.declare(voters.leader(), 3, "three") == true);
    // After space was freed, the voter restores its state from the disk and catches up.
    voters.disk(first).fault = DiskFault::None;
    voters.start(first);
    voters.run(6000);
    cr_assert(voters.ledgers[first]->committed() == (RawDeclaration{3, "three"}));
}

Test(declaration_ledger, storedBytesDoNotGrowWithTheNumberOfDeclarations)
{
    // A registry process limited to 32 MB receives a declaration of 1,900 routes every few seconds.
    constexpr std::size_t contentBytes = 200'000;
    constexpr std::uint64_t declarations = 60;
    constexpr std::uint64_t maxStoredBytes = 2'500'000;
    std::mt19937_64 random(3);
    VoterSimulation voters;
    voters.run(6000);
    for (std::uint64_t number = 1; number <= declarations; ++number) {
        std::string content(contentBytes, ' ');
        for (char &byte : content)
            byte = static_cast<char>(random());
        cr_assert(voters.declare(voters.leader(), number, content, 300) == true);
    }
    for (const auto &[seat, ledger] : voters.ledgers)
        cr_expect_lt(ledger->storedBytes(), maxStoredBytes, "%s", seat.value().c_str());
}

// The log in memory kept the last 256 entries, whatever their size, although only 32 stayed on the
// disk.
Test(declaration_ledger, memoryDoesNotGrowWithTheNumberOfDeclarations)
{
    constexpr std::size_t contentBytes = 200'000;
    constexpr std::uint64_t declarations = 120;
    constexpr std::size_t maxBytesOfAVoter = 10'000'000;
    std::mt19937_64 random(3);
    VoterSimulation voters;
    voters.run(6000);
    for (std::uint64_t number = 1; number <= declarations; ++number) {
        std::string content(contentBytes, ' ');
        for (char &byte : content)
            byte = static_cast<char>(random());
        cr_assert(voters.declare(voters.leader(), number, content, 300) == true);
    }
    for (const auto &[seat, ledger] : voters.ledgers)
        cr_expect_lt(ledger->replica().logBytes(), maxBytesOfAVoter, "%s", seat.value().c_str());
}

// The thread of a leader stood still while its disk did, so that calls to it were not answered
// although its presence said that it led.
Test(declaration_ledger, leaderWithAStalledDiskIsReplaced)
{
    VoterSimulation voters;
    voters.run(6000);
    const InstanceId stalled = voters.leaderSeat();
    cr_assert(voters.declare(voters.leader(), 3, "three") == true);
    voters.stallDisk(stalled);
    cr_assert_neq(voters.declare(voters.leader(), 4, "four", 500), std::optional<bool>(true));
    voters.run(8000);
    cr_assert_not(voters.ledgers[stalled]->leads());
    cr_assert(voters.confirmationAge(stalled) > milliseconds(4000));
    cr_assert_eq(voters.ledgers[stalled]->committed().number, 3);
    cr_assert_not_null(voters.leader());
    cr_assert(voters.declare(voters.leader(), 5, "five") == true);
    voters.resumeDisk(stalled);
    voters.run(4000);
    cr_assert(voters.ledgers[stalled]->committed() == (RawDeclaration{5, "five"}));
    cr_assert(voters.confirmationAge(stalled) < milliseconds(1000));
}

Test(declaration_ledger, slowDisksDelayDeclarationsAndLoseNone)
{
    VoterSimulation voters;
    voters.syncTime = milliseconds(400);
    voters.run(20'000);
    for (std::uint64_t number = 1; number <= 10; ++number) {
        cr_assert_not_null(voters.leader());
        cr_assert(voters.declare(voters.leader(), number, "content", 3000) == true);
    }
    for (const InstanceId &seat : Seats)
        cr_assert_eq(voters.ledgers[seat]->committed().number, 10);
}

// A new leader's first entry waited for its own disk before the voters got it, so that nobody had
// answered it after an election timeout; it stepped down, and so did its successors.
Test(declaration_ledger, aLeaderSettlesWhileAllDisksAreSlow)
{
    for (const int syncMs : {500, 600, 700}) {
        VoterSimulation voters;
        voters.run(6000);
        cr_assert(voters.declare(voters.leader(), 1, "one") == true);
        const InstanceId first = voters.leaderSeat();
        voters.syncTime = milliseconds(syncMs);
        voters.stop(first);
        voters.run(10'000);
        cr_assert_not_null(voters.leader(), "no leader with %d ms a sync", syncMs);
        cr_expect(voters.declare(voters.leader(), 2, "two", 4000) == true, "%d ms a sync", syncMs);
        cr_expect(voters.read(voters.leader()) == (RawDeclaration{2, "two"}), "%d ms a sync",
                  syncMs);
    }
}

// Candidates and new leaders gave up after an election timeout, while their own first write and the
// voters' were not done yet: no election ended.
Test(known_red, aLeaderSettlesWhileSyncsTakeLongerThanAnElection)
{
    for (const int syncMs : {850, 1000, 1500}) {
        VoterSimulation voters;
        voters.run(6000);
        cr_assert(voters.declare(voters.leader(), 1, "one") == true);
        voters.syncTime = milliseconds(syncMs);
        voters.stop(voters.leaderSeat());
        voters.run(20'000);
        cr_expect_not_null(voters.leader(), "no leader with %d ms a sync", syncMs);
        if (voters.leader())
            cr_expect(voters.declare(voters.leader(), 2, "two", 10'000) == true, "%d ms a sync",
                      syncMs);
    }
}

// Two voters whose disks took 1.5 s to note a commit index did not answer the leader, so that no
// read succeeded and the leader stepped down.
Test(declaration_ledger, leaderIsConfirmedWhileVotersNoteACommit)
{
    VoterSimulation voters;
    voters.run(6000);
    const InstanceId leader = voters.leaderSeat();
    voters.syncTime = milliseconds(200);
    std::optional<bool> accepted;
    voters.ledgers[leader]->declare(
        {3, "three"}, [&accepted](bool value) { accepted = value; }, voters.now());
    while (!accepted)
        voters.run(50);
    for (const InstanceId &seat : Seats) {
        if (seat != leader)
            voters.stallDisk(seat);
    }
    voters.run(4000);
    cr_assert(voters.ledgers[leader]->leads());
    cr_assert(voters.read(voters.ledgers[leader].get()) == (RawDeclaration{3, "three"}));
    // They don't acknowledge a declaration that they can't write.
    cr_assert_neq(voters.declare(voters.leader(), 4, "four"), std::optional<bool>(true));
}

Test(declaration_ledger, nothingIsAcknowledgedOnTheStrengthOfAWriteInProgress)
{
    for (unsigned seed = 1; seed <= 60; ++seed) {
        std::mt19937_64 random(seed);
        VoterSimulation voters;
        voters.run(6000);
        std::uint64_t acknowledged = 0;
        for (std::uint64_t number = 1; number <= 12; ++number) {
            voters.syncTime = milliseconds(random() % 600);
            if (voters.leader()
                && voters.declare(voters.leader(), number, "content", 200 + random() % 2500)
                    == true)
                acknowledged = number;
            if (random() % 3 != 0)
                continue;
            // All voters lose power, each with or without what it was writing.
            for (const InstanceId &seat : Seats) {
                voters.stop(seat, random() % 2 == 0);
                voters.disk(seat).crash(random);
            }
            voters.syncTime = {};
            for (const InstanceId &seat : Seats)
                voters.start(seat);
            voters.run(8000);
            cr_assert_not_null(voters.leader());
            const std::optional<RawDeclaration> newest = voters.read(voters.leader());
            cr_assert(newest && newest->number >= acknowledged, "seed %u: %lu is lost", seed,
                      static_cast<unsigned long>(acknowledged));
        }
    }
}

// A record of usage that is lost or replaced lets two holders report a window with different
// counts.
Test(declaration_ledger, usageIsKeptBesideDeclarationsAndThroughALossOfTheLeader)
{
    VoterSimulation simulation;
    simulation.run(3000);
    cr_assert_not(simulation.leader()->committedUsage().has_value());
    cr_assert(*simulation.declare(simulation.leader(), 3, "three"));
    const UsageRecord record{.decided = 7, .undelivered = {{6, "six"}, {7, "seven"}}};
    std::optional<bool> recorded;
    simulation.leader()->recordUsage(
        record, [&](bool accepted) { recorded = accepted; }, simulation.now());
    cr_assert(*simulation.declare(simulation.leader(), 5, "five"));
    cr_assert(recorded == true);
    const InstanceId lost = simulation.leaderSeat();
    simulation.partition(lost);
    simulation.run(4000);
    cr_assert(simulation.leader()->committedUsage() == record);
    cr_assert_eq(simulation.leader()->committed().content, "five");
    // The former leader can't record anything any more.
    recorded.reset();
    simulation.ledgers[lost]->recordUsage(
        {.decided = 8}, [&](bool accepted) { recorded = accepted; }, simulation.now());
    simulation.run(3000);
    cr_assert(recorded != true);
    simulation.heal(lost);
    simulation.run(3000);
    cr_assert(simulation.ledgers[lost]->committedUsage() == record);
}

// An older build knows nothing of usage: what it declares drops the record, which must be told from
// a record that says that nothing was decided.
Test(declaration_ledger, aStateOfAnOlderBuildHasNoUsage)
{
    proto::StoredDeclaration older;
    older.set_number(4);
    older.set_content("four");
    proto::StoredDeclaration read;
    cr_assert(read.ParseFromString(older.SerializeAsString()));
    cr_assert_not(read.has_usage());
    // Bytes that commit 69badfb wrote.
    cr_assert(read.ParseFromString(std::string("\x08\x04\x12\x04"
                                               "four")));
    cr_assert(read.number() == 4 && read.content() == "four" && !read.has_usage());
}
