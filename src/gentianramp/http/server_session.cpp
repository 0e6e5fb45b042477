#include "server_session.hpp"

#include "socket_options.hpp"

#include <array>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <gentianramp/core/log.hpp>
#include <vector>

namespace gentianramp {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr std::size_t ReadBytes = 8192;
/// Read at once of a large body.
constexpr std::size_t LargeReadBytes = 32 * 1024;
/// Of the kernel, while a large body is being read.
constexpr std::size_t LargeReceiveBufferBytes = 128UL * 1024;
/// A request that holds no more than this takes no room of the MemoryBudget.
constexpr std::size_t SmallRequestBytes = 16 * 1024;
/// The room of larger ones grows by multiples of this.
constexpr std::size_t LeaseStepBytes = 32 * 1024;
constexpr Duration LingerTimeout = std::chrono::milliseconds(500);
constexpr std::size_t MaxLingerBytes = 1024 * 1024;
/// Requests that arrive at the same time do not take room from each other; those that stall do not
/// keep it longer than this.
constexpr Duration MaxRoomWait = std::chrono::seconds(2);
constexpr Duration RoomWaitInterval = std::chrono::milliseconds(50);
constexpr Duration LogPeriod = std::chrono::seconds(1);
constexpr unsigned MaxLinesPerPeriod = 20;
constexpr unsigned RequestTimeout = 408;
constexpr unsigned ServiceUnavailable = 503;

bool isLarge(const RequestReader &reader)
{
    return reader.heldBytes() > LargeReadBytes;
}

ReadFailure noMemory()
{
    return {UnreadReason::NoMemory, ServiceUnavailable, "no memory for the request"};
}

void appendDecimal(std::string &out, std::size_t value)
{
    out += std::to_string(value);
}

std::string headText(const HttpResponse &response, bool keepAlive)
{
    std::string text = "HTTP/1.1 ";
    text.reserve(512);
    appendDecimal(text, response.status);
    text += ' ';
    const beast::string_view reason = http::obsolete_reason(http::int_to_status(response.status));
    text.append(reason.data(), reason.size());
    text += "\r\n";
    for (const HttpHeader &field : response.headers.fields()) {
        text += field.name;
        text += ": ";
        text += field.value;
        text += "\r\n";
    }
    if (!keepAlive)
        text += "Connection: close\r\n";
    return text;
}

/// Removes header fields that the server writes itself, and fields with line breaks, which would
/// inject further header fields.
void removeReservedHeaders(HttpResponse &response)
{
    HttpHeaders headers;
    for (const HttpHeader &field : response.headers.fields()) {
        const bool hasLineBreak
            = (field.name + field.value).find_first_of("\r\n") != std::string::npos;
        const bool reserved = sameHeaderName(field.name, "Content-Length")
            || sameHeaderName(field.name, "Transfer-Encoding")
            || sameHeaderName(field.name, "Connection");
        if (!hasLineBreak && !reserved)
            headers.add(field.name, field.value);
    }
    response.headers = std::move(headers);
}

std::string chunkSize(std::size_t size)
{
    std::array<char, 20> text{};
    const auto end = std::to_chars(text.data(), text.data() + text.size(), size, 16).ptr;
    return std::string(text.data(), end) + "\r\n";
}

} // namespace

void ServerContext::add(const std::shared_ptr<ServerSession> &session)
{
    const std::lock_guard lock(m_mutex);
    m_sessions.emplace(session.get(), session);
}

void ServerContext::remove(ServerSession &session)
{
    const std::lock_guard lock(m_mutex);
    m_sessions.erase(&session);
    if (session.m_waitingPlace)
        m_waiting.erase(*session.m_waitingPlace);
}

void ServerContext::noteWaiting(ServerSession &session)
{
    const std::lock_guard lock(m_mutex);
    if (session.m_waitingPlace)
        m_waiting.splice(m_waiting.end(), m_waiting, *session.m_waitingPlace);
    else
        session.m_waitingPlace = m_waiting.insert(m_waiting.end(), session.weak_from_this());
}

void ServerContext::noteBusy(ServerSession &session)
{
    const std::lock_guard lock(m_mutex);
    if (session.m_waitingPlace)
        m_waiting.erase(*session.m_waitingPlace);
    session.m_waitingPlace.reset();
}

bool ServerContext::closeLongestWaiting()
{
    std::shared_ptr<ServerSession> session;
    {
        const std::lock_guard lock(m_mutex);
        // A session that is being destroyed removes itself.
        for (auto place = m_waiting.begin(); !session && place != m_waiting.end(); ++place)
            session = place->lock();
        if (session) {
            m_waiting.erase(*session->m_waitingPlace);
            session->m_waitingPlace.reset();
        }
    }
    if (!session)
        return false;
    ServerSession::closeWaiting(std::move(session));
    return true;
}

void ServerContext::closeAll()
{
    std::vector<std::shared_ptr<ServerSession>> sessions;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &[pointer, weak] : m_sessions) {
            if (auto session = weak.lock())
                sessions.push_back(std::move(session));
        }
    }
    for (std::shared_ptr<ServerSession> &session : sessions)
        ServerSession::close(std::move(session));
}

std::size_t ServerContext::count() const
{
    const std::lock_guard lock(m_mutex);
    return m_sessions.size();
}

std::optional<unsigned> BoundedLines::next(TimePoint now)
{
    if (now - m_periodStartedAt >= LogPeriod) {
        m_periodStartedAt = now;
        m_loggedLines = 0;
    }
    if (m_loggedLines >= MaxLinesPerPeriod) {
        ++m_omittedLines;
        return std::nullopt;
    }
    ++m_loggedLines;
    return std::exchange(m_omittedLines, 0);
}

void ServerContext::reportUnanswered(const UnansweredRequest &request)
{
    std::optional<unsigned> omitted;
    {
        const std::lock_guard lock(m_mutex);
        omitted = m_unansweredLines.next(RuntimeClock::now());
    }
    if (omitted)
        logWarning("connection_unanswered",
                   {{"reason", toString(request.reason)},
                    {"since_read_ms", toMilliseconds(request.sinceRead)},
                    {"bytes", request.bytesWritten},
                    {"omitted", *omitted}});
    if (options.unansweredHook)
        options.unansweredHook(request);
}

void ServerContext::reportUnread(const UnreadRequest &request)
{
    std::optional<unsigned> omitted;
    {
        const std::lock_guard lock(m_mutex);
        omitted = m_unreadLines.next(RuntimeClock::now());
    }
    if (omitted)
        logWarning("request_not_read",
                   {{"server", options.name},
                    {"reason", toString(request.reason)},
                    {"status", request.status},
                    {"connections", count()},
                    {"held_bytes", options.memory->heldBytes()},
                    {"omitted", *omitted}});
    if (options.unreadHook)
        options.unreadHook(request);
}

ServerSession::ServerSession(asio::any_io_executor executor, tcp::socket socket,
                             std::shared_ptr<ServerContext> shared)
    : m_executor(std::move(executor))
    , m_socket(std::move(socket))
    , m_shared(std::move(shared))
    , m_watchdog(std::make_shared<Watchdog>(m_executor, m_socket))
{
    setSocketOptions(m_socket, m_shared->options.writeTimeout);
}

ServerSession::~ServerSession()
{
    m_watchdog->stop();
    setUnanswered(false);
    m_shared->remove(*this);
}

void ServerSession::close(std::shared_ptr<ServerSession> session)
{
    const asio::any_io_executor executor = session->m_executor;
    asio::post(executor, [session = std::move(session)] {
        session->m_stopped = !session->m_callerGone;
        session->closeSocket();
        session->markCallerGone();
    });
}

void ServerSession::closeWaiting(std::shared_ptr<ServerSession> session)
{
    const asio::any_io_executor executor = session->m_executor;
    asio::post(executor, [session = std::move(session)] {
        if (session->m_isHandling || !session->m_socket.is_open())
            return;
        session->closeSocket();
        session->m_shared->reportUnread({UnreadReason::ConnectionReplaced, 0});
    });
}

void ServerSession::closeSocket()
{
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

void ServerSession::setUnanswered(bool unanswered)
{
    if (unanswered && !m_unanswered)
        m_shared->unansweredRequests.fetch_add(1);
    if (!unanswered && m_unanswered)
        m_shared->unansweredRequests.fetch_sub(1);
    m_unanswered = unanswered;
}

asio::awaitable<void> ServerSession::run()
{
    const auto self = shared_from_this();
    while (m_keepAlive && m_socket.is_open()) {
        HttpRequest request;
        const bool received = co_await readRequest(request);
        if (!received)
            break;
        const bool answered = co_await handle(std::move(request));
        setUnanswered(false);
        if (!answered)
            break;
    }
    setUnanswered(false);
    co_await closeGracefully();
}

asio::awaitable<void> ServerSession::runRefused()
{
    const auto self = shared_from_this();
    ReadFailure failure{UnreadReason::TooManyConnections, ServiceUnavailable,
                        "too many connections"};
    co_await refuse(std::move(failure));
    co_await closeGracefully();
}

asio::awaitable<void> ServerSession::closeGracefully()
{
    boost::system::error_code error;
    // Without chunks, only the way in which the connection ends shows that a stream was cut.
    const bool isCutWithoutChunks = m_http10 && m_started && !m_finished;
    if (m_socket.is_open() && isCutWithoutChunks)
        m_socket.set_option(asio::socket_base::linger(true, 0), error);
    else if (m_socket.is_open())
        m_socket.shutdown(tcp::socket::shutdown_send, error);
    // Closing a socket with unread bytes, or on which more arrive, resets the connection, and the
    // caller could lose the response.
    const bool waits = m_closesGracefully && !isCutWithoutChunks && !m_callerGone
        && !m_shared->stopped && m_socket.is_open();
    if (waits) {
        m_shared->noteWaiting(*this);
        m_watchdog->expireAfter(LingerTimeout);
    }
    std::size_t discardedBytes = 0;
    while (waits && !error && discardedBytes < MaxLingerBytes) {
        m_buffer.consume(m_buffer.size());
        discardedBytes += co_await m_socket.async_read_some(
            m_buffer.prepare(ReadBytes), asio::redirect_error(asio::use_awaitable, error));
    }
    m_watchdog->stop();
    closeSocket();
}

asio::awaitable<bool> ServerSession::waitForRequest()
{
    m_keepAlive = true;
    m_headOnly = false;
    m_closesGracefully = false;
    m_shared->noteWaiting(*this);
    if (m_buffer.size() > 0)
        co_return true;
    if (m_buffer.capacity() > ReadBytes)
        m_buffer.shrink_to_fit();
    m_watchdog->expireAfter(m_shared->options.idleTimeout, ExpiryAction::CancelOperations);
    co_return !co_await readSome(ReadBytes);
}

asio::awaitable<boost::system::error_code> ServerSession::readSome(std::size_t maxBytes)
{
    boost::system::error_code error;
    m_buffer.commit(co_await m_socket.async_read_some(
        m_buffer.prepare(maxBytes), asio::redirect_error(asio::use_awaitable, error)));
    co_return error;
}

asio::awaitable<bool> ServerSession::readRequest(HttpRequest &request)
{
    const HttpServerOptions &options = m_shared->options;
    if (!co_await waitForRequest())
        co_return false;
    // A process that stops waits for requests that are being read too.
    setUnanswered(true);
    ++m_requestsRead;
    m_leaseRevoked = false;
    std::optional<RequestReader> reader(std::in_place, options.maxHeaderBytes,
                                        options.maxBodyBytes);
    std::optional<ReadFailure> failure = co_await readRest(*reader);
    if (!failure && m_lease && !m_lease->keep())
        failure = noMemory();
    if (failure) {
        // The response may take time to be written.
        reader.reset();
        m_lease.reset();
        m_buffer = {};
        if (failure->status != 0)
            co_await refuse(std::move(*failure));
        co_return false;
    }
    if (m_hasLargeReceiveBuffer)
        setReceiveBuffer(ReceiveBufferBytes);
    m_watchdog->clearDeadline();
    m_keepAlive = reader->keepAlive() && !m_shared->keepAliveDisabled;
    m_http10 = reader->isHttp10();
    request = reader->take();
    request.lease = std::move(m_lease);
    m_headOnly = request.method == "HEAD";
    co_return true;
}

asio::awaitable<std::optional<ReadFailure>> ServerSession::readRest(RequestReader &reader)
{
    const HttpServerOptions &options = m_shared->options;
    // The socket stays open for the 408.
    m_watchdog->expireAfter(options.headerTimeout, ExpiryAction::CancelOperations);
    for (;;) {
        const bool hadHead = reader.hasHead();
        std::optional<ReadFailure> failure = reader.parse(m_buffer);
        if (failure)
            co_return failure;
        if (!co_await waitForRoom(reader))
            co_return noMemory();
        if (reader.isDone())
            co_return std::nullopt;
        if (!hadHead && reader.hasHead()) {
            if (reader.expectsContinue())
                co_await writeText("HTTP/1.1 100 Continue\r\n\r\n");
            m_watchdog->expireAfter(options.bodyTimeout, ExpiryAction::CancelOperations);
        }
        if (isLarge(reader) && !m_hasLargeReceiveBuffer)
            setReceiveBuffer(LargeReceiveBufferBytes);
        const boost::system::error_code error
            = co_await readSome(isLarge(reader) ? LargeReadBytes : ReadBytes);
        if (m_leaseRevoked)
            co_return noMemory();
        if (error && m_watchdog->expired())
            co_return ReadFailure{UnreadReason::TookTooLong, RequestTimeout,
                                  "the request took too long"};
        if (error)
            co_return ReadFailure{UnreadReason::Malformed, 0, {}};
        m_shared->noteWaiting(*this);
    }
}

asio::awaitable<bool> ServerSession::waitForRoom(const RequestReader &reader)
{
    const TimePoint waitEnd = RuntimeClock::now() + MaxRoomWait;
    while (!takeRoom(reader)) {
        const bool isHopeless = m_leaseRevoked || m_lease->isRevoked() || !m_socket.is_open();
        if (isHopeless || RuntimeClock::now() >= waitEnd)
            co_return false;
        co_await sleepFor(RoomWaitInterval);
    }
    co_return true;
}

void ServerSession::setReceiveBuffer(std::size_t bytes)
{
    boost::system::error_code ignored;
    m_hasLargeReceiveBuffer = bytes > ReceiveBufferBytes;
    m_socket.set_option(asio::socket_base::receive_buffer_size(static_cast<int>(bytes)), ignored);
}

bool ServerSession::takeRoom(const RequestReader &reader)
{
    const std::size_t buffered = m_buffer.capacity() > ReadBytes ? m_buffer.capacity() : 0;
    const std::size_t unread = isLarge(reader) ? LargeReceiveBufferBytes : 0;
    const std::size_t held = reader.heldBytes() + buffered + unread;
    if (held <= SmallRequestBytes)
        return true;
    if (!m_lease) {
        m_lease = m_shared->options.memory->requestLease(
            [weak = weak_from_this(), executor = m_executor, reading = m_requestsRead] {
                asio::post(executor, [weak, reading] {
                    if (const auto self = weak.lock())
                        self->onLeaseRevoked(reading);
                });
            });
    }
    const std::size_t wanted
        = (held - SmallRequestBytes + LeaseStepBytes - 1) / LeaseStepBytes * LeaseStepBytes;
    const std::size_t taken = m_lease->bytes();
    return wanted <= taken || m_lease->grow(wanted - taken, RuntimeClock::now());
}

void ServerSession::onLeaseRevoked(std::uint64_t reading)
{
    if (reading != m_requestsRead || m_isHandling || !m_socket.is_open())
        return;
    m_leaseRevoked = true;
    boost::system::error_code ignored;
    m_socket.cancel(ignored);
}

asio::awaitable<void> ServerSession::refuse(ReadFailure failure)
{
    m_shared->reportUnread({failure.reason, failure.status});
    HttpHeaders headers = m_shared->options.errorResponseHeaders;
    if (failure.status == ServiceUnavailable)
        headers.set("Retry-After", m_shared->options.retryAfter);
    co_await sendErrorResponse(failure.status, std::move(failure.message), std::move(headers));
}

asio::awaitable<void> ServerSession::sendErrorResponse(unsigned status, std::string message,
                                                       HttpHeaders headers)
{
    if (!m_socket.is_open())
        co_return;
    m_keepAlive = false;
    m_started = false;
    HttpResponse response;
    response.status = status;
    response.headers = std::move(headers);
    response.headers.set("Content-Type", "text/plain");
    response.body = std::move(message) + "\n";
    co_await send(std::move(response));
}

asio::awaitable<bool> ServerSession::handle(HttpRequest request)
{
    m_shared->noteBusy(*this);
    m_isHandling = true;
    m_started = false;
    m_finished = false;
    m_handlerFailed = false;
    m_bytesWritten = 0;
    m_requestReadAt = RuntimeClock::now();
    watchForDisconnect();
    m_shared->activeRequests.fetch_add(1);
    co_await callHandler(std::move(request));
    if (!m_started && !m_callerGone && !m_closedByHandler)
        co_await sendErrorResponse(500, "internal error", m_shared->options.handlerErrorHeaders);
    m_shared->activeRequests.fetch_sub(1);
    m_isHandling = false;
    m_callerGoneHook = nullptr;
    if (const auto reason = unansweredReason())
        m_shared->reportUnanswered(
            {*reason, RuntimeClock::now() - m_requestReadAt, m_bytesWritten});
    // Ends the wait that watchForDisconnect() started.
    boost::system::error_code ignored;
    if (m_socket.is_open())
        m_socket.cancel(ignored);
    co_return m_finished && !m_callerGone && !m_closedByHandler;
}

asio::awaitable<void> ServerSession::callHandler(HttpRequest request)
{
    try {
        co_await m_shared->handler(std::move(request), *this);
        if (!m_started && !m_callerGone && !m_closedByHandler)
            logError("handler_failed", {{"error", "it returned without a response"}});
    } catch (const std::exception &exception) {
        m_handlerFailed = true;
        logError("handler_failed", {{"error", exception.what()}});
    } catch (...) {
        m_handlerFailed = true;
        logError("handler_failed", {{"error", "an exception of an unknown type"}});
    }
}

/// Why the caller got no complete response; empty when it got one or closed the connection.
std::optional<UnansweredReason> ServerSession::unansweredReason() const
{
    if (m_finished)
        return std::nullopt;
    if (m_stopped)
        return UnansweredReason::Stopped;
    if (m_callerGone)
        return m_writeFailure;
    if (m_closedByHandler)
        return UnansweredReason::HandlerClosed;
    return m_handlerFailed ? UnansweredReason::HandlerFailed : UnansweredReason::StreamUnfinished;
}

void ServerSession::watchForDisconnect()
{
    auto handler = [weak = weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (self && !error && peerClosed(self->m_socket))
            self->markCallerGone();
    };
    m_socket.async_wait(tcp::socket::wait_read, asio::bind_executor(m_executor, handler));
}

void ServerSession::markCallerGone()
{
    if (m_callerGone)
        return;
    m_callerGone = true;
    const auto hook = std::move(m_callerGoneHook);
    m_callerGoneHook = nullptr;
    if (hook)
        hook();
}

void ServerSession::setCallerGoneHook(std::function<void()> hook)
{
    m_callerGoneHook = std::move(hook);
}

void ServerSession::beginResponse()
{
    m_started = true;
    m_closesGracefully = true;
    if (m_shared->keepAliveDisabled)
        m_keepAlive = false;
}

asio::awaitable<std::error_code> ServerSession::send(HttpResponse response)
{
    if (m_started)
        co_return make_error_code(Error::InvalidArgument);
    beginResponse();
    removeReservedHeaders(response);
    std::string text = headText(response, m_keepAlive);
    text += "Content-Length: ";
    appendDecimal(text, response.body.size());
    text += "\r\n\r\n";
    const std::string_view body = m_headOnly ? std::string_view() : response.body;
    const std::error_code error = co_await writeText(text, body);
    m_finished = !error;
    co_return error;
}

asio::awaitable<std::error_code> ServerSession::startStream(HttpResponse head)
{
    if (m_started)
        co_return make_error_code(Error::InvalidArgument);
    if (m_http10)
        m_keepAlive = false;
    beginResponse();
    removeReservedHeaders(head);
    std::string text = headText(head, m_keepAlive);
    text += m_http10 ? "\r\n" : "Transfer-Encoding: chunked\r\n\r\n";
    co_return co_await writeText(text);
}

asio::awaitable<std::error_code> ServerSession::writePiece(std::string_view piece)
{
    if (!m_started || m_finished)
        co_return make_error_code(Error::InvalidArgument);
    if (piece.empty() || m_headOnly)
        co_return std::error_code();
    if (m_http10)
        co_return co_await writeText(piece);
    std::string text = chunkSize(piece.size());
    text += piece;
    text += "\r\n";
    co_return co_await writeText(text);
}

asio::awaitable<std::error_code> ServerSession::finishStream()
{
    if (!m_started || m_finished)
        co_return make_error_code(Error::InvalidArgument);
    std::error_code error;
    if (!m_http10 && !m_headOnly)
        error = co_await writeText("0\r\n\r\n");
    m_finished = !error;
    co_return error;
}

asio::awaitable<std::error_code> ServerSession::writeText(std::string_view text,
                                                          std::string_view body)
{
    boost::system::error_code error;
    if (m_callerGone)
        co_return make_error_code(Error::ConnectionLost);
    m_watchdog->expireAfter(m_shared->options.writeTimeout);
    const std::array<asio::const_buffer, 2> buffers{asio::buffer(text.data(), text.size()),
                                                    asio::buffer(body.data(), body.size())};
    m_bytesWritten += co_await asio::async_write(m_socket, buffers,
                                                 asio::redirect_error(asio::use_awaitable, error));
    m_watchdog->clearDeadline();
    if (!error)
        co_return std::error_code();
    const bool timedOut = m_watchdog->expired();
    const bool callerClosed
        = error == asio::error::connection_reset || error == asio::error::broken_pipe;
    if (!m_callerGone && !callerClosed)
        m_writeFailure = timedOut ? UnansweredReason::WriteTimedOut : UnansweredReason::WriteFailed;
    markCallerGone();
    co_return make_error_code(timedOut ? Error::TimedOut : Error::ConnectionLost);
}

} // namespace gentianramp
