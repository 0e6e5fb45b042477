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
    Duration connectTimeout = std::chrono::seconds(1);
    Duration headTimeout = std::chrono::seconds(30);    ///< From the request to the answer's head.
    Duration silenceTimeout = std::chrono::seconds(10); ///< Longest wait for the next bytes.
    std::size_t maxBodyBytes = 64 * 1024 * 1024;        ///< Of the answer.
    /// Never take a pooled connection; needed for requests that must not be repeated, since a
    /// pooled connection may be half dead.
    bool freshConnection = false;
    /// Header that the server echoes: an answer with another value belongs to an earlier request
    /// on the connection and is passed over. An empty name switches it off.
    HttpHeader echoedHeader;
    /// Asked directly before the first byte is sent; false ends with Error::ConnectionRefused.
    std::function<bool()> mayStart;
};

/// One request and its answer; used on the executor of the coroutine that opens it.
///
/// Error::ConnectionRefused says that no byte of the request reached the server. After every
/// other error the server may have processed the request.
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;

    /// Sends the request and waits for the head of the answer.
    virtual boost::asio::awaitable<std::error_code> open() = 0;
    virtual unsigned status() const = 0;
    virtual const HttpHeaders &headers() const = 0;
    /// Next bytes of the body, as soon as there are some; empty at the end of the whole body.
    /// The view holds until the next call.
    virtual boost::asio::awaitable<Result<std::string_view>> readPiece() = 0;
    /// Rest of the body; an error when it ends before its declared length.
    virtual boost::asio::awaitable<Result<std::string>> readAll() = 0;
    /// True when the whole body was read.
    virtual bool complete() const = 0;
    /// Changes the bound on silence for the calls that follow.
    virtual void setSilenceTimeout(Duration timeout) = 0;
    /// Closes the connection; pending calls return Error::Cancelled.
    virtual void cancel() = 0;
    /// True once bytes of the request may have left.
    virtual bool anyBytesWritten() const = 0;
};

/// Options of an HttpClient.
struct HttpClientOptions
{
    Duration maxIdleAge = std::chrono::seconds(20); ///< Older pooled connections are closed.
    std::size_t maxIdlePerAddress = 64;             ///< For each thread's executor.
    std::uint32_t maxHeaderBytes = 32 * 1024;       ///< Of an answer.
};

/// HTTP/1.1 client with a pool of connections; may be used from any thread.
class HttpClient
{
public:
    explicit HttpClient(HttpClientOptions options = {});
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Makes an exchange that has not started. It may outlive the client.
    std::shared_ptr<HttpExchange> exchange(HttpCall call);
    /// Sends the request and reads the whole answer.
    boost::asio::awaitable<Result<HttpResponse>> request(HttpCall call);
    /// Closes pooled connections that are too old.
    void closeIdle();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gentianramp
