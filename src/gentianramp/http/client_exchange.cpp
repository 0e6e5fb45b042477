#include "client_exchange.hpp"

#include "socket_options.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <utility>

namespace gentianramp {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

/// Larger requests are written in the background while the response is awaited, since a server may
/// respond before it has read the whole request.
constexpr std::size_t MaxForegroundWriteBytes = 16 * 1024;
constexpr int MaxSkippedResponses = 3;
/// Bounds on the responses that are skipped before the one that was asked for.
constexpr std::size_t MaxSkippedBodyBytes = 1024 * 1024;
constexpr Duration MaxSkipTime = std::chrono::seconds(1);
constexpr int MaxInterimResponses = 8;
constexpr unsigned SwitchingProtocols = 101;
constexpr unsigned NoContent = 204;
constexpr unsigned NotModified = 304;
/// The classes of status codes, RFC 9110 section 15. The parser takes any three digits.
constexpr unsigned MinStatus = 100;
constexpr unsigned MaxStatus = 599;
/// Bytes that the parser may hold at once beyond a head: one read of the socket.
constexpr std::size_t MaxReadBytes = 64 * 1024;
/// A chunk takes two pieces, its size and its bytes. Sound servers send some bytes in each.
constexpr std::uint64_t MaxSmallPieces = 128 * 1024;
constexpr std::uint64_t MinBytesPerPiece = 32;
/// A pooled connection is discarded this long before the server may close it.
constexpr Duration KeepAliveMargin = std::chrono::milliseconds(500);

/// How long an idle connection may be reused according to "Keep-Alive: timeout=N".
std::optional<Duration> keepAliveTimeout(std::string_view value)
{
    const std::size_t at = value.find("timeout=");
    int seconds = 0;
    if (at == std::string_view::npos
        || std::from_chars(value.data() + at + 8, value.data() + value.size(), seconds).ec
            != std::errc{})
        return std::nullopt;
    return std::chrono::seconds(seconds) - KeepAliveMargin;
}

} // namespace

ClientExchange::ClientExchange(HttpCall call, const HttpClientOptions &options,
                               std::shared_ptr<ConnectionPool> pool)
    : m_call(std::move(call))
    , m_pool(std::move(pool))
    , m_maxHeaderBytes(options.maxHeaderBytes)
{
    m_buffer.max_size(m_maxHeaderBytes + MaxReadBytes);
    resetParser();
}

void ClientExchange::resetParser()
{
    m_parser.emplace();
    m_parser->header_limit(m_maxHeaderBytes);
    m_parser->body_limit(m_call.maxBodyBytes);
    m_parser->eager(true);
    if (m_call.request.method == "HEAD")
        m_parser->skip(true);
}

ClientExchange::~ClientExchange()
{
    if (m_watchdog)
        m_watchdog->stop();
}

asio::awaitable<std::error_code> ClientExchange::open()
{
    const auto self = shared_from_this();
    if (m_call.totalTimeout != Duration::max())
        m_endAt = RuntimeClock::now() + m_call.totalTimeout;
    std::error_code error = co_await connect();
    if (!error)
        error = co_await writeRequest();
    if (!error)
        error = co_await readHead();
    co_return error;
}

asio::awaitable<std::error_code> ClientExchange::connect()
{
    if (m_cancelled)
        co_return make_error_code(Error::ConnectionRefused);
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    if (!m_call.freshConnection)
        m_socket = m_pool->take(executor, m_call.address, m_call.echoedHeader.name);
    m_reused = m_socket.has_value();
    if (!m_reused)
        m_socket.emplace(executor);
    m_watchdog = std::make_shared<Watchdog>(executor, *m_socket);
    if (m_reused) {
        setSocketOptions(*m_socket, m_call.silenceTimeout);
        co_return std::error_code();
    }
    boost::system::error_code error;
    const auto address = asio::ip::make_address(m_call.address.host, error);
    if (error)
        co_return make_error_code(Error::ConnectionRefused);
    const tcp::endpoint endpoint(address, m_call.address.port);
    expireAfter(m_call.connectTimeout);
    co_await m_socket->async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
    m_watchdog->clearDeadline();
    m_refusedByPeer = error == asio::error::connection_refused;
    if (error || m_cancelled || m_watchdog->expired())
        co_return make_error_code(Error::ConnectionRefused);
    setSocketOptions(*m_socket, m_call.silenceTimeout);
    if (m_call.resetOnFailure)
        m_socket->set_option(asio::socket_base::linger(true, 0), error);
    co_return std::error_code();
}

asio::awaitable<std::error_code> ClientExchange::writeRequest()
{
    std::string text = requestHead();
    if (m_call.mayStart && !m_call.mayStart())
        co_return make_error_code(Error::ConnectionRefused);
    if (text.size() + requestBody().size() > MaxForegroundWriteBytes)
        co_return co_await writeInBackground(std::move(text));
    text += requestBody();
    boost::system::error_code error;
    expireAfter(m_call.silenceTimeout);
    m_anyBytesWritten = true;
    const std::size_t written = co_await asio::async_write(
        *m_socket, asio::buffer(text), asio::redirect_error(asio::use_awaitable, error));
    if (!error)
        co_return std::error_code();
    m_anyBytesWritten = written > 0;
    co_return m_anyBytesWritten ? closeWithError(error) : make_error_code(Error::ConnectionRefused);
}

asio::awaitable<std::error_code> ClientExchange::writeInBackground(std::string head)
{
    const auto buffer = std::make_shared<std::string>(std::move(head));
    const std::array<asio::const_buffer, 2> parts{asio::buffer(*buffer),
                                                  asio::buffer(requestBody())};
    m_anyBytesWritten = true;
    m_writing = true;
    asio::async_write(
        *m_socket, parts,
        [self = shared_from_this(), buffer](const boost::system::error_code &error, std::size_t) {
            self->m_writing = false;
            self->m_writeError = error;
        });
    co_return std::error_code();
}

asio::awaitable<std::error_code> ClientExchange::readHead()
{
    const TimePoint headDeadline = RuntimeClock::now() + m_call.headTimeout;
    TimePoint skipDeadline = TimePoint::max();
    int skipped = 0;
    for (int interim = 0; interim <= MaxInterimResponses && skipped <= MaxSkippedResponses;) {
        std::error_code error = co_await readOneHead(headDeadline - RuntimeClock::now());
        if (error)
            co_return error;
        if (m_status == SwitchingProtocols)
            break;
        if (isInterimResponse()) {
            ++interim;
            resetParser();
            continue;
        }
        if (!isResponseToEarlierRequest()) {
            // It may be a late response to an earlier request. The server does copy the header:
            // otherwise the connection would not have been pooled.
            if (m_reused && !echoesRequest())
                co_return closeWithError(make_error_code(http::error::bad_status));
            if (m_parser->is_done())
                completeResponse();
            co_return std::error_code();
        }
        if (skipped++ == 0)
            skipDeadline = RuntimeClock::now() + MaxSkipTime;
        const TimePoint endAt = std::exchange(m_endAt, std::min(m_endAt, skipDeadline));
        error = co_await skipBody();
        if (error)
            co_return error;
        m_endAt = endAt;
        resetParser();
    }
    // Too many skipped responses are reported as Error::ConnectionLost, too many interim ones and a
    // change of the protocol as Error::Malformed.
    co_return closeWithError(skipped > MaxSkippedResponses
                                 ? asio::error::make_error_code(asio::error::invalid_argument)
                                 : make_error_code(http::error::bad_status));
}

asio::awaitable<std::error_code> ClientExchange::readOneHead(Duration limit)
{
    boost::system::error_code error;
    expireAfter(limit);
    co_await http::async_read_header(*m_socket, m_buffer, *m_parser,
                                     asio::redirect_error(asio::use_awaitable, error));
    m_watchdog->clearDeadline();
    if (error)
        co_return closeWithError(error);
    m_status = m_parser->get().result_int();
    if (m_status < MinStatus || m_status > MaxStatus)
        co_return closeWithError(make_error_code(http::error::bad_status));
    m_headers = {};
    for (const auto &field : m_parser->get())
        m_headers.add(std::string(field.name_string()), std::string(field.value()));
    if (mayHaveBody() && hasOtherTransferCoding())
        co_return closeWithError(make_error_code(http::error::bad_transfer_encoding));
    co_return std::error_code();
}

bool ClientExchange::mayHaveBody() const
{
    return m_call.request.method != "HEAD" && !isInterimResponse() && m_status != NoContent
        && m_status != NotModified;
}

/// True when the response names a transfer coding other than chunked. No request asks for one.
bool ClientExchange::hasOtherTransferCoding() const
{
    if (!m_headers.contains("Transfer-Encoding"))
        return false;
    for (const HttpHeader &field : m_headers.fields()) {
        if (!sameHeaderName(field.name, "Transfer-Encoding"))
            continue;
        for (const auto &coding : http::token_list(field.value)) {
            if (!boost::beast::iequals(coding, "chunked"))
                return true;
        }
    }
    return !m_parser->chunked();
}

/// True for a late response to an earlier request on the same connection.
bool ClientExchange::isResponseToEarlierRequest() const
{
    if (m_call.echoedHeader.name.empty())
        return false;
    const std::string_view echoed = m_headers.find(m_call.echoedHeader.name);
    return !echoed.empty() && echoed != m_call.echoedHeader.value;
}

/// True when the response names this request, or when no name is asked for.
bool ClientExchange::echoesRequest() const
{
    return m_call.echoedHeader.name.empty()
        || m_headers.find(m_call.echoedHeader.name) == m_call.echoedHeader.value;
}

asio::awaitable<std::error_code> ClientExchange::skipBody()
{
    while (!m_parser->is_done()) {
        std::size_t bytesRead = 0;
        boost::system::error_code error = co_await readSome(bytesRead);
        if (!error && m_bodyBytes > MaxSkippedBodyBytes)
            error = http::error::body_limit;
        if (error)
            co_return closeWithError(error);
    }
    if (!m_parser->get().keep_alive())
        co_return closeWithError(asio::error::make_error_code(asio::error::eof));
    co_return std::error_code();
}

/// Reads the next bytes of the body into m_piece.
asio::awaitable<boost::system::error_code> ClientExchange::readSome(std::size_t &bytesRead)
{
    m_piece.resize(PieceBytes);
    auto &body = m_parser->get().body();
    body.data = m_piece.data();
    body.size = m_piece.size();
    boost::system::error_code error;
    expireAfter(m_call.silenceTimeout);
    co_await http::async_read_some(*m_socket, m_buffer, *m_parser,
                                   asio::redirect_error(asio::use_awaitable, error));
    m_watchdog->clearDeadline();
    if (error == http::error::need_buffer)
        error = {};
    bytesRead = m_piece.size() - body.size;
    m_bodyBytes += bytesRead;
    ++m_bodyPieces;
    if (!error && hasTooManyPieces())
        error = http::error::body_limit;
    if (!error && endedWithLostConnection())
        error = m_writeError;
    // A server that sends fast leaves the watchdog's timer little time.
    m_overdue = !error && !m_parser->is_done() && RuntimeClock::now() >= m_endAt;
    if (m_overdue)
        error = asio::error::make_error_code(asio::error::operation_aborted);
    co_return error;
}

/// True when the body ended with the connection, but not in order.
///
/// The kernel reports a lost connection once: when the write of the request gets the error, the
/// read sees an end of the stream. The write's handler has run by then, since a context has one
/// thread. After an end in order the write gets broken_pipe, even if the peer then resets the
/// connection.
bool ClientExchange::endedWithLostConnection() const
{
    return m_parser->is_done() && m_parser->need_eof() && m_writeError
        && m_writeError != asio::error::broken_pipe;
}

void ClientExchange::expireAfter(Duration limit)
{
    const Duration left = m_endAt - RuntimeClock::now();
    m_watchdog->expireAfter(std::max(std::min(limit, left), Duration::zero()));
}

bool ClientExchange::hasTooManyPieces() const
{
    return m_bodyPieces > MaxSmallPieces + m_bodyBytes / MinBytesPerPiece;
}

asio::awaitable<Result<std::string_view>> ClientExchange::readPiece()
{
    const auto self = shared_from_this();
    while (!m_complete) {
        if (m_cancelled || !m_socket || !m_socket->is_open())
            co_return Result<std::string_view>(closeWithError(asio::error::operation_aborted));
        std::size_t bytesRead = 0;
        const boost::system::error_code error = co_await readSome(bytesRead);
        if (error)
            co_return Result<std::string_view>(closeWithError(error));
        if (m_parser->is_done())
            completeResponse();
        if (bytesRead > 0)
            co_return Result<std::string_view>(std::string_view(m_piece.data(), bytesRead));
    }
    co_return Result<std::string_view>(std::string_view());
}

asio::awaitable<Result<std::string>> ClientExchange::readAll()
{
    std::string body;
    while (true) {
        const Result<std::string_view> piece = co_await readPiece();
        if (!piece)
            co_return Result<std::string>(piece.error(), piece.message());
        if (piece->empty())
            co_return Result<std::string>(std::move(body));
        body += *piece;
    }
}

void ClientExchange::cancel()
{
    m_cancelled = true;
    boost::system::error_code ignored;
    if (m_socket)
        m_socket->close(ignored);
}

std::string ClientExchange::requestHead() const
{
    const HttpRequest &request = m_call.request;
    std::string text;
    const std::size_t bodyBytes = requestBody().size();
    text.reserve(512 + std::min(bodyBytes, MaxForegroundWriteBytes));
    text += request.method + " " + request.target + " HTTP/1.1\r\n";
    if (!request.headers.contains("Host"))
        text += "Host: " + m_call.address.host + ":" + std::to_string(m_call.address.port) + "\r\n";
    for (const HttpHeader &field : request.headers.fields())
        text += field.name + ": " + field.value + "\r\n";
    if (bodyBytes > 0 || request.method != "GET")
        text += "Content-Length: " + std::to_string(bodyBytes) + "\r\n";
    text += "\r\n";
    return text;
}

std::error_code ClientExchange::closeWithError(const boost::system::error_code &error)
{
    const bool timedOut = m_overdue || (m_watchdog && m_watchdog->expired());
    boost::system::error_code ignored;
    if (m_socket)
        m_socket->close(ignored);
    if (m_cancelled)
        return make_error_code(Error::Cancelled);
    if (timedOut)
        return make_error_code(Error::TimedOut);
    if (error == http::error::body_limit || error == http::error::header_limit
        || error == http::error::buffer_overflow)
        return make_error_code(Error::TooLarge);
    // bad_target stands for the category of all errors of Beast's HTTP parser.
    const bool parsing = error.category() == make_error_code(http::error::bad_target).category();
    const bool truncated
        = error == http::error::end_of_stream || error == http::error::partial_message;
    return make_error_code(parsing && !truncated ? Error::Malformed : Error::ConnectionLost);
}

void ClientExchange::completeResponse()
{
    m_complete = true;
    m_watchdog->stop();
    const bool reusable = m_parser->get().keep_alive() && m_buffer.size() == 0 && !m_writing
        && !m_writeError && echoesRequest();
    boost::system::error_code ignored;
    if (m_call.resetOnFailure)
        m_socket->set_option(asio::socket_base::linger(false, 0), ignored);
    if (reusable && m_socket->is_open())
        m_pool->put(m_call.address, m_call.echoedHeader.name, std::move(*m_socket),
                    keepAliveTimeout(m_headers.find("Keep-Alive")));
    m_socket.reset();
}

} // namespace gentianramp
