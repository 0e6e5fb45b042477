#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <gentianramp/core/clock.hpp>
#include <memory>

namespace gentianramp {

/// Closes a socket when its deadline passes; used only on one executor.
///
/// Moving the deadline later costs one store, so it can be moved for every read.
class Watchdog : public std::enable_shared_from_this<Watchdog>
{
public:
    Watchdog(boost::asio::any_io_executor executor, boost::asio::ip::tcp::socket &socket);

    /// Sets the deadline to @p delay from now.
    void expireAfter(Duration delay);
    /// Lets the socket be until the next expireAfter().
    void pause() noexcept;
    /// Ends the watch for good; the socket may go away afterwards.
    void stop();
    /// True when the deadline passed and the socket was closed.
    bool expired() const noexcept { return m_expired; }

private:
    void arm();
    void wake();

    boost::asio::any_io_executor m_executor;
    boost::asio::ip::tcp::socket *m_socket;
    Timer m_timer;
    TimePoint m_deadline = TimePoint::max();
    TimePoint m_armedFor = TimePoint::max();
    bool m_expired = false;
};

} // namespace gentianramp
