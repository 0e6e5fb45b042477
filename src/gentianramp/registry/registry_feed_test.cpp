#include <gentianramp/registry/registry_feed.hpp>

#include <algorithm>
#include <gentianramp/registry/packed_text.hpp>
#include <limits>
#include <vector>

#include "gentianramp/registry/generated/registry.pb.h"

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

using std::chrono::milliseconds;

TimePoint at(int ms)
{
    return TimePoint(std::chrono::seconds(100) + milliseconds(ms));
}

const InstanceId Near("10.1.0.1:7000");
const InstanceId Far("10.2.0.1:7000");

proto::FeedRequest requestIn(const FeedOutput &output)
{
    proto::RegistryMessage request;
    request.ParseFromString(output.request);
    return request.feed();
}

ServerCrash crashOf(const std::string &server, TimePoint crashedAt)
{
    ServerCrash crash{.server = BackendId(server), .service = "s", .crashedAt = crashedAt};
    crash.parts[7] = {};
    return crash;
}

RegistryFeed makeFeed()
{
    return RegistryFeed({.dataCentre = DataCentreId("a"), .seeds = {Near, Far}, .seed = 7}, at(0));
}

proto::FeedAnswer answerTo(const FeedOutput &output, std::uint64_t number)
{
    proto::RegistryMessage request;
    request.ParseFromString(output.request);
    proto::FeedAnswer answer;
    answer.set_call(request.feed().call());
    answer.set_number(number);
    if (number > request.feed().number())
        answer.set_packed_content(packText("declaration " + std::to_string(number)));
    answer.set_confirmed_ms(50);
    answer.set_list_digest(1);
    if (request.feed().list_digest() != 1)
        answer.mutable_list();
    for (const auto &[instance, site] : {std::pair(Near, "a"), std::pair(Far, "b")}) {
        proto::RegistryMember &member = *answer.add_known();
        member.set_instance(instance.value());
        member.set_data_centre(site);
    }
    return answer;
}

/// An answer that names no other registry process.
proto::FeedAnswer nearAnswerTo(const FeedOutput &output, std::uint64_t number)
{
    proto::FeedAnswer answer = answerTo(output, number);
    answer.mutable_known()->RemoveLast();
    answer.set_crashes_epoch(5);
    return answer;
}

FeedOutput deliver(RegistryFeed &feed, const InstanceId &from, const proto::FeedAnswer &answer,
                   TimePoint now)
{
    proto::RegistryMessage message;
    *message.mutable_feed_answer() = answer;
    return feed.onMessage(from, message.SerializeAsString(), now);
}

/// Runs the feed until it asks the process of its own data centre; returns the elapsed
/// milliseconds.
int runUntilStable(RegistryFeed &feed, std::uint64_t number)
{
    int ms = 0;
    for (int round = 0; round < 6; ++round) {
        const FeedOutput output = feed.tick(at(ms));
        if (output.requestTo)
            deliver(feed, *output.requestTo, answerTo(output, number), at(ms + 5));
        ms += 260;
    }
    return ms;
}

} // namespace

Test(registry_feed, prefersTheProcessOfItsDataCentre)
{
    RegistryFeed feed = makeFeed();
    const int ms = runUntilStable(feed, 3);
    const FeedOutput output = feed.tick(at(ms));
    cr_assert(output.requestTo == Near);
    cr_assert_lt(toMilliseconds(*feed.declarationAge(at(ms))), 400);
}

// A version of -5, acknowledged by an earlier build as 2^64 - 5, took the place of the routes, and
// no later version came into force.
Test(registry_feed, aNumberThatNoDeclarationHasLeavesTheOneThatIsHeldInForce)
{
    RegistryFeed feed = makeFeed();
    int ms = runUntilStable(feed, 3);
    const auto answerWith = [&](std::uint64_t number) {
        const FeedOutput output = feed.tick(at(ms));
        FeedOutput received = deliver(feed, Near, answerTo(output, number), at(ms + 5));
        ms += 260;
        return received.declaration;
    };
    for (int round = 0; round < 20; ++round)
        cr_assert_not(answerWith(0 - std::uint64_t{5}).has_value());
    cr_assert_lt(toMilliseconds(*feed.declarationAge(at(ms))), 400);
    const std::optional<RawDeclaration> next = answerWith(4);
    cr_assert(next && next->number == 4);
}

Test(registry_feed, requestIsResentWhileTheConnectionIsEstablished)
{
    RegistryFeed feed = makeFeed();
    const FeedOutput first = feed.tick(at(0));
    cr_assert(first.requestTo.has_value());
    const FeedOutput again = feed.tick(at(110));
    cr_assert(again.requestTo == first.requestTo);
    cr_assert_eq(again.request, first.request);
    cr_assert_not(feed.tick(at(140)).reconnect.has_value());
}

Test(registry_feed, requestOnEstablishedConnectionIsNotResent)
{
    // A declaration of hundreds of routes takes several resend intervals on a slow link.
    RegistryFeed feed = makeFeed();
    const int ms = runUntilStable(feed, 3);
    cr_assert(feed.tick(at(ms)).requestTo == Near);
    for (int later = 50; later < 400; later += 50)
        cr_assert_not(feed.tick(at(ms + later)).requestTo.has_value());
}

Test(registry_feed, damagedDeclarationIsRequestedFromAnotherProcess)
{
    RegistryFeed feed = makeFeed();
    const int ms = runUntilStable(feed, 3);
    FeedOutput output = feed.tick(at(ms));
    proto::FeedAnswer damaged = answerTo(output, 4);
    damaged.mutable_packed_content()->back() ^= 1;
    cr_assert_not(deliver(feed, Near, damaged, at(ms + 5)).declaration.has_value());
    output = feed.tick(at(ms + 50));
    cr_assert(output.requestTo == Far);
    cr_assert(deliver(feed, Far, answerTo(output, 4), at(ms + 60)).declaration.has_value());
}

Test(registry_feed, firstRequestToADeadSeedTimesOutEarly)
{
    RegistryFeed feed = makeFeed();
    const InstanceId first = *feed.tick(at(0)).requestTo;
    const FeedOutput second = feed.tick(at(160));
    cr_assert(second.requestTo.has_value() && second.requestTo != first);
}

Test(registry_feed, switchesToAnotherProcessAfterTimeout)
{
    RegistryFeed feed = makeFeed();
    int ms = runUntilStable(feed, 3);
    cr_assert(feed.tick(at(ms)).requestTo == Near);
    ms += 410;
    const FeedOutput output = feed.tick(at(ms));
    cr_assert(output.reconnect == Near);
    cr_assert(output.requestTo == Far);
}

Test(registry_feed, switchesToAnotherProcessIfAnswersAreNotConfirmed)
{
    // A network partition separates the near process from the leader: it answers, but its last
    // confirmation by a majority is old.
    RegistryFeed feed = makeFeed();
    int ms = runUntilStable(feed, 3);
    FeedOutput output = feed.tick(at(ms));
    proto::FeedAnswer stale = answerTo(output, 3);
    stale.set_confirmed_ms(1500);
    deliver(feed, Near, stale, at(ms + 5));
    output = feed.tick(at(ms + 50));
    cr_assert(output.requestTo == Far);
    const FeedOutput newer = deliver(feed, Far, answerTo(output, 4), at(ms + 60));
    cr_assert(newer.declaration == (RawDeclaration{4, "declaration 4"}));
}

// After a loss of power, registry processes without a leader gave entry processes the declaration
// that they knew to be committed, although a newer one had been acknowledged.
Test(registry_feed, firstDeclarationWaitsForAMajority)
{
    RegistryFeed feed = makeFeed();
    FeedOutput output = feed.tick(at(0));
    proto::FeedAnswer unconfirmed = answerTo(output, 3);
    unconfirmed.set_confirmed_ms(std::numeric_limits<std::uint32_t>::max());
    cr_assert_not(deliver(feed, *output.requestTo, unconfirmed, at(5)).declaration.has_value());
    output = feed.tick(at(60));
    cr_assert_not(output.declaration.has_value());
    const FeedOutput newer = deliver(feed, *output.requestTo, answerTo(output, 4), at(65));
    cr_assert(newer.declaration == (RawDeclaration{4, "declaration 4"}));
}

Test(registry_feed, firstDeclarationIsTakenOnceItIsConfirmed)
{
    RegistryFeed feed = makeFeed();
    FeedOutput output = feed.tick(at(0));
    proto::FeedAnswer unconfirmed = answerTo(output, 3);
    unconfirmed.set_confirmed_ms(std::numeric_limits<std::uint32_t>::max());
    deliver(feed, *output.requestTo, unconfirmed, at(5));
    output = feed.tick(at(60));
    // The content is not sent again.
    cr_assert(answerTo(output, 3).packed_content().empty());
    const FeedOutput confirmed = deliver(feed, *output.requestTo, answerTo(output, 3), at(65));
    cr_assert(confirmed.declaration == (RawDeclaration{3, "declaration 3"}));
}

Test(registry_feed, firstDeclarationIsTakenUnconfirmedInAPartition)
{
    RegistryFeed feed = makeFeed();
    FeedOutput output = feed.tick(at(0));
    proto::FeedAnswer unconfirmed = answerTo(output, 3);
    unconfirmed.set_confirmed_ms(std::numeric_limits<std::uint32_t>::max());
    deliver(feed, *output.requestTo, unconfirmed, at(5));
    cr_assert_not(feed.tick(at(2900)).declaration.has_value());
    cr_assert(feed.tick(at(3050)).declaration == (RawDeclaration{3, "declaration 3"}));
}

// A declaration that another entry process brought would have counted as confirmed, or been
// replaced by the older one of a registry process that is cut off too.
Test(registry_feed, aDeclarationOfAnotherInstanceIsNeitherConfirmedNorReplacedByAnOlderOne)
{
    RegistryFeed feed = makeFeed();
    int ms = runUntilStable(feed, 3);
    const std::optional<Duration> age = feed.declarationAge(at(ms));
    feed.noteDeclaration(5);
    cr_assert(feed.declarationAge(at(ms)) == age);
    FeedOutput output = feed.tick(at(ms));
    const FeedOutput older = deliver(feed, *output.requestTo, answerTo(output, 4), at(ms + 5));
    cr_assert_not(older.declaration.has_value());
    cr_assert(feed.declarationAge(at(ms)) == age);
    for (output = {}; !output.requestTo; ms += 50)
        output = feed.tick(at(ms));
    const FeedOutput confirmed = deliver(feed, *output.requestTo, answerTo(output, 5), at(ms));
    cr_assert_not(confirmed.declaration.has_value());
    cr_assert_lt(*feed.declarationAge(at(ms)), *age + std::chrono::milliseconds(60));
}

// The time was counted from the start of the process, so that a process that reached nobody at
// first took the first declaration that it got.
Test(registry_feed, firstDeclarationWaitsForAMajorityThoughAnswersBeginLate)
{
    RegistryFeed feed = makeFeed();
    FeedOutput output;
    int ms = 0;
    for (; ms <= 3500 || !output.requestTo; ms += 50)
        output = feed.tick(at(ms));
    proto::FeedAnswer unconfirmed = answerTo(output, 3);
    unconfirmed.set_confirmed_ms(std::numeric_limits<std::uint32_t>::max());
    cr_assert_not(deliver(feed, *output.requestTo, unconfirmed, at(ms)).declaration.has_value());
    output = feed.tick(at(ms + 50));
    cr_assert_not(output.declaration.has_value());
    const FeedOutput newer = deliver(feed, *output.requestTo, answerTo(output, 4), at(ms + 55));
    cr_assert(newer.declaration == (RawDeclaration{4, "declaration 4"}));
}

// Without a leader, all registry processes answered that they are not confirmed, and each entry
// process asked one of them in every tick.
Test(registry_feed, asksAtTheIntervalWhileNoProcessIsConfirmed)
{
    RegistryFeed feed = makeFeed();
    const int start = runUntilStable(feed, 3);
    int requests = 0;
    for (int ms = start; ms < start + 5000; ms += 50) {
        const FeedOutput output = feed.tick(at(ms));
        if (!output.requestTo)
            continue;
        ++requests;
        proto::FeedAnswer stale = answerTo(output, 3);
        stale.set_confirmed_ms(5000);
        deliver(feed, *output.requestTo, stale, at(ms + 5));
    }
    // One for each interval of 250 ms, and one more each time a process is no longer avoided.
    cr_assert_leq(requests, 5000 / 250 + 2 * 5000 / 2000);
}

// A process that had been cut off counted all others as silent while its last confirmation was
// still fresh, so that its entry processes stayed with it for three seconds.
Test(registry_feed, aSourceThatIsCutOffDoesNotMakeTheOthersSilent)
{
    for (const auto &[maxConfirmationMs, lastHeardMs] :
         {std::pair(500, 1400), std::pair(1000, 300), std::pair(1000, 900), std::pair(1000, 1400),
          std::pair(1250, 300), std::pair(1250, 1400), std::pair(5000, 0), std::pair(5000, 900)}) {
        RegistryFeed feed({.dataCentre = DataCentreId("a"),
                           .seeds = {Near, Far},
                           .seed = 7,
                           .maxConfirmationAge = std::chrono::milliseconds(maxConfirmationMs)},
                          at(0));
        const int cutAt = runUntilStable(feed, 3);
        bool asksFar = false;
        for (int ms = cutAt; ms < cutAt + maxConfirmationMs + 600 && !asksFar; ms += 50) {
            const FeedOutput output = feed.tick(at(ms));
            asksFar = output.requestTo == Far;
            if (!output.requestTo || asksFar)
                continue;
            proto::FeedAnswer answer = answerTo(output, 3);
            answer.set_confirmed_ms(50 + ms - cutAt);
            for (proto::RegistryMember &member : *answer.mutable_known())
                member.set_heard_ms(member.instance() == Near.value() ? 0
                                                                      : lastHeardMs + ms - cutAt);
            deliver(feed, Near, answer, at(ms + 5));
        }
        cr_expect(asksFar, "max. age %d ms, heard %d ms before the cut", maxConfirmationMs,
                  lastHeardMs);
    }
}

Test(registry_feed, lateDamagedAnswerDoesNotEndThePresentRequest)
{
    RegistryFeed feed = makeFeed();
    const int ms = runUntilStable(feed, 3);
    const FeedOutput abandoned = feed.tick(at(ms));
    const FeedOutput output = feed.tick(at(ms + 410));
    cr_assert(output.requestTo == Far);
    deliver(feed, Far, answerTo(output, 3), at(ms + 415));
    cr_assert(feed.tick(at(ms + 670)).requestTo == Far);
    proto::FeedAnswer damaged = answerTo(abandoned, 4);
    damaged.mutable_packed_content()->back() ^= 1;
    cr_assert_not(deliver(feed, Near, damaged, at(ms + 680)).declaration.has_value());
    cr_assert(feed.tick(at(ms + 1080)).reconnect == Far);
}

Test(registry_feed, ignoresOlderDeclaration)
{
    RegistryFeed feed = makeFeed();
    int ms = runUntilStable(feed, 9);
    const FeedOutput output = feed.tick(at(ms));
    proto::FeedAnswer older = answerTo(output, 8);
    older.set_packed_content(packText("declaration 8"));
    cr_assert_not(deliver(feed, *output.requestTo, older, at(ms + 5)).declaration.has_value());
}

Test(registry_feed, answersToAbandonedRequestsAreDropped)
{
    RegistryFeed feed = makeFeed();
    const int ms = runUntilStable(feed, 3);
    const FeedOutput abandoned = feed.tick(at(ms));
    feed.tick(at(ms + 450));
    cr_assert_not(
        deliver(feed, Near, answerTo(abandoned, 5), at(ms + 5000)).declaration.has_value());
}

// When every registry process took longer to answer than the time-out, each answer was dropped and
// an entry process never got a newer declaration.
Test(registry_feed, declarationArrivesThoughAllProcessesAnswerAfterTheTimeout)
{
    constexpr int answerTime = 600;
    RegistryFeed feed = makeFeed();
    const int start = runUntilStable(feed, 3);
    std::map<int, std::pair<InstanceId, FeedOutput>> answers;
    for (int ms = start; ms < start + 5000; ms += 50) {
        const FeedOutput output = feed.tick(at(ms));
        if (output.requestTo)
            answers.emplace(ms + answerTime, std::pair(*output.requestTo, output));
        const auto due = answers.find(ms);
        if (due == answers.end())
            continue;
        const auto &[from, request] = due->second;
        if (deliver(feed, from, answerTo(request, 4), at(ms)).declaration)
            return;
    }
    cr_assert_fail("the newer declaration was not received within 5 s");
}

Test(registry_feed, slowFirstAnswerIsReceivedAfterTimeoutsDouble)
{
    // Hundreds of processes receive 130 KB each over links of 10 Mbit/s: each answer takes 500 ms.
    RegistryFeed feed = makeFeed();
    std::optional<std::pair<InstanceId, FeedOutput>> asked;
    int arrivesAt = 0;
    for (int ms = 0; ms < 6000; ms += 20) {
        FeedOutput output = feed.tick(at(ms));
        if (asked && ms >= arrivesAt) {
            const FeedOutput taken
                = deliver(feed, asked->first, answerTo(asked->second, 3), at(ms));
            if (taken.declaration)
                return;
            asked.reset();
        }
        if (output.requestTo && !asked) {
            arrivesAt = ms + 500;
            asked = std::pair(*output.requestTo, output);
        } else if (output.requestTo && output.request != asked->second.request) {
            asked = std::pair(*output.requestTo, output);
            arrivesAt = ms + 500;
        }
    }
    cr_assert_fail("no declaration was received within 6 s");
}

namespace {

const InstanceId Third("10.3.0.1:7000");

/// Asks until Near has answered with what it last heard of Third; returns the elapsed milliseconds.
int runUntilHeardOf(RegistryFeed &feed, int heardMs, int confirmedMs = 50)
{
    const int begin = runUntilStable(feed, 3);
    const FeedOutput output = feed.tick(at(begin));
    proto::FeedAnswer answer = answerTo(output, 3);
    answer.set_confirmed_ms(confirmedMs);
    proto::RegistryMember &member = *answer.add_known();
    member.set_instance(Third.value());
    member.set_data_centre("a");
    member.set_heard_ms(heardMs);
    deliver(feed, Near, answer, at(begin + 5));
    return begin + 5;
}

/// Instances that are asked while none answers.
std::vector<InstanceId> askedInSilence(RegistryFeed &feed, int begin, int end)
{
    std::vector<InstanceId> asked;
    for (int ms = begin; ms < end; ms += 10) {
        const FeedOutput output = feed.tick(at(ms));
        if (output.requestTo && (asked.empty() || asked.back() != *output.requestTo))
            asked.push_back(*output.requestTo);
    }
    return asked;
}

} // namespace

// After several registry processes had been replaced, an entry process that lost its source asked
// those that were gone one after the other, 0.4 s each, and used an old declaration meanwhile.
Test(registry_feed, processThatNobodyHearsIsAskedLast)
{
    RegistryFeed feed = makeFeed();
    const int begin = runUntilHeardOf(feed, 4000);
    const std::vector<InstanceId> asked = askedInSilence(feed, begin, begin + 2000);
    cr_assert_geq(asked.size(), 2U);
    cr_assert_eq(std::count(asked.begin(), asked.end(), Third), 0);
    cr_assert_eq(std::count(asked.begin(), asked.end(), Far) > 0, true);
    // What is known of it is too old later on.
    const std::vector<InstanceId> later = askedInSilence(feed, begin + 2000, begin + 6000);
    cr_assert_geq(std::count(later.begin(), later.end(), Third), 1);
}

Test(registry_feed, processThatOthersHearIsAskedWithTheRest)
{
    RegistryFeed feed = makeFeed();
    const int begin = runUntilHeardOf(feed, 400);
    const std::vector<InstanceId> asked = askedInSilence(feed, begin, begin + 2000);
    cr_assert_geq(std::count(asked.begin(), asked.end(), Third), 1);
}

Test(registry_feed, processWithoutAMajorityDoesNotTellWhoIsGone)
{
    RegistryFeed feed = makeFeed();
    const int begin = runUntilHeardOf(feed, 4000, 5000);
    const std::vector<InstanceId> asked = askedInSilence(feed, begin, begin + 2000);
    cr_assert_geq(std::count(asked.begin(), asked.end(), Third), 1);
}

Test(registry_feed, crashesAreReportedUntilTheyAreReceived)
{
    CrashEvidence evidence;
    RegistryFeed feed(
        {.dataCentre = DataCentreId("a"), .seeds = {Near}, .seed = 7, .crashes = &evidence}, at(0));
    FeedOutput output = feed.tick(at(0));
    cr_assert_not(requestIn(output).has_crashes());
    proto::FeedAnswer answer = nearAnswerTo(output, 1);
    deliver(feed, Near, answer, at(5));
    evidence.addCrash(crashOf("one", at(100)), at(100));
    output = feed.tick(at(300));
    cr_assert_eq(requestIn(output).crashes().crashes_size(), 1);
    // No answer arrives, so that it is not known whether the request did.
    feed.tick(at(1000));
    output = feed.tick(at(1300));
    cr_assert_eq(requestIn(output).crashes().crashes_size(), 1);
    answer = nearAnswerTo(output, 1);
    deliver(feed, Near, answer, at(1305));
    output = feed.tick(at(1600));
    cr_assert_eq(requestIn(output).crashes().crashes_size(), 0);
    evidence.addCrash(crashOf("two", at(1700)), at(1700));
    deliver(feed, Near, nearAnswerTo(output, 1), at(1700));
    output = feed.tick(at(1900));
    cr_assert_geq(requestIn(output).crashes().crashes_size(), 1);
}

// A registry process that restarted knows nothing of what its predecessor was told.
Test(registry_feed, aRestartedRegistryProcessIsToldAllCrashes)
{
    CrashEvidence evidence;
    RegistryFeed feed(
        {.dataCentre = DataCentreId("a"), .seeds = {Near}, .seed = 7, .crashes = &evidence}, at(0));
    evidence.addCrash(crashOf("one", at(0)), at(0));
    for (int ms = 0; ms < 900; ms += 300) {
        proto::FeedAnswer answer = nearAnswerTo(feed.tick(at(ms)), 1);
        deliver(feed, Near, answer, at(ms + 5));
    }
    FeedOutput output = feed.tick(at(900));
    cr_assert_eq(requestIn(output).crashes().crashes_size(), 0);
    proto::FeedAnswer answer = nearAnswerTo(output, 1);
    answer.set_crashes_epoch(6);
    deliver(feed, Near, answer, at(905));
    cr_assert_eq(requestIn(feed.tick(at(1200))).crashes().crashes_size(), 1);
}

Test(registry_feed, crashesThatOthersObservedAreHandedOn)
{
    CrashEvidence evidence;
    RegistryFeed feed(
        {.dataCentre = DataCentreId("a"), .seeds = {Near}, .seed = 7, .crashes = &evidence}, at(0));
    const FeedOutput request = feed.tick(at(1000));
    proto::FeedAnswer answer = nearAnswerTo(request, 1);
    answer.set_crashes_version(9);
    proto::ServerCrash &crash = *answer.mutable_crashes()->add_crashes();
    crash.set_server("one");
    crash.set_service("s");
    crash.set_age_ms(400);
    proto::CrashPart &part = *crash.add_parts();
    part.set_part(7);
    part.set_position(1);
    part.set_suspicion(99); // Of a newer version of the program.
    const FeedOutput output = deliver(feed, Near, answer, at(1010));
    cr_assert_eq(output.crashes.crashes.size(), 1U);
    const ServerCrash &received = output.crashes.crashes.front();
    cr_assert_eq(received.crashedAt, at(610));
    cr_assert_eq(received.parts.at(7), (CrashPart{PartSuspicion::Cleared, 1}));
    feed.setRefusedParts({7});
    const proto::FeedRequest next = requestIn(feed.tick(at(1300)));
    cr_assert_eq(next.crashes_epoch(), 5U);
    cr_assert_eq(next.crashes_version(), 9U);
    cr_assert_eq(next.refused_parts(0), 7U);
}

Test(registry_feed, learnsOfOtherEntryProcessesAndKeepsThemWhileTheyAreConfirmed)
{
    RegistryFeed feed = makeFeed();
    feed.setCutOff(true);
    FeedOutput output = feed.tick(at(0));
    cr_assert_eq(requestIn(output).data_centre(), "a");
    cr_assert(requestIn(output).cut_off());
    proto::RegistryMessage message;
    *message.mutable_feed_answer() = answerTo(output, 1);
    message.mutable_feed_answer()->set_peers_digest(77);
    proto::EntryProcess &peer = *message.mutable_feed_answer()->mutable_peers()->add_processes();
    peer.set_instance("10.1.0.9:7000");
    peer.set_data_centre("a");
    peer.set_cut_off(true);
    const PeerInstance expected{InstanceId("10.1.0.9:7000"), DataCentreId("a"), true};
    output = feed.onMessage(*output.requestTo, message.SerializeAsString(), at(10));
    cr_assert(output.peers && *output.peers == std::vector{expected});
    output = feed.tick(at(260));
    cr_assert_eq(requestIn(output).peers_digest(), 77U);
    *message.mutable_feed_answer() = answerTo(output, 1);
    message.mutable_feed_answer()->set_peers_digest(77);
    output = feed.onMessage(*output.requestTo, message.SerializeAsString(), at(270));
    cr_assert(output.peers && *output.peers == std::vector{expected});
}

// A restarted entry instance does not know which versions were listed before.
Test(registry_feed, asksForEarlierVersionsUntilTheyAreKnown)
{
    RegistryFeed feed = makeFeed();
    FeedOutput output = feed.tick(at(0));
    cr_assert(requestIn(output).wants_versions());
    // An older build states none.
    output = deliver(feed, *output.requestTo, answerTo(output, 1), at(10));
    cr_assert_not(output.versions);
    output = feed.tick(at(260));
    cr_assert(requestIn(output).wants_versions());
    proto::FeedAnswer answer = answerTo(output, 1);
    answer.set_versions_known_ms(60'000);
    proto::ListedVersion &gone = *answer.add_versions();
    gone.set_service("lm");
    gone.set_version("v1");
    gone.set_since_ms(60'000);
    gone.set_gone_ms(1 + 4000);
    proto::ListedVersion &listed = *answer.add_versions();
    listed.set_service("lm");
    listed.set_version("v2");
    listed.set_since_ms(9000);
    output = deliver(feed, *output.requestTo, answer, at(270));
    cr_assert(output.versions);
    cr_assert_eq(output.versions->knownFor, milliseconds(60'000));
    const std::vector<ListedVersion> expected{
        {"lm", "v1", milliseconds(60'000), milliseconds(4000)},
        {"lm", "v2", milliseconds(9000), std::nullopt}};
    cr_assert(output.versions->versions == expected);
    feed.setWantsVersions(false);
    cr_assert_not(requestIn(feed.tick(at(520))).wants_versions());
}

// An answer on a stream's record was taken for an unreadable feed answer.
Test(registry_feed, passesAnswersOnRecordsOn)
{
    RegistryFeed feed = makeFeed();
    const FeedOutput output = feed.onMessage(Far, RegistryFeed::wrapPeerMessage("answer"), at(0));
    cr_assert_eq(output.peerMessage, "answer");
    cr_assert_not(output.requestTo);
}

// Records go to registry instances that are gone.
Test(registry_feed, namesTheRegistryProcessesThatAreHeard)
{
    RegistryFeed feed = makeFeed();
    cr_assert(feed.registryProcesses(at(0)) == (std::vector{Near, Far}));
    const FeedOutput output = feed.tick(at(0));
    const InstanceId other = *output.requestTo == Near ? Far : Near;
    proto::FeedAnswer answer = answerTo(output, 1);
    for (proto::RegistryMember &member : *answer.mutable_known()) {
        if (InstanceId(member.instance()) == other)
            member.set_heard_ms(2000);
    }
    deliver(feed, *output.requestTo, answer, at(10));
    cr_assert(feed.registryProcesses(at(20)) == std::vector{*output.requestTo});
}
