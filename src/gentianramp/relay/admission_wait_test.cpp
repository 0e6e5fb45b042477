#include "relay_test_fixture.hpp"

#include <criterion/criterion.h>

using namespace gentianramp;
using namespace gentianramp::test;
using std::chrono::milliseconds;

namespace {

/// Time for which the first stream takes a place.
constexpr Duration StreamTime = milliseconds(200);

/// Sends an event at once; the first stream ends after StreamTime.
Handler streamsForAWhile(int &count)
{
    return [&count](HttpRequest request, ResponseWriter &writer) -> asio::awaitable<void> {
        HttpResponse head = signedAnswer(request);
        head.headers.add("Content-Type", "text/event-stream");
        co_await writer.startStream(std::move(head));
        co_await writer.writePiece("id: 1\ndata: 1\n\n");
        if (count++ == 0)
            co_await sleepFor(StreamTime);
        co_await writer.finishStream();
    };
}

/// A relay with one engine that has served a stream, so that the time for one is known.
class ShortFixture : public RelayFixture
{
public:
    explicit ShortFixture(const std::optional<std::vector<Customer>> &declared = std::nullopt)
    {
        // Requests wait only where customers are declared; a public route needs no key of them.
        const bool isPublic = !declared;
        customers = declared.value_or(std::vector<Customer>{{.name = "c", .keys = {"k"}}});
        addServer("engine", streamsForAWhile(m_streams));
        listAsEngine();
        declare({.kind = RouteKind::Stream,
                 .timeout = milliseconds(1500),
                 .latencyTarget = milliseconds(700),
                 .carriesPrompt = true,
                 .isPublic = isPublic});
        cr_assert_eq(call(prompt(1))->status, 200U);
    }

    /// Publishes that as many requests run or wait at the engine.
    void report(std::uint32_t running, std::uint32_t waiting)
    {
        LoadReports loads{.takenAt = RuntimeClock::now() + milliseconds(200), .engines = {}};
        ReportedLoad load;
        load.engine = BackendId("engine");
        load.running = running;
        load.waiting = waiting;
        loads.engines.push_back(load);
        relay.publish(loads);
    }

    /// @p key is that of a customer.
    static HttpRequest prompt(int own, const std::string &key = "urgent-key")
    {
        HttpRequest request{.method = "POST"};
        request.headers.add("Authorization", "Bearer " + key);
        request.headers.add("X-Prompt", std::to_string(own));
        return request;
    }

    /// For a caller other than that of call().
    HttpCall callOf(const std::string &id, HttpRequest request) const
    {
        HttpCall call;
        call.address = callerAddress();
        call.request = std::move(request);
        call.request.target = "/p/x";
        call.request.headers.set("Host", "host.example");
        call.request.headers.set("X-Id", id);
        call.freshConnection = true;
        return call;
    }

    /// Calls @p action after @p delay while requests are served.
    void after(Duration delay, std::function<void()> action)
    {
        asio::co_spawn(
            context(),
            [delay, action = std::move(action)]() -> asio::awaitable<void> {
                co_await sleepFor(delay);
                action();
            },
            asio::detached);
    }

private:
    void listAsEngine()
    {
        BackendListing engines = listing();
        for (ListedServer &server : engines.servers)
            server.engine = true;
        engines.digest = listingDigest(engines.servers);
        relay.publish(engines);
    }

    int m_streams = 0;
};

asio::awaitable<void> open(std::shared_ptr<HttpExchange> exchange)
{
    co_await exchange->open();
}

} // namespace

// Guards against requests in an engine's queue, where none of them can be withdrawn.
Test(admission_wait, aRequestWaitsHereUntilThereIsRoom)
{
    ShortFixture fixture;
    fixture.report(8, 30);
    fixture.after(milliseconds(100), [&] { cr_expect_eq(fixture.requestsAt("engine"), 1); });
    fixture.after(milliseconds(200), [&] { fixture.report(2, 0); });
    const TimePoint start = RuntimeClock::now();
    const Result<HttpResponse> answer = fixture.call(ShortFixture::prompt(2));
    cr_assert_eq(answer->status, 200U);
    const Duration took = RuntimeClock::now() - start;
    cr_expect_geq(toMilliseconds(took), 190);
    cr_expect_leq(toMilliseconds(took), 400);
}

// Guards against requests that are held or refused while engines have free places.
Test(admission_wait, aRequestIsSentAtOnceWhileThereIsRoom)
{
    ShortFixture fixture;
    fixture.report(3, 0);
    const TimePoint start = RuntimeClock::now();
    cr_assert_eq(fixture.call(ShortFixture::prompt(2))->status, 200U);
    cr_expect_lt(toMilliseconds(RuntimeClock::now() - start), 100);
}

// Guards against requests that still wait when the process ends.
Test(admission_wait, aShutdownAnswersWhatWaits)
{
    ShortFixture fixture;
    fixture.report(8, 30);
    fixture.after(milliseconds(100), [&] {
        fixture.relay.setShutdownDeadline(RuntimeClock::now() + std::chrono::seconds(10));
    });
    const TimePoint start = RuntimeClock::now();
    const Result<HttpResponse> answer = fixture.call(ShortFixture::prompt(2));
    cr_assert_eq(answer->status, 503U);
    cr_expect_eq(answer->body, "leaving\n");
    cr_expect_lt(toMilliseconds(RuntimeClock::now() - start), 300);
    cr_expect_eq(fixture.requestsAt("engine"), 1);
}

// Guards against the same when the instance gives up all requests at once.
Test(admission_wait, expireAllAnswersWhatWaits)
{
    ShortFixture fixture;
    fixture.report(8, 30);
    fixture.after(milliseconds(100), [&] { fixture.relay.expireAll(); });
    const TimePoint start = RuntimeClock::now();
    cr_assert_eq(fixture.call(ShortFixture::prompt(2))->status, 503U);
    cr_expect_lt(toMilliseconds(RuntimeClock::now() - start), 300);
    cr_expect_eq(fixture.requestsAt("engine"), 1);
}

// Guards against places that go by order of arrival.
Test(admission_wait, urgentRequestsGoBeforeThoseThatArrivedEarlier)
{
    ShortFixture fixture(
        std::vector<Customer>{{"later", {"later-key"}, 2}, {"urgent", {"urgent-key"}, 0}});
    fixture.report(8, 30);
    HttpClient client;
    std::vector<std::shared_ptr<HttpExchange>> exchanges;
    for (const std::string name : {"later", "urgent"}) {
        const int own = 2 + static_cast<int>(exchanges.size());
        exchanges.push_back(
            client.exchange(fixture.callOf(name, ShortFixture::prompt(own, name + "-key"))));
        asio::co_spawn(fixture.context(), open(exchanges.back()), asio::detached);
        fixture.wait(milliseconds(50));
    }
    cr_assert_eq(fixture.requestsAt("engine"), 1);
    fixture.report(7, 0);
    fixture.wait(milliseconds(300));
    std::vector<std::string> ids;
    for (const auto &[server, request] : fixture.receivedRequests) {
        if (request.path().starts_with("/p/"))
            ids.emplace_back(request.headers.find("X-Id"));
    }
    cr_assert_eq(ids, (std::vector<std::string>{"id-1", "urgent", "later"}));
}

// Guards against a request that is sent for a caller who has left.
Test(admission_wait, aRequestWhoseCallerLeavesIsDropped)
{
    ShortFixture fixture;
    fixture.report(8, 30);
    HttpCall call = fixture.callOf("leaves", ShortFixture::prompt(2));
    HttpClient client;
    const std::shared_ptr<HttpExchange> exchange = client.exchange(std::move(call));
    asio::co_spawn(fixture.context(), open(exchange), asio::detached);
    fixture.wait(milliseconds(50));
    exchange->cancel();
    fixture.wait(milliseconds(50));
    fixture.report(0, 0);
    fixture.wait(milliseconds(100));
    cr_expect_eq(fixture.requestsAt("engine"), 1);
}

// Guards against a request that is held and refused only at its deadline, 1.5 s after it arrived.
Test(admission_wait, whatWaitsIsRefusedBeforeItsDeadline)
{
    ShortFixture fixture;
    for (int ms = 0; ms <= 1500; ms += 300)
        fixture.after(milliseconds(ms), [&] { fixture.report(8, 30); });
    fixture.report(8, 30);
    const TimePoint start = RuntimeClock::now();
    const Result<HttpResponse> answer = fixture.call(ShortFixture::prompt(2));
    cr_assert_eq(answer->status, 503U);
    cr_expect_not(answer->headers.find("Retry-After").empty());
    cr_expect_lt(toMilliseconds(RuntimeClock::now() - start), 1500);
    cr_expect_eq(fixture.requestsAt("engine"), 1);
}
