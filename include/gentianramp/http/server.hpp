#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/error.hpp>
#include <gentianramp/http/message.hpp>
#include <memory>
#include <string>

namespace gentianramp {

/// Answers one request; used only on the executor of the caller's connection.
class ResponseWriter
{
public:
    virtual ~ResponseWriter() = default;

    /// Sends the whole response. Ends the answer.
    virtual boost::asio::awaitable<std::error_code> send(HttpResponse response) = 0;
    /// Sends the head of a chunked answer; the body of @p head is ignored.
    virtual boost::asio::awaitable<std::error_code> startStream(HttpResponse head) = 0;
    /// Sends one piece of a started stream; waits until the connection took it.
    virtual boost::asio::awaitable<std::error_code> writePiece(std::string_view piece) = 0;
    /// Ends a started stream. A stream that is not ended is cut, so the caller sees it as broken.
    virtual boost::asio::awaitable<std::error_code> finishStream() = 0;

    /// True once the head of the answer was given to the connection.
    virtual bool started() const = 0;
    /// True once the caller closed the connection or took no bytes for the write timeout.
    virtual bool callerGone() const = 0;
    /// Called once, on the connection's executor, when the caller goes before the answer ends.
    virtual void setCallerGoneHook(std::function<void()> hook) = 0;
    /// Closes the connection after this answer and says so in its head.
    virtual void closeAfterResponse() = 0;
};

/// Answers a request through the writer. An exception closes the connection.
using HttpHandler = std::function<boost::asio::awaitable<void>(HttpRequest, ResponseWriter &)>;

/// Options of an HttpServer.
struct HttpServerOptions
{
    std::string host = "127.0.0.1";    ///< IP number to listen on.
    std::uint16_t port = 0;            ///< 0 takes a free port.
    std::size_t maxConnections = 4096; ///< Further connections get 503 and are closed.
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 8 * 1024 * 1024;
    Duration headerTimeout = std::chrono::seconds(10); ///< From the first byte to the last header.
    Duration bodyTimeout = std::chrono::seconds(30);
    Duration idleTimeout = std::chrono::seconds(75);  ///< Between two requests.
    Duration writeTimeout = std::chrono::seconds(15); ///< For each write to be taken.
    /// Added to the answers that the server gives on its own, for example to malformed requests.
    HttpHeaders errorResponseHeaders;
    /// Executor for the next connection; empty: a strand on the acceptor's executor. All work of
    /// a connection runs on it, so it must not run two handlers at once.
    std::function<boost::asio::any_io_executor()> connectionExecutor;
};

/// HTTP/1.1 server; the caller runs the executors.
class HttpServer
{
public:
    HttpServer(const boost::asio::any_io_executor &executor, HttpServerOptions options,
               HttpHandler handler);
    /// Stops as stop() does.
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Binds and accepts; returns the port, or Error::Unavailable when it cannot be bound.
    Result<std::uint16_t> start();
    /// Changes the bounds of what callers send and how long they take, for the requests that
    /// follow. Only where all connections share one thread.
    void setRequestLimits(std::uint32_t maxHeaderBytes, std::uint64_t maxBodyBytes,
                         Duration headerTimeout, Duration idleTimeout);
    /// Closes every connection after the answer that it carries now or next.
    void disableKeepAlive();
    /// Accepts what already waits, then closes the listening socket; open connections stay.
    void stopListening();
    /// Accepts no more and closes all connections at once.
    void stop();
    /// Connections that are open.
    std::size_t connections() const;
    /// Requests handed to the handler whose answer has not ended.
    std::size_t activeRequests() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gentianramp
