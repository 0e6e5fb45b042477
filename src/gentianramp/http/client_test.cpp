#include "http_test_support.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <criterion/criterion.h>

using namespace gentianramp;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

HttpCall callOf(std::uint16_t port, std::string target, std::string body = {})
{
    HttpCall call;
    call.address = {"127.0.0.1", port};
    call.request.method = body.empty() ? "GET" : "POST";
    call.request.target = std::move(target);
    call.request.body = std::move(body);
    return call;
}

asio::awaitable<void> openExchange(std::shared_ptr<HttpExchange> exchange,
                                   std::optional<std::error_code> &result)
{
    result = co_await exchange->open();
}

} // namespace

Test(HttpClient, ReadsWholeAndChunkedAnswersOverOneConnection)
{
    TestServer test;
    HttpClient client;
    for (int call = 0; call < 3; ++call) {
        const auto whole = callOnce(test.context, client, callOf(test.port, "/", "hello"));
        cr_assert(whole && whole->body == "hello");
        const auto stream = callOnce(test.context, client, callOf(test.port, "/stream"));
        cr_assert(stream && stream->body == "one two");
    }
    cr_assert_eq(test.server.connections(), 1U);
}

Test(HttpClient, TakesAFreshConnectionWhenAsked)
{
    TestServer test;
    HttpClient client;
    callOnce(test.context, client, callOf(test.port, "/"));
    HttpCall call = callOf(test.port, "/");
    call.freshConnection = true;
    callOnce(test.context, client, call);
    cr_assert_eq(test.server.connections(), 2U);
}

Test(HttpClient, SaysRefusedOnlyWhenNoByteLeft)
{
    asio::io_context context;
    HttpClient client;
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
    const std::uint16_t port = acceptor.local_endpoint().port();
    HttpCall silent = callOf(port, "/");
    silent.headTimeout = 30ms;
    cr_assert(callOnce(context, client, silent).error() == Error::TimedOut);
    acceptor.close();
    cr_assert(callOnce(context, client, callOf(port, "/")).error() == Error::ConnectionRefused);
}

Test(HttpClient, ReportsACutAnswer)
{
    TestServer test;
    HttpClient client;
    const auto result = callOnce(test.context, client, callOf(test.port, "/cut"));
    cr_assert(result.error() == Error::ConnectionLost);
}

Test(HttpClient, BoundsTheAnswer)
{
    TestServer test;
    HttpClient client;
    HttpCall call = callOf(test.port, "/", std::string(1000, 'x'));
    call.maxBodyBytes = 999;
    cr_assert(callOnce(test.context, client, call).error() == Error::TooLarge);
}

Test(HttpClient, CancelsAndTheServerLearnsIt)
{
    TestServer test;
    HttpClient client;
    const auto exchange = client.exchange(callOf(test.port, "/stall"));
    std::optional<std::error_code> result;
    asio::co_spawn(test.context, openExchange(exchange, result), asio::detached);
    cr_assert(runUntil(test.context, [&] { return test.server.activeRequests() == 1; }));
    exchange->cancel();
    cr_assert(runUntil(test.context, [&] { return result.has_value(); }));
    cr_assert(*result == Error::Cancelled);
    cr_assert(runUntil(test.context, [&] { return test.callerGoneCount == 1; }));
}
