#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/error.hpp>
#include <gentianramp/http/memory_budget.hpp>
#include <gentianramp/http/message.hpp>
#include <memory>
#include <string>
#include <string_view>

namespace gentianramp {

/// Writes the response to one request; used only on the executor of the caller's connection.
class ResponseWriter
{
public:
    virtual ~ResponseWriter() = default;

    /// Sends a complete response.
    virtual boost::asio::awaitable<std::error_code> send(HttpResponse response) = 0;
    /// Sends the head of a streamed response; the body of @p head is ignored.
    virtual boost::asio::awaitable<std::error_code> startStream(HttpResponse head) = 0;
    /// Sends one piece of a started stream; waits until it is written to the socket.
    virtual boost::asio::awaitable<std::error_code> writePiece(std::string_view piece) = 0;
    /// Ends a started stream. If the handler returns without calling it, the connection is closed,
    /// so that the caller sees a truncated response.
    virtual boost::asio::awaitable<std::error_code> finishStream() = 0;

    /// True once writing the response head has started.
    virtual bool started() const = 0;
    /// True once the caller or HttpServer::stop() has closed the connection, or a write has failed
    /// or timed out.
    virtual bool callerGone() const = 0;
    /// Sets a hook that is called once, on the connection's executor, when callerGone() becomes
    /// true before the handler has returned.
    virtual void setCallerGoneHook(std::function<void()> hook) = 0;
    /// Closes the connection after this response and sends "Connection: close" in its head.
    virtual void closeAfterResponse() = 0;
    /// Closes the connection when the handler returns; the caller gets nothing further.
    virtual void closeWithoutResponse() = 0;
};

/// Handles one request and responds through the writer. If the handler throws or returns before the
/// response has started, the server sends 500 and closes the connection, unless callerGone() or
/// closeWithoutResponse(): then no response is needed. An exception after the response has started
/// closes the connection, unless the response was already complete.
using HttpHandler = std::function<boost::asio::awaitable<void>(HttpRequest, ResponseWriter &)>;

/// Why a connection ended without a complete response after a whole request was read.
enum class UnansweredReason {
    HandlerFailed,    ///< The handler threw after the response had started.
    HandlerClosed,    ///< The handler called closeWithoutResponse().
    StreamUnfinished, ///< The handler returned without finishStream().
    WriteFailed,
    WriteTimedOut,
    Stopped, ///< HttpServer::stop() closed the connection.
};

std::string_view toString(UnansweredReason reason);

/// A whole request without a complete response whose caller had not closed the connection.
struct UnansweredRequest
{
    UnansweredReason reason = UnansweredReason::HandlerFailed;
    Duration sinceRead{};           ///< Since the whole request was read.
    std::uint64_t bytesWritten = 0; ///< Bytes of the response.
    bool operator==(const UnansweredRequest &) const = default;
};

/// Why a request was not passed to the handler, or a connection was closed before it was read.
enum class UnreadReason {
    Malformed,
    HeaderTooLarge,
    BodyTooLarge,
    TrailerTooLarge, ///< Or the head of a chunk.
    TookTooLong,
    NoMemory,           ///< See MemoryBudget.
    ConnectionReplaced, ///< Closed while it waited for input, to make room for another connection.
    TooManyConnections,
};

std::string_view toString(UnreadReason reason);

/// A request that was not passed to the handler; it has not run.
struct UnreadRequest
{
    UnreadReason reason = UnreadReason::Malformed;
    unsigned status = 0; ///< 0: the connection was closed without a response.
    bool operator==(const UnreadRequest &) const = default;
};

/// Options of an HttpServer.
struct HttpServerOptions
{
    std::string name;               ///< Names the server in log lines.
    std::string host = "127.0.0.1"; ///< IP address to listen on.
    std::uint16_t port = 0;         ///< 0 selects a free port.
    /// A further connection takes the place of the one that has waited for input for longest; if
    /// all requests are being handled, it gets 503, or is closed.
    std::size_t maxConnections = 4096;
    std::uint32_t maxHeaderBytes = 16 * 1024; ///< Also of a trailer, and of the head of a chunk.
    std::uint64_t maxBodyBytes = 8 * 1024 * 1024;
    /// Shared by the servers of a process; empty: the server has one of its own.
    std::shared_ptr<MemoryBudget> memory;
    Duration headerTimeout = std::chrono::seconds(10); ///< From the first byte to the last header.
    Duration bodyTimeout = std::chrono::seconds(30);   ///< From the last header to the last byte.
    /// Retry-After of a 503 that the server sends itself, in seconds.
    std::string retryAfter = "1";
    Duration idleTimeout = std::chrono::seconds(75);  ///< Between two requests.
    Duration writeTimeout = std::chrono::seconds(15); ///< For each write.
    /// Added to error responses to requests that were not passed to the handler, for example
    /// malformed ones.
    HttpHeaders errorResponseHeaders;
    /// Added to the 500 that is sent when the handler failed; it may have run the request.
    HttpHeaders handlerErrorHeaders;
    /// Called on the connection's executor after each UnansweredRequest.
    std::function<void(const UnansweredRequest &)> unansweredHook;
    /// Called after each UnreadRequest, on the executor of its connection or of the server.
    std::function<void(const UnreadRequest &)> unreadHook;
    /// Returns the executor for the next connection; the default is a new strand on the server's
    /// executor. All work of a connection runs on it, so it must not run two handlers concurrently.
    std::function<boost::asio::any_io_executor()> connectionExecutor;
};

/// HTTP/1.1 server; the caller runs the executors.
class HttpServer
{
public:
    HttpServer(const boost::asio::any_io_executor &executor, HttpServerOptions options,
               HttpHandler handler);
    /// Calls stop().
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Binds the port and starts accepting connections. Returns the port, Error::InvalidArgument
    /// when the host is not an IP address, or Error::Unavailable when the port cannot be bound.
    Result<std::uint16_t> start();
    /// Replaces the size limits and timeouts for the following requests. Not synchronised: may only
    /// be called when all connections run on the calling thread.
    void setRequestLimits(std::uint32_t maxHeaderBytes, std::uint64_t maxBodyBytes,
                          Duration headerTimeout, Duration idleTimeout);
    /// Closes each connection after its current or, if it is idle, its next response. An idle
    /// connection stays open until its next request or the idle timeout.
    void disableKeepAlive();
    /// Accepts the connections that wait in the kernel's queue, then closes the listening socket;
    /// open connections stay.
    void stopListening();
    /// Stops accepting and closes all connections immediately.
    void stop();
    /// Number of open connections.
    std::size_t connections() const;
    /// Number of requests whose handler has not returned.
    std::size_t activeRequests() const;
    /// Number of requests of which a byte was read and that are not answered, also those of which
    /// the handler does not know yet.
    std::size_t unansweredRequests() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gentianramp
