#include "http_test_support.hpp"

#include <gentianramp/http/server_metrics.hpp>

#include <list>

#include <criterion/criterion.h>

using namespace gentianramp;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t BodyBytes = 100'000;
constexpr std::size_t MemoryBytes = 600'000;
const std::string WholeRequest = "GET / HTTP/1.1\r\nConnection: close\r\n\r\n";

HttpServerOptions optionsWith(std::size_t maxConnections, MetricsRegistry &metrics)
{
    HttpServerOptions options;
    options.maxConnections = maxConnections;
    options.maxBodyBytes = BodyBytes;
    options.memory = std::make_shared<MemoryBudget>(MemoryBytes);
    options.retryAfter = "0.250";
    options.unreadHook = countUnread(metrics, "test");
    return options;
}

std::uint64_t unread(MetricsRegistry &metrics, UnreadReason reason)
{
    return metrics
        .counter("gentianramp_http_unread_total", "",
                 {{"server", "test"}, {"reason", std::string(toString(reason))}})
        .value();
}

std::string largeHead(const std::string &path = "/")
{
    return "POST " + path + " HTTP/1.1\r\nContent-Length: " + std::to_string(BodyBytes)
        + "\r\n\r\n";
}

void serve(TestServer &test, Duration time = 20ms)
{
    test.context.restart();
    test.context.run_for(time);
}

void sendAll(TestServer &test, PlainCaller &caller, std::string bytes)
{
    for (int step = 0; step < 1000 && !bytes.empty(); ++step) {
        bytes.erase(0, caller.write(bytes));
        serve(test, 1ms);
    }
}

std::string responseFor(TestServer &test, PlainCaller &caller)
{
    runUntil(test.context, [&] {
        caller.readPart();
        return caller.ended();
    });
    return caller.received();
}

} // namespace

// A crowd of bodies that stopped just short of their end filled the memory of a process.
Test(HttpServerLimits, ACrowdOfUnfinishedBodiesStaysWithinTheMemory)
{
    const PausedClock clock;
    MetricsRegistry metrics;
    const HttpServerOptions options = optionsWith(100, metrics);
    const auto memory = options.memory;
    TestServer test(options);
    std::list<PlainCaller> crowd;
    for (int count = 0; count < 8; ++count) {
        crowd.emplace_back(test.port);
        sendAll(test, crowd.back(), largeHead() + std::string(BodyBytes - 1, 'x'));
        cr_assert_leq(memory->heldBytes(), MemoryBytes);
    }
    cr_assert(runUntil(test.context, [&] {
        RuntimeClock::advance(100ms);
        return unread(metrics, UnreadReason::NoMemory) > 0;
    }));
    cr_assert_eq(test.requestCount, 0);
    PlainCaller small(test.port);
    sendAll(test, small, WholeRequest);
    cr_assert(responseFor(test, small).starts_with("HTTP/1.1 200"));
    crowd.clear();
    cr_assert(runUntil(test.context, [&] {
        RuntimeClock::advance(100ms);
        return memory->heldBytes() == 0;
    }));
}

Test(HttpServerLimits, ARequestWithoutRoomIsToldThatItHasNotRun)
{
    const PausedClock clock;
    MetricsRegistry metrics;
    TestServer test(optionsWith(100, metrics));
    std::list<PlainCaller> running;
    for (int count = 0; count < 2; ++count) {
        running.emplace_back(test.port);
        sendAll(test, running.back(), largeHead("/stall") + std::string(BodyBytes, 'x'));
    }
    cr_assert(runUntil(test.context, [&] { return test.requestCount == 2; }));
    PlainCaller caller(test.port);
    sendAll(test, caller, largeHead() + std::string(BodyBytes, 'x'));
    RuntimeClock::advance(3s);
    const std::string response = responseFor(test, caller);
    cr_assert(response.starts_with("HTTP/1.1 503"), "%s", response.c_str());
    cr_assert(response.find("Retry-After: 0.250\r\n") != std::string::npos);
    cr_assert_eq(test.requestCount, 2);
}

Test(HttpServerLimits, AStalledRequestGivesWayAndIsToldSo)
{
    const PausedClock clock;
    MetricsRegistry metrics;
    TestServer test(optionsWith(100, metrics));
    std::list<PlainCaller> stalled;
    for (int count = 0; count < 2; ++count) {
        stalled.emplace_back(test.port);
        sendAll(test, stalled.back(), largeHead() + std::string(BodyBytes - 1, 'x'));
    }
    RuntimeClock::advance(3s);
    PlainCaller caller(test.port);
    sendAll(test, caller,
            "POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: 100000\r\n\r\n"
                + std::string(BodyBytes, 'y'));
    cr_assert(responseFor(test, caller).starts_with("HTTP/1.1 200"));
    serve(test);
    stalled.front().readPart();
    cr_assert(stalled.front().received().starts_with("HTTP/1.1 503"));
    cr_assert_eq(unread(metrics, UnreadReason::NoMemory), 1U);
}

// Heads that never end took all descriptors of a process.
Test(HttpServerLimits, AConnectionTakesThePlaceOfTheOneThatWaitsForLongest)
{
    MetricsRegistry metrics;
    TestServer test(optionsWith(4, metrics));
    std::list<PlainCaller> crowd;
    for (int count = 0; count < 40; ++count) {
        crowd.emplace_back(test.port);
        crowd.back().write("GET / HTTP/1.1\r\nHalf: ");
        serve(test, 2ms);
        cr_assert_leq(test.server.connections(), 5U);
    }
    PlainCaller caller(test.port);
    sendAll(test, caller, WholeRequest);
    cr_assert(responseFor(test, caller).starts_with("HTTP/1.1 200"));
    crowd.back().readPart();
    cr_assert_not(crowd.back().ended());
    crowd.front().readPart();
    cr_assert(crowd.front().ended());
    cr_assert_geq(unread(metrics, UnreadReason::ConnectionReplaced), 36U);
}

Test(HttpServerLimits, RequestsThatAreHandledKeepTheirConnections)
{
    MetricsRegistry metrics;
    TestServer test(optionsWith(3, metrics));
    std::list<PlainCaller> running;
    for (int count = 0; count < 3; ++count) {
        running.emplace_back(test.port);
        sendAll(test, running.back(), "GET /stall HTTP/1.1\r\n\r\n");
    }
    cr_assert(runUntil(test.context, [&] { return test.requestCount == 3; }));
    std::list<PlainCaller> crowd;
    for (int count = 0; count < 60; ++count)
        crowd.emplace_back(test.port);
    cr_assert(runUntil(test.context, [&] {
        return unread(metrics, UnreadReason::TooManyConnections)
            + unread(metrics, UnreadReason::ConnectionReplaced)
            >= 44;
    }));
    cr_assert_leq(test.server.connections(), 3U + 16U);
    cr_assert_eq(test.server.activeRequests(), 3U);
    for (PlainCaller &caller : running) {
        caller.readPart();
        cr_assert_not(caller.ended());
    }
}
