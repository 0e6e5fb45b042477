#pragma once

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
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

/// A caller on the test's own thread whose reads and writes do not wait.
class PlainCaller
{
public:
    explicit PlainCaller(std::uint16_t port, int receiveBufferBytes = 0)
        : m_socket(m_context, boost::asio::ip::tcp::v4())
    {
        if (receiveBufferBytes > 0)
            m_socket.set_option(boost::asio::socket_base::receive_buffer_size(receiveBufferBytes));
        m_socket.connect({boost::asio::ip::address_v4::loopback(), port});
        m_socket.non_blocking(true);
    }

    /// Returns the number of bytes that the kernel took.
    std::size_t write(std::string_view bytes)
    {
        if (bytes.empty())
            return 0;
        boost::system::error_code error;
        return m_socket.write_some(boost::asio::buffer(bytes), error);
    }

    void close() { m_socket.close(); }

    /// Reads a few kilobytes at most.
    void readPart()
    {
        boost::system::error_code error;
        m_received.append(m_part.data(), m_socket.read_some(boost::asio::buffer(m_part), error));
        m_ended = error && error != boost::asio::error::would_block;
        m_reset = m_ended && error != boost::asio::error::eof;
    }

    const std::string &received() const { return m_received; }
    bool ended() const { return m_ended; }
    bool reset() const { return m_reset; }

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket;
    std::array<char, 4096> m_part{};
    std::string m_received;
    bool m_ended = false;
    bool m_reset = false;
};

/// Stops the runtime's clock for the time of a test.
class PausedClock
{
public:
    PausedClock() { RuntimeClock::pause(); }
    ~PausedClock() { RuntimeClock::resume(); }
    PausedClock(const PausedClock &) = delete;
    PausedClock &operator=(const PausedClock &) = delete;
};

} // namespace gentianramp
