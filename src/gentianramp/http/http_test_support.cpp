#include "http_test_support.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace gentianramp {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr int MaxRunSteps = 200000;
constexpr Duration StallTime = std::chrono::hours(1);

asio::awaitable<void> runRawExchange(std::uint16_t port, std::string bytes, std::string &received,
                                     boost::system::error_code &end, bool &done)
{
    tcp::socket socket(co_await asio::this_coro::executor);
    const tcp::endpoint endpoint(asio::ip::address_v4::loopback(), port);
    boost::system::error_code error;
    co_await socket.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
    co_await asio::async_write(socket, asio::buffer(bytes),
                               asio::redirect_error(asio::use_awaitable, error));
    co_await asio::async_read(socket, asio::dynamic_buffer(received),
                              asio::redirect_error(asio::use_awaitable, end));
    done = true;
}

asio::awaitable<void> clientCall(HttpClient &client, HttpCall call,
                                 std::optional<Result<HttpResponse>> &result)
{
    result = co_await client.request(std::move(call));
}

} // namespace

bool runUntil(asio::io_context &context, const std::function<bool()> &done)
{
    for (int step = 0; step < MaxRunSteps && !done(); ++step) {
        context.restart();
        context.run_one_for(std::chrono::milliseconds(20));
    }
    return done();
}

TestServer::TestServer(HttpServerOptions options)
    : server(context.get_executor(), std::move(options),
             [this](HttpRequest request, ResponseWriter &writer) {
                 return handle(std::move(request), writer);
             })
{
    port = server.start().value();
}

asio::awaitable<void> TestServer::handle(HttpRequest request, ResponseWriter &writer)
{
    HttpResponse response;
    ++requestCount;
    if (request.path() == "/stream") {
        co_await writer.startStream(response);
        co_await writer.writePiece("one ");
        co_await writer.writePiece("two");
        co_await writer.finishStream();
    } else if (request.path() == "/cut") {
        co_await writer.startStream(response);
        co_await writer.writePiece("half");
    } else if (request.path() == "/throw") {
        throw std::runtime_error("the handler failed");
    } else if (request.path() == "/throw-in-stream") {
        co_await writer.startStream(response);
        co_await writer.writePiece("half");
        throw std::runtime_error("the handler failed");
    } else if (request.path() == "/forget") {
        co_return;
    } else if (request.path() == "/close") {
        writer.closeWithoutResponse();
    } else if (request.path() == "/stall") {
        auto timer = std::make_shared<Timer>(co_await asio::this_coro::executor, StallTime);
        writer.setCallerGoneHook([this, timer] {
            ++callerGoneCount;
            timer->cancel();
        });
        boost::system::error_code ignored;
        co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    } else {
        response.headers.add("Echo-Method", request.method);
        response.headers.add("Broken", "a\r\nInjected: yes");
        response.body = request.body;
        co_await writer.send(std::move(response));
    }
}

std::string exchangeRaw(asio::io_context &context, std::uint16_t port, std::string bytes,
                        boost::system::error_code *end)
{
    std::string received;
    boost::system::error_code endError;
    bool done = false;
    asio::co_spawn(context, runRawExchange(port, std::move(bytes), received, endError, done),
                   asio::detached);
    runUntil(context, [&] { return done; });
    if (end)
        *end = endError;
    return done ? received : "the server did not close the connection";
}

Result<HttpResponse> callOnce(asio::io_context &context, HttpClient &client, HttpCall call)
{
    std::optional<Result<HttpResponse>> result;
    asio::co_spawn(context, clientCall(client, std::move(call), result), asio::detached);
    runUntil(context, [&] { return result.has_value(); });
    return result.value_or(Result<HttpResponse>(Error::TimedOut, "the call did not complete"));
}

} // namespace gentianramp
