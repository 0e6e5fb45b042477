#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <gentianramp/core/clock.hpp>

#include <criterion/criterion.h>

using namespace gentianramp;
using namespace std::chrono_literals;

namespace {

boost::asio::awaitable<void> sleepAndMark(Duration delay, bool &fired)
{
    co_await sleepFor(delay);
    fired = true;
}

} // namespace

Test(Clock, StandsStillWhilePaused)
{
    RuntimeClock::pause();
    const TimePoint before = RuntimeClock::now();
    cr_assert(RuntimeClock::now() == before);
    RuntimeClock::advance(3s);
    cr_assert(RuntimeClock::now() - before == 3s);
}

Test(Clock, FiresTimersWhenAdvanced)
{
    RuntimeClock::pause();
    boost::asio::io_context context;
    bool fired = false;
    boost::asio::co_spawn(context, sleepAndMark(1h, fired), boost::asio::detached);
    context.poll();
    cr_assert_not(fired);
    RuntimeClock::advance(1h);
    context.run();
    cr_assert(fired);
}
