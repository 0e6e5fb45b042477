#include "server_session.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gentianramp/core/log.hpp>

namespace gentianramp {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr Duration AcceptRetryDelay = std::chrono::milliseconds(50);
/// Connections beyond the limit that get a response; others are closed at once.
constexpr std::size_t MaxRefusedConnections = 16;

asio::awaitable<void> runSession(std::shared_ptr<ServerSession> session)
{
    co_await session->run();
}

asio::awaitable<void> refuseSession(std::shared_ptr<ServerSession> session)
{
    co_await session->runRefused();
}

} // namespace

std::string_view toString(UnansweredReason reason)
{
    switch (reason) {
    case UnansweredReason::HandlerFailed:
        return "handler_failed";
    case UnansweredReason::HandlerClosed:
        return "handler_closed";
    case UnansweredReason::StreamUnfinished:
        return "stream_unfinished";
    case UnansweredReason::WriteFailed:
        return "write_failed";
    case UnansweredReason::WriteTimedOut:
        return "write_timeout";
    case UnansweredReason::Stopped:
        return "stopped";
    }
    return "unknown";
}

std::string_view toString(UnreadReason reason)
{
    switch (reason) {
    case UnreadReason::Malformed:
        return "malformed";
    case UnreadReason::HeaderTooLarge:
        return "header_too_large";
    case UnreadReason::BodyTooLarge:
        return "body_too_large";
    case UnreadReason::TrailerTooLarge:
        return "trailer_too_large";
    case UnreadReason::TookTooLong:
        return "took_too_long";
    case UnreadReason::NoMemory:
        return "no_memory";
    case UnreadReason::ConnectionReplaced:
        return "connection_replaced";
    case UnreadReason::TooManyConnections:
        return "too_many_connections";
    }
    return "unknown";
}

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State>
{
    State(const asio::any_io_executor &executor, HttpServerOptions options, HttpHandler handler)
        : executor(asio::make_strand(executor))
        , acceptor(this->executor)
        , shared(std::make_shared<ServerContext>(std::move(options), std::move(handler)))
    {
        if (!shared->options.memory)
            shared->options.memory = std::make_shared<MemoryBudget>();
        if (!shared->options.connectionExecutor) {
            shared->options.connectionExecutor
                = [executor]() -> asio::any_io_executor { return asio::make_strand(executor); };
        }
    }

    asio::awaitable<void> acceptLoop()
    {
        const auto self = shared_from_this();
        while (!shared->stopped) {
            const asio::any_io_executor connectionExecutor = shared->options.connectionExecutor();
            tcp::socket socket(connectionExecutor);
            boost::system::error_code error;
            co_await acceptor.async_accept(socket,
                                           asio::redirect_error(asio::use_awaitable, error));
            if (error == asio::error::operation_aborted || shared->stopped)
                co_return;
            if (error) {
                logWarning("accept_failed", {{"error", error.message()}});
                co_await sleepFor(AcceptRetryDelay);
                continue;
            }
            startSession(connectionExecutor, std::move(socket));
        }
    }

    void startSession(const asio::any_io_executor &connectionExecutor, tcp::socket socket)
    {
        const std::size_t open = shared->count();
        const std::size_t most = shared->options.maxConnections;
        if (open >= most + MaxRefusedConnections)
            return shared->reportUnread({UnreadReason::TooManyConnections, 0});
        const bool isRefused = open >= most && !shared->closeLongestWaiting();
        auto session
            = std::make_shared<ServerSession>(connectionExecutor, std::move(socket), shared);
        shared->add(session);
        asio::co_spawn(connectionExecutor,
                       isRefused ? refuseSession(std::move(session))
                                 : runSession(std::move(session)),
                       asio::detached);
    }

    /// Accepts the connections in the kernel's queue; closing the listening socket would reset
    /// them.
    void acceptPending()
    {
        boost::system::error_code error;
        acceptor.non_blocking(true, error);
        while (!error) {
            const asio::any_io_executor connectionExecutor = shared->options.connectionExecutor();
            tcp::socket socket(connectionExecutor);
            acceptor.accept(socket, error);
            if (!error)
                startSession(connectionExecutor, std::move(socket));
        }
    }

    asio::any_io_executor executor;
    tcp::acceptor acceptor;
    std::shared_ptr<ServerContext> shared;
};

HttpServer::HttpServer(const asio::any_io_executor &executor, HttpServerOptions options,
                       HttpHandler handler)
    : m_state(std::make_shared<State>(executor, std::move(options), std::move(handler)))
{ }

HttpServer::~HttpServer()
{
    stop();
}

Result<std::uint16_t> HttpServer::start()
{
    const HttpServerOptions &options = m_state->shared->options;
    tcp::acceptor &acceptor = m_state->acceptor;
    boost::system::error_code error;
    const auto address = asio::ip::make_address(options.host, error);
    if (error)
        return {Error::InvalidArgument, "not an IP address: " + options.host};
    const tcp::endpoint endpoint(address, options.port);
    acceptor.open(endpoint.protocol(), error);
    if (!error)
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
    // Connections take it over; it has to be set before they are made.
    boost::system::error_code ignored;
    if (!error)
        acceptor.set_option(
            asio::socket_base::receive_buffer_size(static_cast<int>(ReceiveBufferBytes)), ignored);
    if (!error)
        acceptor.bind(endpoint, error);
    if (!error)
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return {Error::Unavailable,
                "cannot listen on " + options.host + ":" + std::to_string(options.port) + ": "
                    + error.message()};
    const std::uint16_t port = acceptor.local_endpoint().port();
    asio::co_spawn(m_state->executor, m_state->acceptLoop(), asio::detached);
    return port;
}

void HttpServer::setRequestLimits(std::uint32_t maxHeaderBytes, std::uint64_t maxBodyBytes,
                                  Duration headerTimeout, Duration idleTimeout)
{
    HttpServerOptions &options = m_state->shared->options;
    options.maxHeaderBytes = maxHeaderBytes;
    options.maxBodyBytes = maxBodyBytes;
    options.headerTimeout = headerTimeout;
    options.idleTimeout = idleTimeout;
}

void HttpServer::disableKeepAlive()
{
    m_state->shared->keepAliveDisabled = true;
}

void HttpServer::stopListening()
{
    asio::post(m_state->executor, [state = m_state] {
        state->acceptPending();
        boost::system::error_code ignored;
        state->acceptor.close(ignored);
    });
}

void HttpServer::stop()
{
    if (m_state->shared->stopped.exchange(true))
        return;
    asio::post(m_state->executor, [state = m_state] {
        boost::system::error_code ignored;
        state->acceptor.close(ignored);
    });
    m_state->shared->closeAll();
}

std::size_t HttpServer::connections() const
{
    return m_state->shared->count();
}

std::size_t HttpServer::activeRequests() const
{
    return m_state->shared->activeRequests;
}

std::size_t HttpServer::unansweredRequests() const
{
    return m_state->shared->unansweredRequests;
}

} // namespace gentianramp
