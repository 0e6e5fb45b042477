#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/http/client.hpp>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace gentianramp {

/// Idle connections to servers. A connection is reused only within its execution context, and only
/// for calls with the same echoed header: a late response to a call without one could not be told
/// from the response to the next call.
class ConnectionPool
{
public:
    explicit ConnectionPool(HttpClientOptions options);

    /// Removes and returns an open connection of @p executor's context, if there is one.
    std::optional<boost::asio::ip::tcp::socket> take(const boost::asio::any_io_executor &executor,
                                                     const HttpAddress &address,
                                                     const std::string &echoedHeader);
    /// Adds @p socket to the pool, or closes it when it has unread bytes or maxIdlePerAddress is
    /// reached; @p keepAlive is how long the server announced to keep an idle connection open.
    void put(const HttpAddress &address, const std::string &echoedHeader,
             boost::asio::ip::tcp::socket socket, std::optional<Duration> keepAlive = std::nullopt);
    void closeOlderThan(TimePoint oldest);

private:
    struct Key
    {
        const void *context = nullptr;
        HttpAddress address;
        std::string echoedHeader;
        auto operator<=>(const Key &) const = default;
    };
    struct Idle
    {
        boost::asio::ip::tcp::socket socket;
        TimePoint idleSince;
        TimePoint usableUntil; ///< The server may close the connection from then on.
    };

    HttpClientOptions m_options;
    std::mutex m_mutex;
    std::map<Key, std::vector<Idle>> m_idle;
};

} // namespace gentianramp
