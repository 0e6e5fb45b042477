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

/// Parses the response body of GET /engine/state; Error::Malformed when it is not valid.
Result<EngineReport> parseEngineState(const BackendId &backend, std::string_view body);
/// Request body of POST /engine/order.
std::string orderBody(const SentOrder &order);

/// Outcome of the attempt to send an order to an engine.
struct OrderResult
{
    bool sent = true;                     ///< False when no byte of the order was sent.
    bool answered = false;                ///< The engine answered.
    bool accepted = false;                ///< The order took effect.
    std::optional<FencingNumber> fencing; ///< Fencing number in the engine's answer.
};

/// Client for the calls of the lease holder to engines (docs/ENGINE-PROTOCOL.md).
class AuthorityEngineClient
{
public:
    /// An order is abandoned within @p orderTimeout.
    AuthorityEngineClient(HttpClient &client, Duration orderTimeout);

    boost::asio::awaitable<Result<EngineReport>> state(BackendId backend, HttpAddress address);
    /// Sends @p order. @p maySend is called directly before the first byte is sent; when it returns
    /// false, nothing is sent.
    boost::asio::awaitable<OrderResult> send(SentOrder order, HttpAddress address,
                                             std::function<bool()> maySend);

private:
    HttpClient &m_client;
    Duration m_orderTimeout;
};

} // namespace gentianramp
