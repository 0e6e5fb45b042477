#include "raw_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <set>

namespace gentianramp {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

std::size_t contentLength(const std::string &head)
{
    const std::size_t at = head.find("Content-Length: ");
    return at == std::string::npos ? 0 : std::stoul(head.substr(at + 16));
}

} // namespace

std::string joined(std::initializer_list<std::string_view> parts)
{
    std::string result;
    for (const std::string_view part : parts)
        result += part;
    return result;
}

struct RawServer::State : std::enable_shared_from_this<RawServer::State>
{
    State(asio::io_context &context, Script answers, int receiveBufferBytes)
        : script(std::move(answers))
        , acceptor(context, {asio::ip::address_v4::loopback(), 0})
    {
        // Accepted sockets inherit the size.
        if (receiveBufferBytes > 0)
            acceptor.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes));
    }

    asio::awaitable<void> accept()
    {
        const auto self = shared_from_this();
        for (;;) {
            boost::system::error_code error;
            const auto socket = std::make_shared<tcp::socket>(
                co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error)));
            if (error)
                co_return;
            ++connections;
            sockets.insert(socket);
            asio::co_spawn(acceptor.get_executor(), serve(socket, connections), asio::detached);
        }
    }

    asio::awaitable<void> serve(std::shared_ptr<tcp::socket> socket, int number)
    {
        const auto self = shared_from_this();
        bool more = true;
        while (more)
            more = co_await answerOne(*socket, number);
        boost::system::error_code ignored;
        socket->close(ignored);
        sockets.erase(socket);
    }

    /// Answers the next request; false when the connection has ended.
    asio::awaitable<bool> answerOne(tcp::socket &socket, int number)
    {
        boost::system::error_code error;
        std::string received;
        const std::size_t length
            = co_await asio::async_read_until(socket, asio::dynamic_buffer(received), "\r\n\r\n",
                                              asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return false;
        const std::string head = received.substr(0, length);
        const std::size_t total = length + contentLength(head);
        const auto readBody = [&]() -> asio::awaitable<void> {
            if (received.size() < total)
                co_await asio::async_read(socket, asio::dynamic_buffer(received),
                                          asio::transfer_exactly(total - received.size()),
                                          asio::redirect_error(asio::use_awaitable, error));
        };
        lastConnection = number;
        const RawAnswer answer = script(head);
        if (!answer.early)
            co_await readBody();
        co_await asio::async_write(socket, asio::buffer(answer.bytes),
                                   asio::redirect_error(asio::use_awaitable, error));
        if (!answer.late.empty()) {
            co_await sleepFor(answer.lateAfter);
            co_await asio::async_write(socket, asio::buffer(answer.late),
                                       asio::redirect_error(asio::use_awaitable, error));
        }
        if (answer.end == AnswerEnd::KeepOpen) {
            co_await readBody();
            co_return !error;
        }
        if (answer.end == AnswerEnd::Finish || answer.end == AnswerEnd::FinishAndReset)
            socket.shutdown(tcp::socket::shutdown_send, error);
        if (answer.end == AnswerEnd::Finish) {
            std::string rest;
            co_await asio::async_read(socket, asio::dynamic_buffer(rest),
                                      asio::redirect_error(asio::use_awaitable, error));
        }
        if (answer.end == AnswerEnd::Reset && answer.resetAfter > Duration::zero())
            co_await sleepFor(answer.resetAfter);
        if (answer.end == AnswerEnd::Reset || answer.end == AnswerEnd::FinishAndReset)
            socket.set_option(asio::socket_base::linger(true, 0), error);
        endlessAnswers += answer.end == AnswerEnd::Endless ? 1 : 0;
        while (answer.end == AnswerEnd::Endless && !error) {
            if (answer.fillerInterval > Duration::zero())
                co_await sleepFor(answer.fillerInterval);
            fillerBytes
                += co_await asio::async_write(socket, asio::buffer(answer.filler),
                                              asio::redirect_error(asio::use_awaitable, error));
        }
        endlessAnswers -= answer.end == AnswerEnd::Endless ? 1 : 0;
        co_return false;
    }

    Script script;
    tcp::acceptor acceptor;
    std::set<std::shared_ptr<tcp::socket>> sockets;
    int connections = 0;
    int lastConnection = 0;
    int endlessAnswers = 0;
    std::size_t fillerBytes = 0;
};

RawServer::RawServer(asio::io_context &context, Script script, int receiveBufferBytes)
    : m_state(std::make_shared<State>(context, std::move(script), receiveBufferBytes))
{
    asio::co_spawn(context, m_state->accept(), asio::detached);
}

RawServer::~RawServer()
{
    boost::system::error_code ignored;
    m_state->acceptor.close(ignored);
    for (const auto &socket : m_state->sockets)
        socket->close(ignored);
}

std::uint16_t RawServer::port() const
{
    return m_state->acceptor.local_endpoint().port();
}

int RawServer::connections() const
{
    return m_state->connections;
}

int RawServer::lastConnection() const
{
    return m_state->lastConnection;
}

int RawServer::openConnections() const
{
    return static_cast<int>(m_state->sockets.size());
}

int RawServer::endlessAnswers() const
{
    return m_state->endlessAnswers;
}

std::size_t RawServer::fillerBytes() const
{
    return m_state->fillerBytes;
}

} // namespace gentianramp
