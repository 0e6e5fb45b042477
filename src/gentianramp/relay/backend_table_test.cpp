#include <gentianramp/relay/backend_table.hpp>

#include <map>
#include <random>
#include <set>

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

TimePoint at(int ms)
{
    return TimePoint(std::chrono::seconds(900) + std::chrono::milliseconds(ms));
}

BackendListing engines(int count, int decoding, std::int64_t born = 1)
{
    BackendListing listing{.digest = 1};
    for (int number = 0; number < count; ++number)
        listing.servers.push_back({.id = BackendId("e" + std::to_string(number)),
                                   .service = "lm",
                                   .host = "10.0.0." + std::to_string(number + 1),
                                   .port = 8000,
                                   .dataCentre = DataCentreId("site" + std::to_string(number % 3)),
                                   .slots = 64,
                                   .engine = true,
                                   .prefillOnly = number >= decoding,
                                   .startedAtMs = born});
    return listing;
}

DeclaredService service()
{
    DeclaredService declared{.name = "lm", .maxConnections = 400};
    declared.engine = EngineTraits{
        .slots = 64, .memoryTokens = 500'000, .tokenBytes = 327'680, .linkBitsPerSecond = 3.8e12};
    return declared;
}

PromptShape prompt(std::uint64_t session, std::uint32_t shared = 13'000, std::uint32_t own = 3'700)
{
    static std::uint64_t last = 1'000'000;
    return {.parts = {{session, shared}, {++last, own}}, .outputTokens = 120};
}

BackendTable table(int site = 0, int count = 12, int decoding = 3)
{
    BackendTable made({.dataCentre = DataCentreId("site" + std::to_string(site)),
                       .seed = static_cast<std::uint64_t>(site + 1)});
    made.publish(engines(count, decoding));
    made.setService(service());
    made.setInstances(9);
    return made;
}

std::optional<RequestPlacement> choose(BackendTable &made, const PromptShape &shape, TimePoint now,
                                       std::span<const BackendId> excluded = {})
{
    return made.choose(
        {.service = "lm", .prompt = &shape, .repeatable = true, .excluded = excluded}, now);
}

} // namespace

Test(backend_table, allInstancesReadASessionAtOneEngine)
{
    BackendTable first = table(0);
    BackendTable second = table(1);
    std::set<BackendId> homes;
    for (std::uint64_t session = 1; session <= 60; ++session) {
        const auto one = choose(first, prompt(session), at(0));
        const auto two = choose(second, prompt(session), at(0));
        cr_assert_eq(one->reader->backend, two->reader->backend);
        homes.insert(one->reader->backend);
    }
    cr_assert_eq(homes.size(), 9U);
}

Test(backend_table, decodingStaysInTheOwnDataCentre)
{
    BackendTable made = table(2);
    for (std::uint64_t session = 1; session <= 20; ++session)
        cr_assert_eq(choose(made, prompt(session), at(0))->runner.backend, BackendId("e2"));
}

Test(backend_table, aLostEngineMovesOnlyItsOwnSessions)
{
    BackendTable before = table();
    BackendTable after = table();
    after.noteSilent(BackendId("e7"), true, at(0));
    for (std::uint64_t session = 1; session <= 60; ++session) {
        const BackendId home = choose(before, prompt(session), at(0))->reader->backend;
        const BackendId now = choose(after, prompt(session), at(0))->reader->backend;
        if (home == BackendId("e7"))
            cr_assert_neq(now, home);
        else
            cr_assert_eq(now, home);
    }
}

Test(backend_table, aReportedQueueSendsPromptsElsewhereOnlyWhenReadingAgainIsWorthIt)
{
    // This instance sent nothing to the engine; only its report tells that it is behind. One second
    // is less than what a second reading costs everybody; four seconds are most callers' time.
    BackendTable made = table();
    std::uint64_t session = 1;
    while (choose(made, prompt(session), at(0))->reader->backend != BackendId("e5"))
        ++session;
    made.noteReport({.engine = BackendId("e5"), .waiting = 18, .running = 4}, at(0));
    cr_assert_eq(choose(made, prompt(session), at(10))->reader->backend, BackendId("e5"));
    made.noteReport({.engine = BackendId("e5"), .waiting = 80, .running = 4}, at(250));
    cr_assert_neq(choose(made, prompt(session), at(260))->reader->backend, BackendId("e5"));
    // A report that old says nothing any more.
    cr_assert_eq(choose(made, prompt(session), at(5000))->reader->backend, BackendId("e5"));
}

Test(backend_table, aBurstIsSpreadOverTheEngines)
{
    // Load pattern of a cold start: many prompts at once, a few sessions far more often than
    // others.
    BackendTable made = table();
    std::mt19937 random(3);
    std::map<BackendId, double> tokens;
    for (int count = 0; count < 300; ++count) {
        const PromptShape shape = prompt(1 + (random() % 4 == 0 ? random() % 3 : random() % 90));
        const auto placed = choose(made, shape, at(count));
        made.sent(*placed->reader, &shape, at(count));
        tokens[placed->reader->backend] += placed->reader->unreadTokens;
    }
    double most = 0;
    double sum = 0;
    for (const auto &[engine, read] : tokens) {
        most = std::max(most, read);
        sum += read;
    }
    cr_assert_eq(tokens.size(), 9U);
    cr_assert_leq(most, 1.6 * sum / 9);
}

Test(backend_table, nothingIsReadBesideDecodingWhileAnEngineReads)
{
    BackendTable made = table();
    for (std::uint64_t session = 1; session <= 40; ++session)
        cr_assert(choose(made, prompt(session, 200, 900), at(0))->reader.has_value());
    std::vector<BackendId> readers;
    for (int number = 3; number < 12; ++number)
        readers.emplace_back("e" + std::to_string(number));
    const auto alone = choose(made, prompt(1), at(0), readers);
    cr_assert_not(alone->reader.has_value());
}

Test(backend_table, failedHandOversAvoidTheEngineAtFault)
{
    // Engine e1 moves prompts eight times slower; it fails with whoever reads.
    BackendTable made = table(1);
    cr_assert_eq(choose(made, prompt(1), at(0))->runner.backend, BackendId("e1"));
    for (const char *reader : {"e4", "e5", "e6"})
        made.noteHandOverFailed(BackendId(reader), BackendId("e1"), at(0));
    cr_assert_neq(choose(made, prompt(1), at(10))->runner.backend, BackendId("e1"));
    cr_assert_eq(choose(made, prompt(1), at(4000))->runner.backend, BackendId("e1"));
}

Test(backend_table, aMisdirectedEngineIsLeftAloneForAWhile)
{
    BackendTable made = table(1);
    made.noteMisdirected(BackendId("e1"), at(0));
    cr_assert_neq(choose(made, prompt(1), at(10))->runner.backend, BackendId("e1"));
    cr_assert_eq(choose(made, prompt(1), at(2500))->runner.backend, BackendId("e1"));
}

Test(backend_table, anEngineThatChangesItsStageGetsNothing)
{
    BackendTable made = table(1);
    made.noteReport({.engine = BackendId("e1"), .changing = true}, at(0));
    cr_assert_neq(choose(made, prompt(1), at(10))->runner.backend, BackendId("e1"));
    cr_assert_eq(choose(made, prompt(1), at(1000))->runner.backend, BackendId("e1"));
}

Test(backend_table, aNewHomeFetchesFromTheFormerOne)
{
    // Load pattern of a release: half a minute into the day an engine drains and a new one comes.
    BackendTable made({.dataCentre = DataCentreId("site0"), .seed = 1});
    made.setService(service());
    BackendListing listing = engines(12, 3);
    listing.takenAt = at(0);
    made.publish(listing);
    for (std::uint64_t session = 1; session <= 40; ++session)
        cr_assert_not(choose(made, prompt(session), at(20'000))->reader->fetchFrom.has_value());
    listing.servers[5].draining = true;
    ListedServer fresh = listing.servers[5];
    fresh.id = BackendId("fresh");
    fresh.host = "10.0.0.99";
    fresh.draining = false;
    listing.servers.push_back(fresh);
    listing.takenAt = at(20'000);
    made.publish(listing);
    int moved = 0;
    for (std::uint64_t session = 1; session <= 60; ++session) {
        const auto placed = choose(made, prompt(session), at(20'100));
        cr_assert_neq(placed->reader->backend, BackendId("e5"));
        if (!placed->reader->fetchFrom)
            continue;
        ++moved;
        cr_assert(placed->reader->backend == BackendId("fresh")
                  || placed->reader->fetchFrom->host == "10.0.0.6");
    }
    cr_assert_gt(moved, 5);
    // The old one is gone and the new one is settled.
    listing.servers.erase(listing.servers.begin() + 5);
    made.publish(listing);
    for (std::uint64_t session = 1; session <= 40; ++session)
        cr_assert_not(choose(made, prompt(session), at(30'000))->reader->fetchFrom.has_value());
}

Test(backend_table, aDrainingServerGetsNothing)
{
    BackendTable made({.dataCentre = DataCentreId("site0"), .seed = 1});
    BackendListing listing = engines(3, 3);
    for (ListedServer &server : listing.servers)
        server.draining = server.id != BackendId("e2");
    made.publish(listing);
    for (int count = 0; count < 10; ++count)
        cr_assert_eq(choose(made, prompt(1), at(0))->runner.backend, BackendId("e2"));
    listing.servers[2].draining = true;
    made.publish(listing);
    cr_assert_not(choose(made, prompt(1), at(0)).has_value());
}

Test(backend_table, aServerThatStartedAnewBeginsWithoutHistory)
{
    BackendTable made = table();
    const PromptShape shape = prompt(1);
    const auto placed = choose(made, shape, at(0));
    made.sent(*placed->reader, &shape, at(0));
    made.noteSilent(placed->reader->backend, true, at(0));
    made.publish(engines(12, 3, 2));
    cr_assert_not(made.isSilent(placed->reader->backend));
    // The end of a request to the life before changes nothing.
    made.ended(*placed->reader, false, SendOutcome::Failed, at(1));
    cr_assert_eq(choose(made, shape, at(2))->reader->backend, placed->reader->backend);
}

Test(backend_table, aReportedSilenceIsOnlyAReasonToCheck)
{
    // The leader may be cut off from an engine that this instance reaches.
    BackendTable made = table();
    made.noteHeard(BackendId("e5"), at(100));
    cr_assert_not(made.noteReport({.engine = BackendId("e5"), .silent = true}, at(50)));
    cr_assert(made.noteReport({.engine = BackendId("e6"), .silent = true}, at(50)));
    cr_assert_not(made.isSilent(BackendId("e6")));
}

Test(backend_table, plainCallsGoToTheLeastLoaded)
{
    BackendTable made({.dataCentre = DataCentreId("site0"), .seed = 1});
    BackendListing listing;
    for (int number = 0; number < 3; ++number)
        listing.servers.push_back({.id = BackendId("p" + std::to_string(number)),
                                   .service = "app",
                                   .host = "10.0.1." + std::to_string(number),
                                   .port = 80,
                                   .dataCentre = DataCentreId("site0"),
                                   .slots = 6});
    made.publish(listing);
    std::map<BackendId, int> open;
    for (int count = 0; count < 9; ++count) {
        const auto placed = made.choose({.service = "app"}, at(count));
        made.sent(placed->runner, nullptr, at(count));
        ++open[placed->runner.backend];
    }
    for (const auto &[server, requests] : open)
        cr_assert_eq(requests, 3);
}

Test(backend_table, aServerThatFailsPartOfItsRequestsGetsFewer)
{
    // Load pattern of a grey failure: one of three servers breaks off every second request.
    BackendTable made({.dataCentre = DataCentreId("site0"), .seed = 1});
    BackendListing listing;
    for (int number = 0; number < 3; ++number)
        listing.servers.push_back({.id = BackendId("p" + std::to_string(number)),
                                   .service = "app",
                                   .host = "10.0.1." + std::to_string(number),
                                   .port = 80,
                                   .dataCentre = DataCentreId("site" + std::to_string(number)),
                                   .slots = 6});
    made.publish(listing);
    int toGrey = 0;
    for (int count = 0; count < 100; ++count) {
        const TimePoint now = at(250 * count);
        const auto placed = made.choose({.service = "app"}, now);
        const bool grey = placed->runner.backend == BackendId("p0");
        made.sent(placed->runner, nullptr, now);
        made.ended(placed->runner, true,
                   grey && toGrey % 2 == 0 ? SendOutcome::Failed : SendOutcome::Served, now);
        toGrey += grey ? 1 : 0;
    }
    cr_assert_leq(toGrey, 20, "%d of 100 went to the server that fails", toGrey);
    cr_assert_geq(toGrey, 3, "it has to be tried again");
}

namespace {

/// One plain server that has just failed three times in a row.
BackendTable tableWithFailedServer()
{
    BackendTable made({.dataCentre = DataCentreId("site0"), .seed = 1});
    BackendListing listing;
    listing.servers.push_back({.id = BackendId("p0"),
                               .service = "app",
                               .host = "10.0.1.1",
                               .port = 80,
                               .dataCentre = DataCentreId("site0"),
                               .slots = 6});
    made.publish(listing);
    for (int count = 0; count < 3; ++count) {
        const auto placed = made.choose({.service = "app"}, at(count));
        made.sent(placed->runner, nullptr, at(count));
        made.ended(placed->runner, false, SendOutcome::Failed, at(count));
    }
    return made;
}

} // namespace

Test(backend_table, aFailingServerIsBetterThanNone)
{
    // All calls of the service may run once only, so that none of them is a safe probe.
    BackendTable made = tableWithFailedServer();
    for (int ms = 10; ms < 20'000; ms += 500)
        cr_assert(made.choose({.service = "app", .repeatable = false}, at(ms)).has_value());
}

Test(backend_table, aChoiceThatIsNotSentTakesNoProbe)
{
    BackendTable made = tableWithFailedServer();
    BackendListing listing;
    for (const char *id : {"p0", "p1"})
        listing.servers.push_back(
            {.id = BackendId(id),
             .service = "app",
             .host = "10.0.1.1",
             .port = 80,
             .dataCentre = DataCentreId(std::string(id) == "p0" ? "site0" : "site1"),
             .slots = 6});
    made.publish(listing);
    const auto probe = made.choose({.service = "app"}, at(20'000));
    cr_assert_eq(probe->runner.backend, BackendId("p0"));
    made.notSent(probe->runner);
    cr_assert_eq(made.choose({.service = "app"}, at(20'001))->runner.backend, BackendId("p0"));
}
