#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/error.hpp>
#include <gentianramp/http/address.hpp>
#include <gentianramp/http/message.hpp>
#include <memory>
#include <string>

namespace gentianramp {

/// A request to a server with its time limits.
struct HttpCall
{
    HttpAddress address;
    HttpRequest request;
    /// Sent in place of the request's body, if it is set. The calls for one request share it, so
    /// that a large body is held once.
    std::shared_ptr<const std::string> sharedBody;
    Duration connectTimeout = std::chrono::seconds(1);
    Duration headTimeout
        = std::chrono::seconds(30); ///< From sending the request to its response head.
    /// Longest wait for the next bytes of the body, for writing a short request and for the peer to
    /// acknowledge sent data (TCP_USER_TIMEOUT).
    Duration silenceTimeout = std::chrono::seconds(10);
    /// From HttpExchange::open() to the end of the body, however steadily bytes arrive.
    /// HttpClient::request() replaces Duration::max() by the sum of the other limits.
    Duration totalTimeout = Duration::max();
    std::size_t maxBodyBytes = 64 * 1024 * 1024; ///< Of the response.
    /// Opens a new connection instead of reusing a pooled one. Needed for requests that must not be
    /// repeated, since the server may already have closed a pooled connection.
    bool freshConnection = false;
    /// Resets the connection unless the call succeeds, so that the kernel does not send the rest of
    /// the request later. For calls that must not arrive after their time.
    bool resetOnFailure = false;
    /// Header that the server copies from the request into its response. A response with another
    /// value is a late response to an earlier request on the same connection and is skipped. A
    /// response without the header is accepted on a new connection, which is closed after it, and
    /// is Error::Malformed on a reused one. An empty name turns the check off.
    HttpHeader echoedHeader;
    /// Called directly before the first byte of the request is written. When it returns false,
    /// nothing is sent and HttpExchange::open() returns Error::ConnectionRefused.
    std::function<bool()> mayStart;
};

/// One request and its response; used only on the executor of the coroutine that calls open().
///
/// Error::ConnectionRefused means that no byte of the request was sent, whatever the cause: the
/// connection failed, the host is not an IP address, mayStart returned false or cancel() was called
/// before the connection was made. After any other error the server may have processed the request.
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;

    /// Connects, or reuses a pooled connection, sends the request and waits for the response head.
    virtual boost::asio::awaitable<std::error_code> open() = 0;
    /// Status of the response, from 200 to 599; a response with another one is Error::Malformed.
    virtual unsigned status() const = 0;
    virtual const HttpHeaders &headers() const = 0;
    /// Waits for the next bytes of the body; returns an empty view at the end of the body. The view
    /// is valid until the next call.
    virtual boost::asio::awaitable<Result<std::string_view>> readPiece() = 0;
    /// Reads the rest of the body; fails when the body is truncated.
    virtual boost::asio::awaitable<Result<std::string>> readAll() = 0;
    /// True once the whole body has been read.
    virtual bool complete() const = 0;
    /// Replaces HttpCall::silenceTimeout for the following calls.
    virtual void setSilenceTimeout(Duration timeout) = 0;
    /// Ends the call after @p left at the latest.
    virtual void limitRest(Duration left) = 0;
    /// Closes the connection. Pending calls return Error::Cancelled, or Error::ConnectionRefused
    /// while the connection is still being made.
    virtual void cancel() = 0;
    /// True once bytes of the request may have been sent.
    virtual bool anyBytesWritten() const = 0;
    /// True when the connection was refused at the address: the machine runs, but nothing listens.
    virtual bool refusedByPeer() const = 0;
};

/// Options of an HttpClient.
struct HttpClientOptions
{
    Duration maxIdleAge = std::chrono::seconds(20); ///< Older pooled connections are closed.
    std::size_t maxIdlePerAddress = 64;             ///< Per execution context and address.
    std::uint32_t maxHeaderBytes = 32 * 1024;       ///< Of a response.
};

/// HTTP/1.1 client with a connection pool; may be used from any thread.
class HttpClient
{
public:
    explicit HttpClient(HttpClientOptions options = {});
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Creates an exchange; nothing is sent before HttpExchange::open(). The exchange may outlive
    /// the client.
    std::shared_ptr<HttpExchange> exchange(HttpCall call);
    /// Sends the request and reads the whole response.
    boost::asio::awaitable<Result<HttpResponse>> request(HttpCall call);
    /// Closes pooled connections that have been idle for longer than maxIdleAge.
    void closeIdle();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gentianramp
