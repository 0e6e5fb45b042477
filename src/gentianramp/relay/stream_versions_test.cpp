#include "relay_test_fixture.hpp"

#include <gentianramp/registry/listed_versions.hpp>
#include <gentianramp/registry/stream_record_keeper.hpp>

#include <criterion/criterion.h>

using namespace gentianramp;
using namespace gentianramp::test;

namespace {

Route resumableRoute()
{
    return {.kind = RouteKind::Stream,
            .timeout = std::chrono::seconds(1),
            .attempts = 3,
            .resumable = true};
}

HttpRequest returningRequest(const std::string &firstAttempt)
{
    HttpRequest request{.method = "POST"};
    request.headers.add("Last-Event-Id", "2");
    if (!firstAttempt.empty())
        request.headers.add("X-Resumes", firstAttempt);
    return request;
}

/// Two instances that keep each other's records; the messages to the second one can be lost.
struct TwoInstances
{
    TwoInstances()
        : first({}, {}, hooksOf(second, "first", "second"))
        , second({}, {}, hooksOf(first, "second", "first"))
    {
        for (RelayFixture *instance : {&first, &second}) {
            instance->declare(resumableRoute());
            instance->addServer("one", streams(1, 2, instance == &second), false, "s", "v1");
            instance->addServer("two", streams(1, 6, true), false, "s", "v2");
        }
    }

    PeerHooks hooksOf(RelayFixture &other, const std::string &self, const std::string &otherName)
    {
        PeerHooks hooks;
        hooks.keepers = hooks.witnesses
            = [otherName](std::string_view) { return std::vector{InstanceId(otherName)}; };
        hooks.send = [this, &other, self](const InstanceId &, const std::string &payload) {
            if (connected)
                other.relay.onPeerMessage(InstanceId(self), payload);
        };
        return hooks;
    }

    /// A stream that the first server begins at the first instance and breaks off.
    void beginAtFirstVersion()
    {
        HttpRequest request{.method = "POST"};
        request.headers.set("X-Id", "began");
        // Version v2 is so new that no stream begins there.
        cr_assert_not(first.call(std::move(request)));
        cr_assert_geq(first.requestsAt("one"), 1);
        cr_assert_eq(first.requestsAt("two"), 0);
    }

    bool connected = true;
    RelayFixture first;
    RelayFixture second;
};

const InstanceId RegistryName("registry");

/// An entry instance, and a registry instance that outlasts it.
struct EntryAndRegistry
{
    PeerHooks hooks()
    {
        PeerHooks hooks;
        hooks.registryKeepers = hooks.registryWitnesses
            = [](std::string_view) { return std::vector{RegistryName}; };
        hooks.sendToRegistry = [this](const InstanceId &, const std::string &payload) {
            if (!answers)
                return;
            const auto answer = registry.onMessage(payload, RuntimeClock::now());
            if (answer)
                entry->relay.onPeerMessage(RegistryName, *answer);
        };
        return hooks;
    }

    /// Starts an entry instance that remembers nothing of its predecessors.
    void restart(const Handler &oldVersion)
    {
        entry = std::make_unique<RelayFixture>(RetryBounds{},
                                               std::function<void(BackendProtocol &)>(), hooks());
        entry->declare(resumableRoute());
        entry->addServer("one", oldVersion, false, "s", "v1");
        entry->addServer("two", streams(1, 6, true), false, "s", "v2");
    }

    /// A stream that breaks off at its first version, as all entry instances lose power.
    void beginAndLosePower()
    {
        restart(streams(1, 2, false));
        HttpRequest request{.method = "POST"};
        request.headers.set("X-Id", "began");
        // Version v2 is so new that no stream begins there.
        cr_assert_not(entry->call(std::move(request)));
        cr_assert_geq(entry->requestsAt("one"), 1);
        restart(streams(1, 6, true));
    }

    StreamRecordKeeper registry;
    bool answers = true; ///< The registry instance handles records and questions.
    std::unique_ptr<RelayFixture> entry;
};

} // namespace

// After a loss of power of all entry instances, nobody knows which version began a stream.
Test(stream_versions, aStreamOutlastsTheLossOfAllEntryInstances)
{
    EntryAndRegistry system;
    system.beginAndLosePower();
    const Result<HttpResponse> answer = system.entry->call(returningRequest("began"));
    cr_assert(answer && answer->status == 200U);
    cr_assert_eq(system.entry->requestsAt("one"), 1);
    cr_assert_eq(system.entry->requestsAt("two"), 0);
}

// A stream whose record is lost goes on at any version.
Test(stream_versions, aRegistryInstanceWithoutARecordProvesNothing)
{
    EntryAndRegistry system;
    system.beginAndLosePower();
    const Result<HttpResponse> answer = system.entry->call(returningRequest("never-recorded"));
    cr_assert(answer && answer->status == 503U);
    // One version is left, and a registry instance that knows nothing does not make it the only
    // one.
    system.entry->remove("two");
    const Result<HttpResponse> second = system.entry->call(returningRequest("never-recorded"));
    cr_assert(second && second->status == 503U);
    cr_assert_eq(system.entry->requestsAt("one"), 0);
    cr_assert_eq(system.entry->requestsAt("two"), 0);
}

// An older registry instance ignores records and questions: the caller waits without end.
Test(stream_versions, aSilentRegistryInstanceCostsTheTimeOutAlone)
{
    EntryAndRegistry system;
    system.answers = false;
    system.beginAndLosePower();
    const TimePoint start = RuntimeClock::now();
    const Result<HttpResponse> answer = system.entry->call(returningRequest("began"));
    cr_assert(answer && answer->status == 503U);
    cr_assert_lt(RuntimeClock::now() - start, std::chrono::milliseconds(700));
    cr_assert(system.entry->receivedRequests.empty());
}

// A stream that began before the second version was listed is refused after a loss of all entry
// instances: its record was not sent when it began.
Test(stream_versions, recordsOfEarlierStreamsAreSentOnceThereIsASecondVersion)
{
    EntryAndRegistry system;
    system.entry = std::make_unique<RelayFixture>(
        RetryBounds{}, std::function<void(BackendProtocol &)>(), system.hooks());
    system.entry->declare(resumableRoute());
    system.entry->addServer("one", streams(1, 2, false), false, "s", "v1");
    HttpRequest request{.method = "POST"};
    request.headers.set("X-Id", "began");
    cr_assert_not(system.entry->call(std::move(request)));
    system.entry->relay.resendPeerMessages(RuntimeClock::now());
    cr_assert_eq(system.registry.size(), 0U);
    system.entry->addServer("two", streams(1, 6, true), false, "s", "v2");
    system.entry->relay.resendPeerMessages(RuntimeClock::now());
    cr_assert_eq(system.registry.size(), 1U);
    system.restart(streams(1, 6, true));
    const Result<HttpResponse> answer = system.entry->call(returningRequest("began"));
    cr_assert(answer && answer->status == 200U);
    cr_assert_eq(system.entry->requestsAt("one"), 1);
    cr_assert_eq(system.entry->requestsAt("two"), 0);
}

// Records of all streams at once, as a second version is listed, overload registry instances.
Test(stream_versions, recordsOfEarlierStreamsAreSentAFewAtATime)
{
    EntryAndRegistry system;
    system.entry = std::make_unique<RelayFixture>(
        RetryBounds{}, std::function<void(BackendProtocol &)>(), system.hooks());
    system.entry->declare(resumableRoute());
    system.entry->addServer("one", streams(1, 6, true), false, "s", "v1");
    for (int number = 0; number < 12; ++number)
        cr_assert_eq(system.entry->call({.method = "POST"})->status, 200U);
    system.entry->addServer("two", streams(1, 6, true), false, "s", "v2");
    for (const std::size_t expected : {5U, 10U, 12U, 12U}) {
        system.entry->relay.resendPeerMessages(RuntimeClock::now());
        cr_assert_eq(system.registry.size(), expected);
    }
}

// While one version is listed, records cost registry instances work for nothing.
Test(stream_versions, oneVersionLeavesNoRecordsAtTheRegistry)
{
    EntryAndRegistry system;
    system.entry = std::make_unique<RelayFixture>(
        RetryBounds{}, std::function<void(BackendProtocol &)>(), system.hooks());
    system.entry->declare(resumableRoute());
    system.entry->addServer("one", streams(1, 6, true), false, "s", "v1");
    cr_assert_eq(system.entry->call({.method = "POST"})->status, 200U);
    cr_assert_eq(system.registry.size(), 0U);
}

// An entry instance that has restarted refuses streams for as long as a stream may last, although
// registry instances know that there was one version alone.
Test(stream_versions, aRestartedInstanceTakesEarlierVersionsFromTheRegistry)
{
    for (const bool hadOtherVersion : {false, true}) {
        RelayFixture fixture;
        fixture.declare(resumableRoute());
        fixture.addServer("one", streams(1, 6, true), false, "s", "v1");
        cr_assert_not(fixture.relay.knowsVersions());
        cr_assert_eq(fixture.call(returningRequest("began"))->status, 503U);
        VersionReport report{.knownFor = std::chrono::minutes(1), .versions = {}};
        report.versions.push_back({"s", "v1", std::chrono::minutes(1), std::nullopt});
        if (hadOtherVersion)
            report.versions.push_back(
                {"s", "v0", std::chrono::minutes(1), std::chrono::milliseconds(100)});
        fixture.relay.publish(report);
        cr_assert(fixture.relay.knowsVersions());
        cr_assert_eq(fixture.call(returningRequest("began"))->status,
                     hadOtherVersion ? 503U : 200U);
    }
}

// A stream of a route with two services goes on at the other service, whose versions are known.
Test(stream_versions, aStreamOfAnUnknownServiceIsRefused)
{
    RelayFixture fixture;
    fixture.addServer("one", streams(1, 6, true), false, "s", "v1");
    Route route = resumableRoute();
    route.timeout = std::chrono::milliseconds(200);
    fixture.declare(route, {{"s", 1}, {"other", 1}});
    fixture.wait(std::chrono::milliseconds(450));
    fixture.relay.confirmListing(RuntimeClock::now());
    cr_assert(fixture.relay.knowsVersions());
    for (int attempt = 0; attempt < 8; ++attempt)
        cr_assert_eq(fixture.call(returningRequest("began"))->status, 503U);
    cr_assert(fixture.receivedRequests.empty());
}

// A stream that breaks goes on at a server of another software version.
Test(stream_versions, aBrokenStreamGoesOnAtItsVersionAlone)
{
    RelayFixture fixture;
    fixture.addServer("old", streams(1, 2, false), false, "s", "v1");
    fixture.declare(resumableRoute());
    fixture.addServer("new", streams(1, 6, true), false, "s", "v2");
    for (int attempt = 0; attempt < 10; ++attempt) {
        const int before = fixture.requestsAt("new");
        const Result<HttpResponse> answer = fixture.call({.method = "POST"});
        cr_assert(fixture.requestsAt("new") == before || answer);
    }
    for (const auto &[server, request] : fixture.receivedRequests)
        cr_assert(server != "new" || !request.headers.contains("Last-Event-Id"));
}

// A caller that returns to another instance gets the rest of its stream from any version.
Test(stream_versions, aReturningCallerWhoseVersionIsUnknownIsRefused)
{
    RelayFixture fixture;
    for (const std::string version : {"v1", "v2"}) {
        fixture.addServer(version, streams(1, 6, true), false, "s", version);
    }
    fixture.declare(resumableRoute());
    const Result<HttpResponse> answer = fixture.call(returningRequest("another-instance"));
    cr_assert(answer);
    cr_assert_eq(answer->status, 503U);
    cr_assert(answer->headers.contains("Retry-After"));
    cr_assert(fixture.receivedRequests.empty());
}

Test(stream_versions, aCallerGoesOnAtTheVersionThatAnotherInstanceRecorded)
{
    TwoInstances instances;
    instances.beginAtFirstVersion();
    for (int attempt = 0; attempt < 5; ++attempt) {
        const Result<HttpResponse> answer = instances.second.call(returningRequest("began"));
        cr_assert(answer && answer->status == 200U);
    }
    cr_assert_eq(instances.second.requestsAt("one"), 5);
    cr_assert_eq(instances.second.requestsAt("two"), 0);
}

Test(stream_versions, aCallerIsRefusedWhereTheRecordCannotBeReached)
{
    TwoInstances instances;
    instances.beginAtFirstVersion();
    instances.connected = false;
    // The first instance has the record itself; the second one had received it.
    cr_assert_eq(instances.second.call(returningRequest("began"))->status, 200U);
    cr_assert_eq(instances.second.call(returningRequest("never-seen"))->status, 503U);
    cr_assert_eq(instances.second.requestsAt("two"), 0);
}

Test(stream_versions, aStreamWhoseVersionHasLeftEndsAtOnce)
{
    RelayFixture fixture;
    fixture.addServer("other", streams(1, 6, true), false, "s", "v2");
    const Handler breaks = streams(1, 2, false);
    fixture.addServer(
        "old",
        [&](HttpRequest request, ResponseWriter &writer) {
            fixture.remove("old");
            return breaks(std::move(request), writer);
        },
        false, "s", "v1");
    Route route = resumableRoute();
    route.timeout = std::chrono::seconds(20);
    fixture.declare(route);
    const TimePoint start = RuntimeClock::now();
    int broken = 0;
    while (fixture.requestsAt("old") == 0 && RuntimeClock::now() - start < std::chrono::seconds(10))
        broken += fixture.call({.method = "POST"}) ? 0 : 1;
    cr_assert_eq(broken, 1);
    cr_assert_lt(RuntimeClock::now() - start, std::chrono::seconds(15));
    for (const auto &[server, request] : fixture.receivedRequests)
        cr_assert_not(request.headers.contains("Last-Event-Id"));
}

Test(stream_versions, aServiceWithOneVersionIsResumedWithoutQuestions)
{
    int questions = 0;
    PeerHooks hooks;
    hooks.witnesses = [&](std::string_view) {
        ++questions;
        return std::vector<InstanceId>();
    };
    RelayFixture fixture({}, {}, std::move(hooks));
    fixture.addServer("one", streams(1, 6, true), false, "s", "v1");
    Route route = resumableRoute();
    route.timeout = std::chrono::milliseconds(200);
    fixture.declare(route);
    fixture.wait(std::chrono::milliseconds(450));
    fixture.relay.confirmListing(RuntimeClock::now());
    cr_assert_eq(fixture.call(returningRequest("another-instance"))->status, 200U);
    cr_assert_eq(questions, 0);
}

// The first message to an instance is lost while the connection to it is being established.
Test(stream_versions, aRecordThatWasLostIsSentOnceMore)
{
    TwoInstances instances;
    instances.connected = false;
    instances.beginAtFirstVersion();
    instances.connected = true;
    instances.first.relay.resendPeerMessages(RuntimeClock::now() + std::chrono::seconds(1));
    instances.connected = false;
    cr_assert_eq(instances.second.call(returningRequest("began"))->status, 200U);
}
