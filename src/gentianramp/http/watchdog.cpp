#include "watchdog.hpp"

#include <boost/asio/bind_executor.hpp>

namespace gentianramp {

namespace {

/// A composed operation that was between two reads when the deadline passed starts another one.
constexpr Duration RepeatedCancelDelay = std::chrono::milliseconds(10);

} // namespace

Watchdog::Watchdog(boost::asio::any_io_executor executor, boost::asio::ip::tcp::socket &socket)
    : m_executor(std::move(executor))
    , m_socket(&socket)
    , m_timer(m_executor)
{ }

void Watchdog::expireAfter(Duration delay, ExpiryAction action)
{
    if (m_action == ExpiryAction::CancelOperations)
        m_expired = false;
    m_action = action;
    m_deadline = RuntimeClock::now() + delay;
    if (m_deadline < m_timerAt)
        arm();
}

void Watchdog::clearDeadline() noexcept
{
    m_deadline = TimePoint::max();
}

void Watchdog::stop()
{
    m_socket = nullptr;
    m_deadline = TimePoint::max();
    m_timerAt = TimePoint::max();
    m_timer.cancel();
}

void Watchdog::arm()
{
    m_timerAt = m_deadline;
    m_timer.expires_at(m_deadline);
    auto handler = [self = shared_from_this()](const boost::system::error_code &error) {
        if (!error)
            self->onTimer();
    };
    m_timer.async_wait(boost::asio::bind_executor(m_executor, std::move(handler)));
}

void Watchdog::onTimer()
{
    m_timerAt = TimePoint::max();
    if (!m_socket || m_deadline == TimePoint::max())
        return;
    if (RuntimeClock::now() < m_deadline) {
        arm();
        return;
    }
    m_expired = true;
    boost::system::error_code ignored;
    if (m_action == ExpiryAction::Close) {
        m_socket->close(ignored);
        return;
    }
    m_socket->cancel(ignored);
    m_deadline = RuntimeClock::now() + RepeatedCancelDelay;
    arm();
}

} // namespace gentianramp
