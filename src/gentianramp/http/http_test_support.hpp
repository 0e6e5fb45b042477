#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/system/error_code.hpp>
#include <cstdint>
#include <gentianramp/http/client.hpp>
#include <gentianramp/http/server.hpp>
#include <optional>
#include <string>

namespace gentianramp {

/// A server on a free port. The path selects what its handler does: "/stream" streams, "/cut"
/// leaves a stream unfinished, "/stall" waits until the caller disconnects, "/throw" throws,
/// "/throw-in-stream" throws after a stream has started, "/forget" returns without a response,
/// "/close" asks to close without one, any other path returns the body.
class TestServer
{
public:
    explicit TestServer(HttpServerOptions options = {});

    boost::asio::io_context context;
    int callerGoneCount = 0;
    int requestCount = 0; ///< Requests passed to the handler.
    HttpServer server;
    std::uint16_t port = 0;

private:
    boost::asio::awaitable<void> handle(HttpRequest request, ResponseWriter &writer);
};

/// Sends raw bytes and returns all bytes received until the server closes the connection; @p end
/// gets how it was closed.
std::string exchangeRaw(boost::asio::io_context &context, std::uint16_t port, std::string bytes,
                        boost::system::error_code *end = nullptr);

/// Runs the context until the client's call has completed.
Result<HttpResponse> callOnce(boost::asio::io_context &context, HttpClient &client, HttpCall call);

/// Runs the context until @p done returns true or the step limit is reached; returns done().
bool runUntil(boost::asio::io_context &context, const std::function<bool()> &done);

} // namespace gentianramp
