#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <gentianramp/http/client.hpp>
#include <gentianramp/http/server.hpp>
#include <optional>
#include <string>

namespace gentianramp {

/// A server on a free port whose handler echoes, streams or stalls by path.
class TestServer
{
public:
    explicit TestServer(HttpServerOptions options = {});

    boost::asio::io_context context;
    int callerGoneCount = 0;
    HttpServer server;
    std::uint16_t port = 0;

private:
    boost::asio::awaitable<void> handle(HttpRequest request, ResponseWriter &writer);
};

/// Sends raw bytes and returns everything up to the close by the server.
std::string exchangeRaw(boost::asio::io_context &context, std::uint16_t port, std::string bytes);

/// Runs one call of the client to its end.
Result<HttpResponse> callOnce(boost::asio::io_context &context, HttpClient &client, HttpCall call);

/// Runs the context until @p done holds or many steps have passed.
bool runUntil(boost::asio::io_context &context, const std::function<bool()> &done);

} // namespace gentianramp
