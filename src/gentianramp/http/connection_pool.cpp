#include "connection_pool.hpp"

#include "socket_options.hpp"

#include <boost/asio/execution/context.hpp>

namespace gentianramp {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

const void *contextOf(const asio::any_io_executor &executor)
{
    return &asio::query(executor, asio::execution::context);
}

} // namespace

ConnectionPool::ConnectionPool(HttpClientOptions options)
    : m_options(options)
{ }

std::optional<tcp::socket> ConnectionPool::take(const asio::any_io_executor &executor,
                                                const HttpAddress &address,
                                                const std::string &echoedHeader)
{
    const TimePoint now = RuntimeClock::now();
    const TimePoint oldest = now - m_options.maxIdleAge;
    const std::lock_guard lock(m_mutex);
    const auto found = m_idle.find({contextOf(executor), address, echoedHeader});
    if (found == m_idle.end())
        return std::nullopt;
    std::vector<Idle> &idle = found->second;
    while (!idle.empty()) {
        Idle last = std::move(idle.back());
        idle.pop_back();
        if (last.idleSince >= oldest && now < last.usableUntil && isOpenAndIdle(last.socket))
            return std::move(last.socket);
    }
    return std::nullopt;
}

void ConnectionPool::put(const HttpAddress &address, const std::string &echoedHeader,
                         tcp::socket socket, std::optional<Duration> keepAlive)
{
    if (!isOpenAndIdle(socket))
        return;
    const TimePoint now = RuntimeClock::now();
    const TimePoint usableUntil = keepAlive ? now + *keepAlive : TimePoint::max();
    const Key key{contextOf(socket.get_executor()), address, echoedHeader};
    const std::lock_guard lock(m_mutex);
    std::vector<Idle> &idle = m_idle[key];
    if (idle.size() < m_options.maxIdlePerAddress)
        idle.push_back({std::move(socket), now, usableUntil});
}

void ConnectionPool::closeOlderThan(TimePoint oldest)
{
    const std::lock_guard lock(m_mutex);
    for (auto &[key, idle] : m_idle)
        std::erase_if(idle, [&](const Idle &entry) { return entry.idleSince < oldest; });
    std::erase_if(m_idle, [](const auto &entry) { return entry.second.empty(); });
}

} // namespace gentianramp
