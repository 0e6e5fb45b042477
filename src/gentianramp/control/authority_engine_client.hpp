#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <gentianramp/authority/engine_order.hpp>
#include <gentianramp/authority/order_gate.hpp>
#include <gentianramp/core/error.hpp>
#include <gentianramp/http/client.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace gentianramp {

/// Reads the body of GET /engine/state; Error::Malformed when it is none.
Result<EngineReport> parseEngineState(const BackendId &backend, std::string_view body);
/// Body of POST /engine/order.
std::string orderBody(const SentOrder &order);

/// What became of an order that was handed to an engine.
struct OrderResult
{
    bool sent = true;                     ///< False when no byte left.
    bool answered = false;                ///< The engine answered.
    bool accepted = false;                ///< The order took effect.
    std::optional<FencingNumber> fencing; ///< Number that the engine named.
};

/// Calls of docs/ENGINE-PROTOCOL.md that the holder of the lease makes.
class AuthorityEngineClient
{
public:
    /// Orders are given up after @p orderTimeout.
    AuthorityEngineClient(HttpClient &client, Duration orderTimeout);

    boost::asio::awaitable<Result<EngineReport>> state(BackendId backend, HttpAddress address);
    /// Sends @p order unless @p maySend refuses directly before the first byte.
    boost::asio::awaitable<OrderResult> send(SentOrder order, HttpAddress address,
                                             std::function<bool()> maySend);

private:
    HttpClient &m_client;
    Duration m_orderTimeout;
};

} // namespace gentianramp
