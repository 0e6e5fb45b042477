#include <gentianramp/registry/crash_evidence.hpp>

#include <algorithm>
#include <random>

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

constexpr std::uint64_t Deadly = 0xdead;
constexpr std::uint64_t Popular = 0xa;
constexpr std::uint64_t Session = 0x5e;

TimePoint at(int ms)
{
    return TimePoint(std::chrono::seconds(1000) + std::chrono::milliseconds(ms));
}

ServerCrash crash(int number, int ms, const std::vector<std::uint64_t> &parts)
{
    ServerCrash crash;
    crash.server = BackendId("engine-" + std::to_string(number));
    crash.startedAtMs = 1;
    crash.service = "s";
    crash.crashedAt = at(ms);
    for (const std::uint64_t part : parts)
        crash.parts[part] = {};
    return crash;
}

void serve(CrashEvidence &evidence, int ms, const std::vector<std::uint64_t> &parts)
{
    evidence.noteServed("s", parts, at(ms), at(ms));
}

std::vector<std::uint64_t> blamedParts(const CrashEvidence &evidence, int ms)
{
    std::vector<std::uint64_t> parts;
    for (const BlamedPart &blamed : evidence.blamed(at(ms)))
        parts.push_back(blamed.part);
    return parts;
}

const std::vector<std::uint64_t> None;
const std::vector<std::uint64_t> OnlyDeadly{Deadly};

/// Evidence of four crashes, one a second, that the deadly part is to blame for.
CrashEvidence deadlyEvidence()
{
    CrashEvidence evidence;
    for (int number = 0; number < 4; ++number) {
        evidence.addCrash(crash(number, 1000 * number, {Popular, Deadly}), at(1000 * number));
        serve(evidence, 1000 * number + 100, {Popular});
    }
    return evidence;
}

} // namespace

// The requests of one kind share their first part; each answer to a sound one clears it.
Test(crash_evidence, aPartThatIsNeverAnsweredIsBlamedAndTheOnesThatItSharesARequestWithAreNot)
{
    CrashEvidence evidence;
    for (int number = 0; number < 3; ++number) {
        cr_assert_eq(blamedParts(evidence, 1000 * number), None);
        evidence.addCrash(crash(number, 1000 * number, {Popular, Deadly}), at(1000 * number));
        serve(evidence, 1000 * number + 400, {Popular});
    }
    cr_assert_eq(blamedParts(evidence, 2900), None, "answers may still clear it");
    cr_assert_eq(blamedParts(evidence, 3000), OnlyDeadly);
    cr_assert_eq(evidence.blamed(at(3000)).front(),
                 (BlamedPart{.part = Deadly, .crashes = 3, .lastCrashAt = at(2000)}));
}

// Answers that began before a crash do not clear: a part may begin to crash servers at any time.
Test(crash_evidence, anAnswerThatBeganBeforeTheCrashClearsNothing)
{
    CrashEvidence evidence;
    for (int number = 0; number < 3; ++number) {
        evidence.addCrash(crash(number, 1000 * number, {Session, Deadly}), at(1000 * number));
        serve(evidence, -1, {Session});
        serve(evidence, 1000 * number + 1, {Popular});
    }
    cr_assert_eq(blamedParts(evidence, 5000), OnlyDeadly);
}

// A session whose requests wait at the engines that crash is asked for too rarely to be cleared.
Test(crash_evidence, aPartWhoseCrashesAnotherOneExplainsIsNotBlamed)
{
    CrashEvidence evidence;
    for (int number = 0; number < 8; ++number) {
        std::vector<std::uint64_t> parts{Popular, Deadly};
        if (number != 2)
            parts.push_back(Session);
        evidence.addCrash(crash(number, 1000 * number, parts), at(1000 * number));
        serve(evidence, 1000 * number + 100, {Popular});
        cr_assert_eq(blamedParts(evidence, 1000 * number + 1100), number < 2 ? None : OnlyDeadly,
                     "crash %d", number);
    }
}

Test(crash_evidence, partsThatAlwaysComeTogetherAreBlamedTogetherOnlyAfterMoreCrashes)
{
    CrashEvidence evidence;
    for (int number = 0; number < 5; ++number) {
        evidence.addCrash(crash(number, 1000 * number, {Session, Deadly}), at(1000 * number));
        serve(evidence, 1000 * number + 100, {Popular});
        cr_assert_eq(blamedParts(evidence, 1000 * number + 1100).size(), number < 4 ? 0U : 2U);
    }
    serve(evidence, 6000, {Session});
    cr_assert_eq(blamedParts(evidence, 6000), OnlyDeadly);
}

// A deadly part always came with the history of one session, whose sound requests were answered
// before but are too rare to be answered between the crashes.
Test(crash_evidence, ofPartsThatAlwaysComeTogetherTheOneThatWasNeverAnsweredIsBlamed)
{
    CrashEvidence evidence;
    serve(evidence, -3000, {Session});
    CrashEvidence elsewhere; // Knows of no answer.
    for (int number = 0; number < 6; ++number) {
        elsewhere.addCrash(crash(number, 1000 * number, {Session, Deadly}), at(1000 * number));
        evidence.merge(elsewhere.changedSince(0), at(1000 * number));
        serve(evidence, 1000 * number + 100, {Popular});
        elsewhere.merge(evidence.observedSince(0), at(1000 * number + 200));
        for (const CrashEvidence *process : {&evidence, &elsewhere})
            cr_assert_eq(blamedParts(*process, 1000 * number + 1100),
                         number < 2 ? None : OnlyDeadly, "crash %d", number);
    }
    // The session also waited at an engine that crashed for another reason.
    evidence.addCrash(crash(90, 7000, {Session}), at(7000));
    serve(evidence, 7100, {Popular});
    cr_assert_eq(blamedParts(evidence, 8000), OnlyDeadly);
}

// Neither was answered before: the deadly part and the history that all its requests begin with,
// which sound requests share.
Test(crash_evidence, ofPartsThatAlwaysComeTogetherTheMoreSpecificOneIsBlamed)
{
    CrashEvidence evidence;
    for (int number = 0; number < 4; ++number) {
        ServerCrash seen = crash(number, 1000 * number, {Session, Deadly});
        seen.parts[Deadly].position = 1;
        evidence.addCrash(seen, at(1000 * number));
        serve(evidence, 1000 * number + 100, {Popular});
        cr_assert_eq(blamedParts(evidence, 1000 * number + 1100), number < 2 ? None : OnlyDeadly);
    }
    // Had it been the history, requests with it alone would go on crashing servers.
    for (int number = 4; number < 9; ++number) {
        evidence.addCrash(crash(number, 1000 * number, {Session}), at(1000 * number));
        serve(evidence, 1000 * number + 100, {Popular});
    }
    cr_assert_eq(blamedParts(evidence, 10'000), std::vector<std::uint64_t>{Session});
}

// A part may begin to crash engines after it was answered for long.
Test(crash_evidence, aPartThatWasAnsweredBeforeIsBlamedAfterMoreCrashes)
{
    CrashEvidence evidence;
    serve(evidence, -10, {Deadly});
    for (int number = 0; number < 5; ++number) {
        evidence.addCrash(crash(number, 1000 * number, {Popular, Deadly}), at(1000 * number));
        serve(evidence, 1000 * number + 100, {Popular});
        cr_assert_eq(blamedParts(evidence, 1000 * number + 1100), number < 4 ? None : OnlyDeadly);
    }
}

Test(crash_evidence, twoDeadlyPartsAreBothBlamed)
{
    CrashEvidence evidence = deadlyEvidence();
    for (int number = 10; number < 13; ++number) {
        evidence.addCrash(crash(number, 1000 * number, {Popular, Session}), at(1000 * number));
        serve(evidence, 1000 * number + 100, {Popular});
    }
    cr_assert_eq(blamedParts(evidence, 13'100), (std::vector<std::uint64_t>{Session, Deadly}));
}

// A rack that loses power takes many engines at once, and a session may have waited at several.
Test(crash_evidence, crashesAtOneMomentBlameNothing)
{
    CrashEvidence evidence;
    for (int number = 0; number < 8; ++number)
        evidence.addCrash(crash(number, 10 * number, {Session}), at(10 * number));
    serve(evidence, 500, {Popular});
    cr_assert_eq(blamedParts(evidence, 2000), None);
    evidence.addCrash(crash(20, 3000, {Session}), at(3000));
    serve(evidence, 3100, {Popular});
    cr_assert_eq(blamedParts(evidence, 4100).size(), 1U);
}

Test(crash_evidence, nothingIsBlamedWhileTheServiceAnswersNothing)
{
    CrashEvidence evidence;
    for (int number = 0; number < 6; ++number)
        evidence.addCrash(crash(number, 1000 * number, {Popular}), at(1000 * number));
    cr_assert_eq(blamedParts(evidence, 7000), None);
    evidence.noteServed("other", std::vector<std::uint64_t>{Session}, at(7100), at(7100));
    cr_assert_eq(blamedParts(evidence, 7200), None);
}

// All engines were down; when the service answers again, sound parts need time to be cleared.
Test(crash_evidence, partsHaveTimeToBeClearedAfterAnOutage)
{
    CrashEvidence evidence;
    for (int number = 0; number < 4; ++number)
        evidence.addCrash(crash(number, 1000 * number, {Popular}), at(1000 * number));
    serve(evidence, 9000, {Session});
    CrashEvidence answering = evidence;
    cr_assert_eq(blamedParts(evidence, 9200), None);
    serve(answering, 9200, {Popular});
    cr_assert_eq(blamedParts(answering, 20'000), None);
    cr_assert_eq(blamedParts(evidence, 9300), std::vector<std::uint64_t>{Popular});
}

// After a restart of all registry processes the trials are counted from 1 again.
Test(crash_evidence, aUsedTrialIsReported)
{
    CrashEvidence evidence = deadlyEvidence();
    evidence.merge({.trials = {{Deadly, 3, InstanceId("e1"), at(0)}}}, at(0));
    const std::uint64_t version = evidence.version();
    cr_assert_eq(evidence.observedSince(version).trials.size(), 0U);
    evidence.useTrial(Deadly);
    cr_assert_eq(evidence.observedSince(version).trials.front().number, 3U);
}

Test(crash_evidence, oneCrashSeenByManyProcessesCountsOnce)
{
    CrashEvidence evidence;
    for (int process = 0; process < 9; ++process) {
        const ServerCrash seen = crash(1, 300 * process, {Deadly, Popular + process});
        evidence.merge({.crashes = {seen}}, at(300 * process));
    }
    serve(evidence, 3000, {Session});
    cr_assert_eq(blamedParts(evidence, 5000), None);
    cr_assert_eq(evidence.crashCount(), 1U);
    cr_assert_eq(evidence.changedSince(0).crashes.front().parts.size(), 10U);
}

// Reports arrive late, twice and in any order, as feeds change their source.
Test(crash_evidence, theOrderOfReportsDoesNotMatter)
{
    std::mt19937 random(30);
    std::vector<CrashReports> reports;
    for (int number = 0; number < 6; ++number) {
        ServerCrash seen = crash(number, 1000 * number, {Popular, Deadly});
        reports.push_back({.crashes = {seen}});
        seen.parts = {{Session, {PartSuspicion::Unanswered, 2}}};
        reports.push_back({.crashes = {seen}});
        seen.parts = {{Session, {PartSuspicion::AnsweredBefore, 1}}};
        reports.push_back({.crashes = {seen}});
        seen.parts = {{Popular, {PartSuspicion::Cleared, 0}}};
        seen.worksSince = at(1000 * number + 100);
        reports.push_back({.crashes = {seen}});
        reports.push_back({.trials = {{Session, static_cast<std::uint32_t>(number % 3 + 1),
                                       InstanceId("e" + std::to_string(number)), at(0)}}});
    }
    CrashEvidence expected;
    for (const CrashReports &report : reports)
        expected.merge(report, at(6000));
    for (int round = 0; round < 50; ++round) {
        std::vector<CrashReports> shuffled = reports;
        shuffled.insert(shuffled.end(), reports.begin(), reports.begin() + round % 10);
        std::shuffle(shuffled.begin(), shuffled.end(), random);
        CrashEvidence evidence;
        for (const CrashReports &report : shuffled)
            evidence.merge(report, at(6000));
        cr_assert_eq(evidence.digest(), expected.digest());
        cr_assert_eq(evidence.blamed(at(8000)), expected.blamed(at(8000)));
        cr_assert_not(evidence.merge(expected.changedSince(0), at(6000)));
    }
}

// An answer is often complete before a crash is confirmed or reported here.
Test(crash_evidence, anAnswerThatIsKnownBeforeTheCrashIsReportedClears)
{
    CrashEvidence evidence;
    serve(evidence, 100, {Popular});
    evidence.merge({.crashes = {crash(1, 0, {Popular, Session})}}, at(300));
    const ServerCrash known = evidence.changedSince(0).crashes.front();
    cr_assert_eq(known.parts.at(Popular).suspicion, PartSuspicion::Cleared);
    cr_assert_eq(known.parts.at(Session).suspicion, PartSuspicion::Unanswered);
    cr_assert(known.worksSince.has_value());
    cr_assert_eq(evidence.observedSince(0).crashes.size(), 1U);
}

// Processes that learned more parts than are kept in different orders sent them to each other for
// ever.
Test(crash_evidence, theSamePartsOfACrashAreKeptEverywhere)
{
    CrashEvidence one;
    CrashEvidence other;
    ServerCrash low = crash(1, 0, {});
    ServerCrash high = crash(1, 0, {});
    for (std::uint64_t part = 0; part < 200; ++part) {
        low.parts[part] = {};
        high.parts[1000 + part] = {};
    }
    one.addCrash(low, at(0));
    other.addCrash(high, at(0));
    const CrashReports reports = one.changedSince(0);
    one.merge(other.changedSince(0), at(0));
    other.merge(reports, at(0));
    cr_assert_eq(one.digest(), other.digest());
}

Test(crash_evidence, onlyWhatChangedOrWasObservedIsReported)
{
    CrashEvidence evidence;
    evidence.merge({.crashes = {crash(1, 0, {Popular, Deadly})}}, at(0));
    const std::uint64_t version = evidence.version();
    cr_assert_eq(evidence.observedSince(0).crashes.size(), 0U);
    evidence.addCrash(crash(2, 500, {Session}), at(500));
    cr_assert_eq(evidence.changedSince(version).crashes.size(), 1U);
    cr_assert_eq(evidence.observedSince(0).crashes.front().server, BackendId("engine-2"));
    serve(evidence, 600, {Popular});
    cr_assert_eq(evidence.observedSince(version).crashes.size(), 2U);
    const std::uint64_t served = evidence.version();
    serve(evidence, 700, {Popular});
    cr_assert_eq(evidence.version(), served, "it was cleared already");
}

// A wrongly blamed part is refused everywhere, so that nothing clears it but a trial.
Test(crash_evidence, aTrialThatIsAnsweredWithdrawsTheBlame)
{
    CrashEvidence evidence = deadlyEvidence();
    const BlamedPart blamed = evidence.blamed(at(5000)).front();
    cr_assert_not(evidence.grantTrial(blamed, InstanceId("e1"), at(32'900)).has_value());
    const std::optional<PartTrial> trial
        = evidence.grantTrial(blamed, InstanceId("e1"), at(33'000));
    cr_assert_eq(trial->number, 1U);
    cr_assert_not(evidence.grantTrial(blamed, InstanceId("e2"), at(33'000)).has_value());
    cr_assert_eq(blamedParts(evidence, 33'500), OnlyDeadly);
    serve(evidence, 34'000, {Popular, Deadly});
    cr_assert_eq(blamedParts(evidence, 34'000), None);
}

Test(crash_evidence, trialsOfADeadlyPartBecomeRare)
{
    CrashEvidence evidence = deadlyEvidence();
    int now = 3000;
    for (int trials = 0; trials < 4; ++trials) {
        const int delay = 30'000 << trials;
        const BlamedPart blamed = evidence.blamed(at(now + 1100)).front();
        cr_assert_not(
            evidence.grantTrial(blamed, InstanceId("e1"), at(now + delay - 1)).has_value());
        cr_assert(evidence.grantTrial(blamed, InstanceId("e1"), at(now + delay)).has_value());
        now += delay + 500;
        evidence.expire(at(now));
        evidence.addCrash(crash(20 + trials, now, {Popular, Deadly}), at(now));
        serve(evidence, now + 100, {Popular});
        cr_assert_eq(blamedParts(evidence, now + 1100), OnlyDeadly);
    }
}

Test(crash_evidence, oldCrashesExpireUnlessTheyProveABlame)
{
    CrashEvidence evidence = deadlyEvidence();
    evidence.addCrash(crash(9, 4000, {Session}), at(4000));
    evidence.expire(at(125'000));
    cr_assert_eq(evidence.crashCount(), 4U);
    cr_assert_eq(blamedParts(evidence, 125'000), OnlyDeadly);
    evidence.expire(at(3'700'000));
    cr_assert_eq(evidence.crashCount(), 0U);
    cr_assert_eq(evidence.digest(), 0U);
    cr_assert_not(evidence.merge({.crashes = {crash(1, 0, {Deadly})}}, at(3'700'000)));
}

Test(crash_evidence, theMemoryIsBounded)
{
    CrashEvidence evidence = deadlyEvidence();
    for (int number = 100; number < 1100; ++number) {
        ServerCrash seen = crash(number, 5000 + number, {});
        for (std::uint64_t part = 0; part < 400; ++part)
            seen.parts[1000 + part] = {PartSuspicion::Cleared, 0};
        evidence.addCrash(seen, at(5000 + number));
    }
    cr_assert_eq(evidence.crashCount(), 256U);
    for (const ServerCrash &kept : evidence.changedSince(0).crashes)
        cr_assert_leq(kept.parts.size(), 512U);
    cr_assert_eq(blamedParts(evidence, 9000), OnlyDeadly, "crashes with suspects are kept");
}

namespace {

constexpr std::uint64_t DeadlyRequest = 0xf00;

/// A crash at which requests as a whole were present.
ServerCrash crashOfRequests(int number, int ms, const std::vector<std::uint64_t> &requests)
{
    ServerCrash result = crash(number, ms, requests);
    for (auto &[request, part] : result.parts)
        part.position = WholeRequest;
    return result;
}

} // namespace

// All servers of a service had crashed, so that nothing could show that it works.
Test(crash_evidence, aRequestIsBlamedAtOnceAlsoWhileTheServiceIsDark)
{
    CrashEvidence evidence;
    for (int number = 0; number < 3; ++number) {
        cr_assert(evidence.blamed(at(10 * number)).empty());
        evidence.addCrash(crashOfRequests(number, 10 * number, {DeadlyRequest}), at(10 * number));
    }
    const std::vector<BlamedPart> blamed = evidence.blamed(at(30));
    cr_assert_eq(blamed.size(), 1U);
    cr_assert_eq(
        blamed[0],
        (BlamedPart{
            .part = DeadlyRequest, .crashes = 3, .lastCrashAt = at(20), .isRequest = true}));
    cr_assert_eq(evidence.unansweredCrashes(DeadlyRequest), 3U);
}

Test(crash_evidence, anAnswerClearsARequestAsItClearsAPart)
{
    CrashEvidence evidence;
    for (int number = 0; number < 3; ++number)
        evidence.addCrash(crashOfRequests(number, 1000 * number, {DeadlyRequest}),
                          at(1000 * number));
    serve(evidence, 2500, {DeadlyRequest});
    cr_assert(evidence.blamed(at(2600)).empty());
    cr_assert_eq(evidence.unansweredCrashes(DeadlyRequest), 0U);
}

// A request waited beside a deadly one whenever that crashed a server.
Test(crash_evidence, aRequestWhoseCrashesAnotherExplainsIsReleased)
{
    constexpr std::uint64_t beside = 0xabc;
    CrashEvidence evidence;
    for (int number = 0; number < 3; ++number)
        evidence.addCrash(crashOfRequests(number, 500 * number, {DeadlyRequest, beside}),
                          at(500 * number));
    cr_assert_eq(evidence.blamed(at(1500)).size(), 2U);
    evidence.addCrash(crashOfRequests(3, 2000, {DeadlyRequest}), at(2000));
    serve(evidence, 2100, {Popular});
    cr_assert_eq(blamedParts(evidence, 3500), std::vector<std::uint64_t>{DeadlyRequest});
}

// Requests with a deadly part that their callers repeat are not to hide the part.
Test(crash_evidence, aPartIsBlamedBeforeTheRequestsThatHoldIt)
{
    CrashEvidence evidence;
    for (int number = 0; number < 4; ++number) {
        ServerCrash one = crash(number, 1000 * number, {Deadly});
        one.parts[DeadlyRequest + (number < 3 ? 0U : 1U)]
            = {PartSuspicion::Unanswered, WholeRequest};
        evidence.addCrash(one, at(1000 * number));
        serve(evidence, 1000 * number + 100, {Popular});
    }
    cr_assert_eq(blamedParts(evidence, 4300), OnlyDeadly);
}

Test(crash_evidence, aRequestIsTriedTwiceAtMost)
{
    CrashEvidence evidence;
    for (int number = 0; number < 3; ++number)
        evidence.addCrash(crashOfRequests(number, 10 * number, {DeadlyRequest}), at(10 * number));
    const BlamedPart request = evidence.blamed(at(30)).front();
    int granted = 0;
    for (int minute = 0; minute < 50; ++minute)
        granted += evidence.grantTrial(request, InstanceId("entry"), at(60'000 * minute)) ? 1 : 0;
    cr_assert_eq(granted, 2);
}
