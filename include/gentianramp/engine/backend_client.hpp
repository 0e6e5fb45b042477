#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <gentianramp/core/ids.hpp>
#include <gentianramp/http/client.hpp>
#include <gentianramp/routing/fleet_view.hpp>
#include <memory>
#include <optional>
#include <string>

namespace gentianramp {

/// One attempt to run a request at a backend server.
struct BackendCall
{
    HttpAddress address;
    RequestId request;
    Attempt attempt{1}; ///< Sent to the backend server; differs for all attempts of a request.
    std::uint32_t priority = 0;
    IdempotencyKey key; ///< Empty when the caller gave none.
    std::string method = "POST";
    std::string target;
    std::string contentType = "application/json";
    std::string body;
    /// Sent in place of `body`, if it is set.
    std::shared_ptr<const std::string> sharedBody;
    Duration headTimeout = std::chrono::seconds(30);
    Duration silenceTimeout = std::chrono::seconds(5);
    /// False for requests that must not run twice: a pooled connection may be half closed, and then
    /// it is not known whether the request ran.
    bool mayReuseConnection = true;
    /// Called directly before the first byte is sent; false ends the call with NotSent.
    std::function<bool()> mayStart;
};

/// Outcome of BackendExchange::start().
enum class StartOutcome {
    Answering,  ///< The head of the answer, or of a final refusal, to this attempt was received.
    NotSent,    ///< No byte reached the backend server.
    Refused,    ///< Not run by the backend server; another one may serve it.
    Mismatched, ///< The answer carries another request id or attempt and is dropped.
    Broken,     ///< The connection was lost or the answer was malformed.
    Silent,     ///< No answer within the time-out.
    Cancelled,
};

std::string_view toString(StartOutcome outcome);

/// A BackendCall in progress; used on the executor of the coroutine that starts it.
class BackendExchange
{
public:
    BackendExchange(HttpClient &client, BackendCall call);

    boost::asio::awaitable<StartOutcome> start();
    /// The answer; valid after StartOutcome::Answering.
    HttpExchange &answer() { return *m_exchange; }
    /// Phase in the header of a refusal, if any.
    std::optional<BackendPhase> statedPhase() const { return m_statedPhase; }
    /// True unless it is certain, by a refusal or unsent bytes, that the request was not run.
    bool mayHaveRun() const { return m_mayHaveRun; }
    /// Closes the connection, which also makes the backend server stop.
    void cancel();

private:
    StartOutcome classifyAnswer();
    bool matchesRequest(bool refusal) const;

    std::shared_ptr<HttpExchange> m_exchange;
    RequestId m_request;
    Attempt m_attempt;
    std::optional<BackendPhase> m_statedPhase;
    bool m_mayHaveRun = false;
};

/// Parses the name of a phase in the protocol with backend servers.
std::optional<BackendPhase> parseBackendPhase(std::string_view text);
std::string_view toString(BackendPhase phase);

/// Asks a backend server to stop an attempt; ignores the answer.
boost::asio::awaitable<void> cancelAttempt(HttpClient &client, HttpAddress address,
                                           RequestId request, Attempt attempt);

} // namespace gentianramp
