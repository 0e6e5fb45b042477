#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/http/client.hpp>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace gentianramp {

/// Idle connections to servers, kept apart for each execution context.
class ConnectionPool
{
public:
    explicit ConnectionPool(HttpClientOptions options);

    /// An open connection of @p executor's context, or none.
    std::optional<boost::asio::ip::tcp::socket> take(const boost::asio::any_io_executor &executor,
                                                     const HttpAddress &address);
    /// Keeps @p socket; @p keepAlive is how long the server says that it keeps it.
    void put(const HttpAddress &address, boost::asio::ip::tcp::socket socket,
             std::optional<Duration> keepAlive = std::nullopt);
    void closeOlderThan(TimePoint oldest);

private:
    struct Key
    {
        const void *context = nullptr;
        HttpAddress address;
        auto operator<=>(const Key &) const = default;
    };
    struct Idle
    {
        boost::asio::ip::tcp::socket socket;
        TimePoint since;
        TimePoint until; ///< The server may close it afterwards.
    };

    HttpClientOptions m_options;
    std::mutex m_mutex;
    std::map<Key, std::vector<Idle>> m_idle;
};

} // namespace gentianramp
