#include "../http/raw_server.hpp"
#include "hand_over_fixture.hpp"

#include <criterion/criterion.h>

using namespace gentianramp;
using namespace gentianramp::test;

namespace asio = boost::asio;

namespace {

Handler answers(unsigned status)
{
    return [=](HttpRequest request, ResponseWriter &writer) -> asio::awaitable<void> {
        co_await writer.send(signedAnswer(request, status, "from " + std::string(request.body)));
    };
}

/// Takes requests and closes their connections.
Handler closesWithoutAnswer(int &taken)
{
    return [&taken](HttpRequest, ResponseWriter &writer) -> asio::awaitable<void> {
        ++taken;
        writer.closeWithoutResponse();
        co_return;
    };
}

/// A helper that ends within the answer that it passes on.
Handler endsInAnswer()
{
    return [](HttpRequest request, ResponseWriter &writer) -> asio::awaitable<void> {
        HttpResponse head = signedAnswer(request);
        head.headers.set("Gentianramp-Verdict", "Complete");
        co_await writer.startStream(std::move(head));
        co_await writer.writePiece("half");
    };
}

/// A helper that ends after the first event of a stream that it passes on.
Handler endsInStream()
{
    return [](HttpRequest request, ResponseWriter &writer) -> asio::awaitable<void> {
        HttpResponse head = signedAnswer(request);
        head.headers.set("Gentianramp-Verdict", "Complete");
        head.headers.set("Content-Type", "text/event-stream");
        co_await writer.startStream(std::move(head));
        co_await writer.writePiece("id: 1\ndata: 1\n\n");
    };
}

/// A helper that does not say whether the request ran.
Handler refusesWithoutVerdict()
{
    return [](HttpRequest request, ResponseWriter &writer) -> asio::awaitable<void> {
        HttpResponse response;
        response.status = 503;
        response.headers.set("X-Id", std::string(request.headers.find("X-Id")));
        co_await writer.send(std::move(response));
    };
}

/// Ends the servers as a request reaches the one.
Handler endsServers(RelayFixture &fixture, const std::vector<std::string> &ids)
{
    return [&fixture, ids](HttpRequest request, ResponseWriter &writer) -> asio::awaitable<void> {
        if (!request.path().starts_with("/p/")) {
            co_await writer.send(signedAnswer(request));
            co_return;
        }
        writer.closeWithoutResponse();
        for (const std::string &id : ids)
            fixture.crash(id);
        co_return;
    };
}

/// Rejects requests, which do not run.
Handler rejects()
{
    return [](HttpRequest request, ResponseWriter &writer) -> asio::awaitable<void> {
        HttpResponse response = signedAnswer(request, 503);
        response.headers.add("X-Not-Run", "1");
        co_await writer.send(std::move(response));
    };
}

HttpRequest post(const std::string &body)
{
    return {.method = "POST", .target = "/p/x?q=1", .headers = {}, .body = body};
}

const Route RunOnce{.kind = RouteKind::RunOnce};

void expectNoInstanceHeaders(const HttpHeaders &headers)
{
    for (const HttpHeader &field : headers.fields())
        cr_assert_not(field.name.starts_with("Gentianramp-"), "%s", field.name.c_str());
}

} // namespace

// Instances that were cut off from all servers refused every request.
Test(hand_over, aRequestIsServedByWayOfAnotherInstance)
{
    CutInstance cut;
    cut.fixture.addServer("one", answers(200));
    cut.addHelper(RunOnce);
    cut.cutOff(RunOnce);
    for (int number = 0; number < 4; ++number) {
        const Result<HttpResponse> answer = cut.fixture.call(post("me"));
        cr_assert(answer);
        cr_assert_eq(answer->status, 200U);
        cr_assert_eq(answer->body, "from me");
        cr_assert_eq(answer->headers.find("X-Signature"), "signed");
        expectNoInstanceHeaders(answer->headers);
    }
    cr_assert_eq(cut.fixture.requestsAt("one"), 4);
    for (const auto &[server, request] : cut.fixture.receivedRequests)
        expectNoInstanceHeaders(request.headers);
    cr_assert(cut.fixture.relay.isCutOff());
}

Test(hand_over, aStreamIsRelayedAsItArrives)
{
    const Route route{.kind = RouteKind::Stream, .attempts = 2, .resumable = true};
    CutInstance cut;
    cut.fixture.addServer("one", streams(1, 5, true));
    cut.addHelper(route);
    cut.cutOff(route);
    const Result<HttpResponse> answer = cut.fixture.call(post(""));
    cr_assert(answer);
    cr_assert(answer->body.ends_with("data: 5\n\n"));
    expectNoInstanceHeaders(answer->headers);
}

Test(hand_over, anInstanceThatIsCutOffTooRefusesAndHandsNothingOn)
{
    CutInstance cut;
    cut.fixture.addServer("one", answers(200));
    cut.cutOff(RunOnce);
    Helper &helper = cut.addHelper(RunOnce);
    BackendListing unreachable = cut.fixture.listing();
    unreachable.servers.front().port = 1;
    helper.publish(unreachable, RunOnce);
    const Result<HttpResponse> answer = cut.fixture.call(post("me"));
    cr_assert(answer);
    cr_assert_eq(answer->status, 503U);
    cr_assert(answer->headers.contains("Retry-After"));
    cr_assert_eq(helper.asked(), 0);
    cr_assert_eq(cut.fixture.requestsAt("one"), 0);
}

Test(hand_over, anInstanceThatRefusesIsFollowedByAnother)
{
    CutInstance cut;
    cut.fixture.addServer("one", answers(200));
    cut.cutOff(RunOnce);
    Helper &first = cut.addHelper(RunOnce);
    BackendListing unreachable = cut.fixture.listing();
    unreachable.servers.front().port = 1;
    first.publish(unreachable, RunOnce);
    cut.helpers.push_back({InstanceId("gone"), {"127.0.0.1", 1}});
    cut.addHelper(RunOnce);
    cr_assert_eq(cut.fixture.call(post("me"))->status, 200U);
    cr_assert_eq(cut.fixture.requestsAt("one"), 1);
    cr_assert_eq(cut.failures, 2);
}

// It is not known whether the request ran, so that the refusal must not say that it did not.
Test(hand_over, aRunOnceRequestWhoseHopBreaksIsNotRepeated)
{
    CutInstance cut;
    cut.fixture.addServer("one", answers(200));
    cut.cutOff(RunOnce);
    int taken = 0;
    cut.addHelper(RunOnce, closesWithoutAnswer(taken));
    cut.addHelper(RunOnce);
    const Result<HttpResponse> answer = cut.fixture.call(post("me"));
    cr_assert(answer);
    cr_assert_eq(answer->status, 502U);
    cr_assert_eq(taken, 1);
    cr_assert_eq(cut.fixture.requestsAt("one"), 0);
}

// The request may have run at a helper that ended, or that answered without saying whether it did.
// RelayedRequest::noteHelperHead() takes only a stated verdict for a promise.
Test(hand_over, aRunOnceRequestWhoseHelperEndsIsNeitherRepeatedNorRefused)
{
    for (const HttpHandler &handler :
         {HttpHandler(endsInAnswer()), HttpHandler(refusesWithoutVerdict())}) {
        CutInstance cut;
        cut.fixture.addServer("one", answers(200));
        cut.cutOff(RunOnce);
        Helper &first = cut.addHelper(RunOnce, handler);
        Helper &second = cut.addHelper(RunOnce);
        const Result<HttpResponse> answer = cut.fixture.call(post("me"));
        cr_assert(answer);
        cr_assert_eq(answer->status, 502U);
        cr_assert_eq(first.taken(), 1);
        cr_assert_eq(second.taken(), 0);
    }
}

Test(hand_over, aRepeatableRequestWhoseHopBreaksIsHandedToAnother)
{
    const Route route{.kind = RouteKind::Repeatable, .attempts = 2};
    CutInstance cut;
    cut.fixture.addServer("one", answers(200));
    cut.cutOff(route);
    int taken = 0;
    cut.addHelper(route, closesWithoutAnswer(taken));
    cut.addHelper(route);
    cr_assert_eq(cut.fixture.call(post("me"))->status, 200U);
    cr_assert_eq(cut.fixture.requestsAt("one"), 1);
}

// An instance of another build may pass on what this one refuses.
Test(hand_over, aBrokenAnswerOfAnInstanceIsNotPassedOn)
{
    CutInstance cut;
    RawServer helper(cut.fixture.context(), [](const std::string &) -> RawAnswer {
        return {.bytes = "HTTP/1.1 000 Unknown\r\nX-Signature: signed\r\n"
                         "Gentianramp-Verdict: Complete\r\nContent-Length: 4\r\n\r\nhalf"};
    });
    cut.fixture.addServer("one", answers(200));
    cut.helpers.push_back({InstanceId("raw"), {"127.0.0.1", helper.port()}});
    cut.cutOff(RunOnce);
    const Result<HttpResponse> answer = cut.fixture.call(post("me"));
    cr_assert(answer);
    cr_assert_eq(answer->status, 502U);
    cr_assert_not(answer->headers.contains("X-Signature"));
    cr_assert_eq(helper.connections(), 1);
}

// What had come of the answer before the reset was taken for all of it.
Test(hand_over, anAnswerThatAnInstanceResetsDuringItsRequestIsNotComplete)
{
    constexpr int smallReceiveBuffer = 4096;
    const auto script = [](const std::string &) -> RawAnswer {
        return {.bytes = "HTTP/1.1 200 OK\r\nX-Signature: signed\r\n"
                         "Gentianramp-Verdict: Complete\r\n\r\nhalf",
                .end = AnswerEnd::Reset,
                .early = true};
    };
    CutInstance cut;
    RawServer helper(cut.fixture.context(), script, smallReceiveBuffer);
    cut.fixture.addServer("one", answers(200));
    cut.helpers.push_back({InstanceId("raw"), {"127.0.0.1", helper.port()}});
    cut.cutOff(RunOnce);
    const Result<HttpResponse> answer = cut.fixture.call(post(std::string(7UL * 1024 * 1024, 'x')));
    cr_assert(answer);
    cr_assert_eq(answer->status, 502U);
    cr_assert_eq(helper.connections(), 1);
}

// A failure of a server is its answer; the caller gets it and the request isn't sent again.
Test(hand_over, aFailureOfTheServerIsPassedOn)
{
    CutInstance cut;
    cut.fixture.addServer("one", answers(500));
    cut.addHelper(RunOnce);
    cut.addHelper(RunOnce);
    cut.cutOff(RunOnce);
    const Result<HttpResponse> answer = cut.fixture.call(post("me"));
    cr_assert(answer);
    cr_assert_eq(answer->status, 500U);
    cr_assert_eq(answer->headers.find("X-Signature"), "signed");
    cr_assert_eq(cut.fixture.requestsAt("one"), 1);
}

// A helper that ends within a stream leaves the stream without its last chunk.
Test(hand_over, aStreamWhoseHelperEndsIsNotComplete)
{
    const Route route{.kind = RouteKind::Stream};
    CutInstance cut;
    cut.fixture.addServer("one", answers(200));
    cut.addHelper(route, endsInStream());
    cut.cutOff(route);
    cr_assert_not(static_cast<bool>(cut.fixture.call(post("me"))));
}

// Callers may not choose the headers that instances send each other.
Test(hand_over, headersOfInstancesAreDroppedFromCallersRequests)
{
    CutInstance cut;
    cut.fixture.addServer("one", answers(200));
    cut.fixture.declare(RunOnce);
    HttpRequest request = post("me");
    request.headers.set("Gentianramp-Attempts", "0");
    request.headers.set("Gentianramp-Verdict", "NotRun");
    const Result<HttpResponse> answer = cut.fixture.call(std::move(request));
    cr_assert_eq(answer->status, 200U);
    expectNoInstanceHeaders(cut.fixture.receivedRequests.front().second.headers);
}

// What breaks where an instance loses all servers was blamed on the requests, at all instances.
Test(hand_over, losingAllServersAtOnceBlamesNoRequest)
{
    RelayFixture fixture;
    for (const std::string id : {"one", "two"})
        fixture.addServer(id, endsServers(fixture, {"one", "two"}));
    fixture.declare(RunOnce);
    cr_assert_eq(fixture.call(post("me"))->status, 502U);
    fixture.wait(std::chrono::milliseconds(300));
    fixture.relay.checkReach(RuntimeClock::now());
    cr_assert_eq(fixture.crashes->crashCount(), 0U);
}

Test(hand_over, losingOneServerIsACrashOnceAnotherAnswers)
{
    RelayFixture fixture;
    fixture.addServer("one", endsServers(fixture, {"one"}));
    fixture.addServer("other", answers(200), false, "other");
    fixture.declare(RunOnce);
    cr_assert_eq(fixture.call(post("me"))->status, 502U);
    fixture.wait(std::chrono::milliseconds(300));
    cr_assert_eq(fixture.crashes->crashCount(), 1U);
}

Test(hand_over, serversThatAreLostOneAfterTheOtherHaveCrashed)
{
    RelayFixture fixture;
    fixture.addServer("one", endsServers(fixture, {"one"}));
    fixture.addServer("two", endsServers(fixture, {"two"}));
    fixture.declare(RunOnce);
    for (int attempt = 0; attempt < 2; ++attempt) {
        cr_assert_eq(fixture.call(post("me"))->status, 502U);
        fixture.wait(std::chrono::milliseconds(300));
    }
    cr_assert_eq(fixture.crashes->crashCount(), 2U);
}

// Another hop is another thing that can break.
Test(hand_over, aServiceThatIsDownIsNoCut)
{
    CutInstance cut;
    cut.fixture.addServer("one", answers(200));
    for (const std::string id : {"other-1", "other-2"})
        cut.fixture.addServer(id, answers(200), false, "other");
    Helper &helper = cut.addHelper(RunOnce);
    cut.fixture.declare(RunOnce);
    cut.fixture.crash("one");
    for (int number = 0; number < 4; ++number) {
        cr_assert_eq(cut.fixture.call(post("me"))->status, 503U);
        cut.fixture.wait(std::chrono::milliseconds(20));
    }
    cr_assert_eq(helper.taken(), 0);
}

// The send of a second instance is a repeat, which the servers' budget bounds.
Test(hand_over, asksNoSecondInstanceWithoutARepeatAfterAServerRejected)
{
    CutInstance cut({.ratio = 0, .slack = 0});
    cut.fixture.addServer("one", rejects());
    for (int number = 0; number < 3; ++number)
        cut.addHelper(RunOnce);
    cut.cutOff(RunOnce);
    cr_assert_eq(cut.fixture.call(post("me"))->status, 503U);
    cr_assert_eq(cut.fixture.requestsAt("one"), 1);
}

// The helping instance may have an older declaration without the key, and the key must not travel
// further than needed.
Test(hand_over, theHandingInstanceNamesTheCustomer)
{
    const Route route;
    CutInstance cut;
    cut.fixture.addServer("b", answers(200));
    cut.fixture.customers = std::vector<Customer>{{.name = "north", .keys = {"n1"}}};
    Helper &helper = cut.addHelper(route);
    helper.publish(cut.fixture.listing(), route,
                   std::vector<Customer>{{.name = "south", .keys = {"s1"}}});
    cut.cutOff(route);
    HttpRequest request;
    request.headers.add("Authorization", "Bearer n1");
    request.headers.add("Gentianramp-Customer", "south");
    cr_assert_eq(cut.fixture.call(request)->status, 200U);
    cr_assert_eq(helper.taken(), 1);
    const HttpHeaders &received = cut.fixture.receivedRequests.back().second.headers;
    cr_assert_eq(received.find("X-Customer"), "north");
    cr_assert_not(received.contains("Authorization"));
    cr_assert_not(received.contains("Gentianramp-Customer"));
}
