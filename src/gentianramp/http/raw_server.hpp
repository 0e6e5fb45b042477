#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <gentianramp/core/clock.hpp>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>

namespace gentianramp {

/// Concatenates the parts of an answer.
std::string joined(std::initializer_list<std::string_view> parts);

/// How a RawServer's connection goes on after an answer.
enum class AnswerEnd {
    KeepOpen, ///< The next request is read.
    Finish,   ///< Closed in order, with everything sent.
    Reset,
    FinishAndReset, ///< Closed in order, with everything sent, and reset at once.
    Endless,        ///< Sends RawAnswer::filler again and again until the peer closes.
};

/// Bytes of an answer, sent as they are.
struct RawAnswer
{
    std::string bytes;
    AnswerEnd end = AnswerEnd::KeepOpen;
    std::string filler;
    Duration fillerInterval{};
    std::string late; ///< Sent lateAfter the other bytes, before the next request is read.
    Duration lateAfter{};
    bool early = false; ///< Sent before the request's body is read.
    /// Time in which the peer can read what was sent before the connection is reset.
    Duration resetAfter = std::chrono::milliseconds(30);
};

/// A server for tests that sends any bytes on a free port of loopback.
class RawServer
{
public:
    /// Called with the head of each request.
    using Script = std::function<RawAnswer(const std::string &head)>;

    /// @p receiveBufferBytes replaces the kernel's choice unless it is 0.
    RawServer(boost::asio::io_context &context, Script script, int receiveBufferBytes = 0);
    ~RawServer();
    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    std::uint16_t port() const;
    int connections() const; ///< Accepted so far.
    /// Number of the connection, from 1, whose request was read last; for use in the script.
    int lastConnection() const;
    int openConnections() const;
    int endlessAnswers() const;      ///< Still being sent.
    std::size_t fillerBytes() const; ///< Sent by endless answers.

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gentianramp
