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

/// One attempt of a request at a backend server.
struct BackendCall
{
    HttpAddress address;
    RequestId request;
    Attempt attempt{1}; ///< As the backend server sees it; never the same for two attempts.
    std::uint32_t priority = 0;
    IdempotencyKey key; ///< Empty when the caller gave none.
    std::string method = "POST";
    std::string target;
    std::string contentType = "application/json";
    std::string body;
    Duration headTimeout = std::chrono::seconds(30);
    Duration silenceTimeout = std::chrono::seconds(5);
    bool repeatable = true; ///< False: takes a fresh connection.
    /// Asked directly before the first byte is sent; false keeps the call from being sent.
    std::function<bool()> mayStart;
};

/// How the start of a BackendCall went.
enum class CallStart {
    Answering, ///< The head of the answer to this very attempt is here.
    NotSent,   ///< No byte reached the backend server.
    Refused,   ///< The backend server says that it did not run the request.
    Crossed,   ///< The answer belongs to another request or attempt and is dropped.
    Broken,    ///< The connection was lost or the answer malformed.
    Silent,    ///< No answer within the bound.
    Cancelled,
};

std::string_view toString(CallStart start);

/// A BackendCall on its way; used on the executor of the coroutine that starts it.
class BackendExchange
{
public:
    BackendExchange(HttpClient &client, BackendCall call);

    boost::asio::awaitable<CallStart> start();
    /// The answer; for CallStart::Answering.
    HttpExchange &answer() { return *m_exchange; }
    /// Phase that the backend server stated when it refused.
    std::optional<BackendPhase> statedPhase() const { return m_statedPhase; }
    /// True unless it is certain that the backend server did not run the request.
    bool mayHaveRun() const { return m_mayHaveRun; }
    /// Closes the connection, which also tells the backend server to stop.
    void cancel();

private:
    CallStart judge();
    bool belongsHere(bool refusal) const;

    std::shared_ptr<HttpExchange> m_exchange;
    RequestId m_request;
    Attempt m_attempt;
    std::optional<BackendPhase> m_statedPhase;
    bool m_mayHaveRun = false;
};

/// Phase that @p text names in the protocol to backend servers.
std::optional<BackendPhase> parseBackendPhase(std::string_view text);
std::string_view toString(BackendPhase phase);

/// Asks a backend server to stop an attempt; the answer does not matter.
boost::asio::awaitable<void> cancelAttempt(HttpClient &client, HttpAddress address,
                                           RequestId request, Attempt attempt);

} // namespace gentianramp
