#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/metrics.hpp>
#include <gentianramp/http/client.hpp>
#include <gentianramp/relay/relay_service.hpp>
#include <map>
#include <optional>

namespace gentianramp {

/// Fetches newer declarations from other instances, so that both sides of a hand-over decide a
/// request alike while one of them does not reach the registry. Used on one thread.
class DeclarationExchange
{
public:
    /// @p client, @p peers and @p fetched have to outlive the exchange.
    DeclarationExchange(boost::asio::any_io_executor executor, HttpClient &client,
                        const PeerHooks &peers, std::function<std::uint64_t()> numberInForce,
                        Counter &fetched);

    /// Fetches the declaration of @p source unless the one in force has @p number or a higher one;
    /// false when it is still older afterwards. Takes half a second at most, and asks an instance
    /// that failed again only after a pause.
    boost::asio::awaitable<bool> catchUp(InstanceId source, std::uint64_t number);
    /// The answer to an instance that asks for the declaration in force.
    HttpResponse answer() const;

private:
    boost::asio::awaitable<void> fetch(const InstanceId &source, std::uint64_t number);
    bool isBehind(std::uint64_t number) const;
    void endFetch();

    boost::asio::any_io_executor m_executor;
    HttpClient &m_client;
    const PeerHooks &m_peers;
    std::function<std::uint64_t()> m_numberInForce;
    Counter &m_fetched;
    std::optional<InstanceId> m_source; ///< Instance that is being asked.
    Timer m_fetchEnd;                   ///< Cancelled as a fetch ends.
    std::map<InstanceId, TimePoint> m_failedAt;
};

} // namespace gentianramp
