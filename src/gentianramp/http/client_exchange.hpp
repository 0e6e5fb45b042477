#pragma once

#include "connection_pool.hpp"
#include "watchdog.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <gentianramp/http/client.hpp>
#include <optional>

namespace gentianramp {

/// HttpExchange over a pooled or new TCP connection.
class ClientExchange : public HttpExchange, public std::enable_shared_from_this<ClientExchange>
{
public:
    ClientExchange(HttpCall call, const HttpClientOptions &options,
                   std::shared_ptr<ConnectionPool> pool);
    ~ClientExchange() override;

    boost::asio::awaitable<std::error_code> open() override;
    unsigned status() const override { return m_status; }
    const HttpHeaders &headers() const override { return m_headers; }
    boost::asio::awaitable<Result<std::string_view>> readPiece() override;
    boost::asio::awaitable<Result<std::string>> readAll() override;
    bool complete() const override { return m_complete; }
    void setSilenceTimeout(Duration timeout) override { m_call.silenceTimeout = timeout; }
    void limitRest(Duration left) override
    {
        m_endAt = std::min(m_endAt, RuntimeClock::now() + left);
    }
    void cancel() override;
    bool anyBytesWritten() const override { return m_anyBytesWritten; }
    bool refusedByPeer() const override { return m_refusedByPeer; }

private:
    static constexpr std::size_t PieceBytes = 8192;
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    boost::asio::awaitable<std::error_code> connect();
    boost::asio::awaitable<std::error_code> writeRequest();
    boost::asio::awaitable<std::error_code> writeInBackground(std::string head);
    boost::asio::awaitable<std::error_code> readHead();
    boost::asio::awaitable<std::error_code> readOneHead(Duration limit);
    boost::asio::awaitable<std::error_code> skipBody();
    boost::asio::awaitable<boost::system::error_code> readSome(std::size_t &bytesRead);
    bool isResponseToEarlierRequest() const;
    bool echoesRequest() const;
    bool mayHaveBody() const;
    bool hasOtherTransferCoding() const;
    bool isInterimResponse() const { return m_status >= 100 && m_status < 200; }
    /// Limits the next operation to @p limit and to what is left of the whole call.
    void expireAfter(Duration limit);
    bool endedWithLostConnection() const;
    /// True when the body came in far more pieces than bytes of a sound server do.
    bool hasTooManyPieces() const;
    void resetParser();
    std::string requestHead() const;
    const std::string &requestBody() const
    {
        return m_call.sharedBody ? *m_call.sharedBody : m_call.request.body;
    }
    /// Closes the socket; returns the Error that @p error stands for.
    std::error_code closeWithError(const boost::system::error_code &error);
    void completeResponse();

    HttpCall m_call;
    std::shared_ptr<ConnectionPool> m_pool;
    std::optional<boost::asio::ip::tcp::socket> m_socket;
    std::shared_ptr<Watchdog> m_watchdog;
    boost::beast::flat_buffer m_buffer;
    std::optional<Parser> m_parser;
    std::uint32_t m_maxHeaderBytes = 0;
    std::string m_piece;
    TimePoint m_endAt = TimePoint::max(); ///< End of the whole call.
    std::uint64_t m_bodyBytes = 0;        ///< Of all responses read, skipped ones too.
    std::uint64_t m_bodyPieces = 0;
    bool m_overdue = false; ///< The whole call took too long.
    unsigned m_status = 0;
    HttpHeaders m_headers;
    bool m_cancelled = false;
    bool m_anyBytesWritten = false;
    bool m_complete = false;
    bool m_refusedByPeer = false;
    bool m_reused = false;                  ///< The connection comes from the pool.
    bool m_writing = false;                 ///< The request is being written in the background.
    boost::system::error_code m_writeError; ///< Of the write in the background.
};

} // namespace gentianramp
