#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <gentianramp/core/clock.hpp>
#include <memory>

namespace gentianramp {

/// What a Watchdog does to its socket when the deadline passes.
enum class ExpiryAction {
    Close,
    CancelOperations, ///< The socket stays open; operations are cancelled until the next call.
};

/// Acts on a socket when a deadline passes; used only on one executor.
///
/// Postponing the deadline only stores it and leaves the timer as it is, so it is cheap enough for
/// every read.
class Watchdog : public std::enable_shared_from_this<Watchdog>
{
public:
    Watchdog(boost::asio::any_io_executor executor, boost::asio::ip::tcp::socket &socket);

    /// Sets the deadline to @p delay from now.
    void expireAfter(Duration delay, ExpiryAction action = ExpiryAction::Close);
    /// Removes the deadline until the next expireAfter().
    void clearDeadline() noexcept;
    /// Stops permanently; the socket may be destroyed afterwards.
    void stop();
    /// True when the socket was closed, or the last deadline passed.
    bool expired() const noexcept { return m_expired; }

private:
    void arm();
    void onTimer();

    boost::asio::any_io_executor m_executor;
    boost::asio::ip::tcp::socket *m_socket;
    Timer m_timer;
    ExpiryAction m_action = ExpiryAction::Close;
    TimePoint m_deadline = TimePoint::max();
    TimePoint m_timerAt = TimePoint::max(); ///< When the timer fires; not later than m_deadline.
    bool m_expired = false;
};

} // namespace gentianramp
