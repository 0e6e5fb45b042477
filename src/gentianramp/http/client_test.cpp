#include "http_test_support.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <criterion/criterion.h>

using namespace gentianramp;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

HttpCall makeCall(std::uint16_t port, std::string target, std::string body = {})
{
    HttpCall call;
    call.address = {"127.0.0.1", port};
    call.request.method = body.empty() ? "GET" : "POST";
    call.request.target = std::move(target);
    call.request.body = std::move(body);
    return call;
}

/// Time without an acknowledgement after which the kernel resets the connection to @p port.
Duration unacknowledgedTimeout(std::uint16_t port)
{
    constexpr int maxHandle = 256;
    for (int handle = 0; handle < maxHandle; ++handle) {
        sockaddr_in peer{};
        socklen_t peerSize = sizeof peer;
        if (getpeername(handle, reinterpret_cast<sockaddr *>(&peer), &peerSize) != 0
            || peer.sin_family != AF_INET || ntohs(peer.sin_port) != port)
            continue;
        unsigned milliseconds = 0;
        socklen_t size = sizeof milliseconds;
        getsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, &size);
        return std::chrono::milliseconds(milliseconds);
    }
    return {};
}

asio::awaitable<void> openExchange(std::shared_ptr<HttpExchange> exchange,
                                   std::optional<std::error_code> &result)
{
    result = co_await exchange->open();
}

} // namespace

Test(HttpClient, ReusesOneConnectionForPlainAndChunkedResponses)
{
    TestServer test;
    HttpClient client;
    for (int call = 0; call < 3; ++call) {
        const auto plain = callOnce(test.context, client, makeCall(test.port, "/", "hello"));
        cr_assert(plain && plain->body == "hello");
        const auto stream = callOnce(test.context, client, makeCall(test.port, "/stream"));
        cr_assert(stream && stream->body == "one two");
    }
    cr_assert_eq(test.server.connections(), 1U);
}

Test(HttpClient, FreshConnectionBypassesThePool)
{
    TestServer test;
    HttpClient client;
    callOnce(test.context, client, makeCall(test.port, "/"));
    HttpCall call = makeCall(test.port, "/");
    call.freshConnection = true;
    callOnce(test.context, client, call);
    cr_assert_eq(test.server.connections(), 2U);
}

// A reused connection kept the limit of the call that opened it, so that a pause of the network
// ended a call that had more time.
Test(HttpClient, AReusedConnectionHasTheLimitsOfItsCall)
{
    TestServer test;
    HttpClient client;
    HttpCall call = makeCall(test.port, "/");
    for (const Duration timeout : {Duration(1s), Duration(30s), Duration(2s)}) {
        call.silenceTimeout = timeout;
        cr_assert(callOnce(test.context, client, call));
        cr_assert(unacknowledgedTimeout(test.port) == timeout);
    }
    cr_assert_eq(test.server.connections(), 1U);
}

// What the kernel had not sent yet of a call that ended would arrive after the call of a successor.
Test(HttpClient, ACallThatFailsResetsItsConnectionIfAsked)
{
    for (const bool asked : {true, false}) {
        asio::io_context context;
        HttpClient client;
        asio::ip::tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
        HttpCall call = makeCall(acceptor.local_endpoint().port(), "/");
        call.headTimeout = 30ms;
        call.resetOnFailure = asked;
        cr_assert(callOnce(context, client, call).error() == Error::TimedOut);
        asio::ip::tcp::socket socket = acceptor.accept();
        std::array<char, 4096> bytes{};
        boost::system::error_code error;
        while (!error)
            socket.read_some(asio::buffer(bytes), error);
        cr_assert_eq(error == asio::error::connection_reset, asked, "%s", error.message().c_str());
    }
}

// HttpClient sends a call once, so that a duty or an order is repeated only by its own rules.
Test(HttpClient, ALostCallIsNotSentAgain)
{
    TestServer test;
    HttpClient client;
    for (const bool fresh : {false, true}) {
        cr_assert(callOnce(test.context, client, makeCall(test.port, "/")));
        const int before = test.requestCount;
        HttpCall call = makeCall(test.port, "/close", "order");
        call.freshConnection = fresh;
        cr_assert(callOnce(test.context, client, call).error() == Error::ConnectionLost);
        cr_assert_eq(test.requestCount, before + 1);
    }
}

Test(HttpClient, ConnectionRefusedOnlyWhenNoByteWasSent)
{
    asio::io_context context;
    HttpClient client;
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
    const std::uint16_t port = acceptor.local_endpoint().port();
    HttpCall unansweredCall = makeCall(port, "/");
    unansweredCall.headTimeout = 30ms;
    cr_assert(callOnce(context, client, unansweredCall).error() == Error::TimedOut);
    acceptor.close();
    cr_assert(callOnce(context, client, makeCall(port, "/")).error() == Error::ConnectionRefused);
}

Test(HttpClient, TruncatedResponseIsReportedAsConnectionLost)
{
    TestServer test;
    HttpClient client;
    const auto result = callOnce(test.context, client, makeCall(test.port, "/cut"));
    cr_assert(result.error() == Error::ConnectionLost);
}

Test(HttpClient, ResponseBodyOverTheLimitIsTooLarge)
{
    TestServer test;
    HttpClient client;
    HttpCall call = makeCall(test.port, "/", std::string(1000, 'x'));
    call.maxBodyBytes = 999;
    cr_assert(callOnce(test.context, client, call).error() == Error::TooLarge);
}

Test(HttpClient, ServerDetectsACancelledExchange)
{
    TestServer test;
    HttpClient client;
    const auto exchange = client.exchange(makeCall(test.port, "/stall"));
    std::optional<std::error_code> result;
    asio::co_spawn(test.context, openExchange(exchange, result), asio::detached);
    cr_assert(runUntil(test.context, [&] { return test.server.activeRequests() == 1; }));
    exchange->cancel();
    cr_assert(runUntil(test.context, [&] { return result.has_value(); }));
    cr_assert(*result == Error::Cancelled);
    cr_assert(runUntil(test.context, [&] { return test.callerGoneCount == 1; }));
}
