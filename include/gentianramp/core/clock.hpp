#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <chrono>
#include <cstdint>

namespace gentianramp {

/// Monotonic clock of the runtime; tests pause it and advance it by hand.
///
/// Daemons read CLOCK_BOOTTIME through it, which also counts the time in which the machine is
/// suspended: leases and ages of messages must not outlive a suspension. All timers and deadlines
/// of the project use it.
class RuntimeClock
{
public:
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<RuntimeClock, duration>;
    static constexpr bool is_steady = true;

    /// Current time; stands still while the clock is paused.
    static time_point now() noexcept;

    /// Stops the clock at the present time.
    static void pause() noexcept;

    /// Moves a paused clock forward by @p step.
    static void advance(duration step) noexcept;

    /// Lets the clock follow CLOCK_BOOTTIME again.
    static void resume() noexcept;

    static bool paused() noexcept;
};

using Duration = RuntimeClock::duration;
using TimePoint = RuntimeClock::time_point;

/// Tells Asio how long it may sleep before it looks at the clock again.
struct RuntimeClockWaitTraits
{
    static Duration to_wait_duration(const Duration &remaining);
    static Duration to_wait_duration(const TimePoint &expiry);
};

/// Asio timer that runs on the clock of the runtime.
using Timer = boost::asio::basic_waitable_timer<RuntimeClock, RuntimeClockWaitTraits>;

/// Suspends the coroutine for @p delay; returns early when it is cancelled.
boost::asio::awaitable<void> sleepFor(Duration delay);

/// Milliseconds since the Unix epoch; only for display, file names and caller-supplied times.
std::int64_t wallClockMs();

/// Whole milliseconds in @p value, rounded down.
std::int64_t toMilliseconds(Duration value);

} // namespace gentianramp
