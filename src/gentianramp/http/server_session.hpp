#pragma once

#include "request_reader.hpp"
#include "watchdog.hpp"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <gentianramp/http/server.hpp>
#include <list>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace gentianramp {

/// Receive buffer of the kernel for a connection. What has arrived and waits unread takes memory of
/// the machine, also on connections that are not read while a request is handled.
inline constexpr std::size_t ReceiveBufferBytes = 16UL * 1024;

class ServerSession;

/// Sessions that wait for input, the one that has waited for longest first.
using WaitingSessions = std::list<std::weak_ptr<ServerSession>>;

/// Lines about one kind of event in a log, bounded for each period.
class BoundedLines
{
public:
    /// The number of lines that were left out before this one; empty: it is left out too.
    std::optional<unsigned> next(TimePoint now);

private:
    TimePoint m_periodStartedAt{};
    unsigned m_loggedLines = 0; ///< In the current period.
    unsigned m_omittedLines = 0;
};

/// State of one server that its sessions share: options, handler, flags and the open sessions.
struct ServerContext
{
    ServerContext(HttpServerOptions options, HttpHandler handler)
        : options(std::move(options))
        , handler(std::move(handler))
    { }

    void add(const std::shared_ptr<ServerSession> &session);
    void remove(ServerSession &session);
    void closeAll();
    std::size_t count() const;
    /// Logs @p request and calls the hook. Bounded in lines; the next line says how many were left
    /// out.
    void reportUnanswered(const UnansweredRequest &request);
    /// The same for a request that was not passed to the handler.
    void reportUnread(const UnreadRequest &request);

    /// The session waits for input from now on, as the last of those that do.
    void noteWaiting(ServerSession &session);
    /// The session does not wait for input.
    void noteBusy(ServerSession &session);
    /// Closes the session that has waited for input for longest; false when none waits.
    bool closeLongestWaiting();

    HttpServerOptions options;
    HttpHandler handler;
    std::atomic<bool> keepAliveDisabled{false}; ///< Each connection closes after a response.
    std::atomic<bool> stopped{false};           ///< HttpServer::stop() was called.
    std::atomic<std::size_t> activeRequests{0};
    std::atomic<std::size_t> unansweredRequests{0}; ///< From their first byte on.

private:
    mutable std::mutex m_mutex;
    std::unordered_map<const ServerSession *, std::weak_ptr<ServerSession>> m_sessions;
    WaitingSessions m_waiting;
    BoundedLines m_unansweredLines;
    BoundedLines m_unreadLines;
};

/// One caller's connection: reads requests one at a time and passes them to the handler.
class ServerSession : public ResponseWriter, public std::enable_shared_from_this<ServerSession>
{
public:
    ServerSession(boost::asio::any_io_executor executor, boost::asio::ip::tcp::socket socket,
                  std::shared_ptr<ServerContext> shared);
    ~ServerSession() override;

    boost::asio::awaitable<void> run();
    /// Answers that there are too many connections, whatever the caller sends.
    boost::asio::awaitable<void> runRefused();
    /// Closes the connection of @p session; may be called from any thread. Takes the reference
    /// over, so that it is released on the session's executor.
    static void close(std::shared_ptr<ServerSession> session);
    /// The same, unless a request is being handled meanwhile.
    static void closeWaiting(std::shared_ptr<ServerSession> session);

    boost::asio::awaitable<std::error_code> send(HttpResponse response) override;
    boost::asio::awaitable<std::error_code> startStream(HttpResponse head) override;
    boost::asio::awaitable<std::error_code> writePiece(std::string_view piece) override;
    boost::asio::awaitable<std::error_code> finishStream() override;
    bool started() const override { return m_started; }
    bool callerGone() const override { return m_callerGone; }
    void setCallerGoneHook(std::function<void()> hook) override;
    void closeAfterResponse() override { m_keepAlive = false; }
    void closeWithoutResponse() override { m_closedByHandler = true; }

private:
    friend struct ServerContext;

    boost::asio::awaitable<bool> readRequest(HttpRequest &request);
    /// Waits for the first byte of a request; false when none came.
    boost::asio::awaitable<bool> waitForRequest();
    /// Reads the rest of a request; a failure without a status when the caller left.
    boost::asio::awaitable<std::optional<ReadFailure>> readRest(RequestReader &reader);
    boost::asio::awaitable<boost::system::error_code> readSome(std::size_t maxBytes);
    void setReceiveBuffer(std::size_t bytes);
    /// Takes room for what the request that is being read holds by now; false when there is none.
    bool takeRoom(const RequestReader &reader);
    /// Waits until there is room; false when there was none for a while.
    boost::asio::awaitable<bool> waitForRoom(const RequestReader &reader);
    /// Another request needs the room of the one that is being read.
    void onLeaseRevoked(std::uint64_t reading);
    boost::asio::awaitable<void> refuse(ReadFailure failure);
    boost::asio::awaitable<void> sendErrorResponse(unsigned status, std::string message,
                                                   HttpHeaders headers);
    boost::asio::awaitable<bool> handle(HttpRequest request);
    boost::asio::awaitable<void> callHandler(HttpRequest request);
    boost::asio::awaitable<std::error_code> writeText(std::string_view text,
                                                      std::string_view body = {});
    /// Ends a connection on which a response was sent.
    boost::asio::awaitable<void> closeGracefully();
    /// Starts a wait for input that detects when the caller closes the connection.
    void watchForDisconnect();
    void markCallerGone();
    std::optional<UnansweredReason> unansweredReason() const;
    void beginResponse();
    void closeSocket();
    /// Says whether a request is being read or answered, for ServerContext::unansweredRequests.
    void setUnanswered(bool unanswered);

    boost::asio::any_io_executor m_executor;
    boost::asio::ip::tcp::socket m_socket;
    std::shared_ptr<ServerContext> m_shared;
    std::shared_ptr<Watchdog> m_watchdog;
    boost::beast::flat_buffer m_buffer;
    std::shared_ptr<MemoryLease> m_lease; ///< Of the request that is being read, if it is large.
    std::uint64_t m_requestsRead = 0;
    /// Place in the list of the context, guarded by its mutex.
    std::optional<WaitingSessions::iterator> m_waitingPlace;
    std::function<void()> m_callerGoneHook;
    TimePoint m_requestReadAt{};
    std::uint64_t m_bytesWritten = 0; ///< Since the request was read.
    std::optional<UnansweredReason> m_writeFailure;
    bool m_leaseRevoked = false;
    bool m_hasLargeReceiveBuffer = false;
    bool m_isHandling = false;
    bool m_unanswered = false; ///< Counted in ServerContext::unansweredRequests.
    bool m_keepAlive = true;
    bool m_headOnly = false;
    /// The request is HTTP/1.0: a streamed body is sent without chunked encoding and ends when the
    /// connection closes.
    bool m_http10 = false;
    bool m_started = false;
    bool m_finished = false;
    bool m_closesGracefully = false; ///< The caller may not have read the last response yet.
    bool m_callerGone = false;
    bool m_stopped = false; ///< HttpServer::stop() closed the connection.
    bool m_handlerFailed = false;
    bool m_closedByHandler = false; ///< The handler asked to close without a response.
};

} // namespace gentianramp
