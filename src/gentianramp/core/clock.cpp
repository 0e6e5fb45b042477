#include <gentianramp/core/clock.hpp>

#include <algorithm>
#include <atomic>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <ctime>
#include <limits>

namespace gentianramp {

namespace {

constexpr std::int64_t RunningMark = std::numeric_limits<std::int64_t>::min();
constexpr Duration PausedPollInterval = std::chrono::milliseconds(1);

std::atomic<std::int64_t> pausedAtNs{RunningMark};

Duration toDuration(const timespec &time) noexcept
{
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

std::int64_t steadyNowNs() noexcept
{
    timespec sinceBoot{};
    clock_gettime(CLOCK_BOOTTIME, &sinceBoot);
    return toDuration(sinceBoot).count();
}

} // namespace

TimePoint RuntimeClock::now() noexcept
{
    const std::int64_t pausedAt = pausedAtNs.load(std::memory_order_acquire);
    return TimePoint(Duration(pausedAt == RunningMark ? steadyNowNs() : pausedAt));
}

void RuntimeClock::pause() noexcept
{
    std::int64_t expected = RunningMark;
    pausedAtNs.compare_exchange_strong(expected, steadyNowNs(), std::memory_order_acq_rel);
}

void RuntimeClock::advance(duration step) noexcept
{
    if (paused())
        pausedAtNs.fetch_add(step.count(), std::memory_order_acq_rel);
}

void RuntimeClock::resume() noexcept
{
    pausedAtNs.store(RunningMark, std::memory_order_release);
}

bool RuntimeClock::paused() noexcept
{
    return pausedAtNs.load(std::memory_order_acquire) != RunningMark;
}

Duration RuntimeClockWaitTraits::to_wait_duration(const Duration &remaining)
{
    // A paused clock does not wake Asio when a test advances it, so Asio has to look again.
    return RuntimeClock::paused() ? std::min(remaining, PausedPollInterval) : remaining;
}

Duration RuntimeClockWaitTraits::to_wait_duration(const TimePoint &expiry)
{
    return to_wait_duration(expiry - RuntimeClock::now());
}

boost::asio::awaitable<void> sleepFor(Duration delay)
{
    Timer timer(co_await boost::asio::this_coro::executor);
    timer.expires_after(delay);
    boost::system::error_code ignored;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

std::int64_t wallClockMs()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

std::int64_t toMilliseconds(Duration value)
{
    return std::chrono::floor<std::chrono::milliseconds>(value).count();
}

} // namespace gentianramp
