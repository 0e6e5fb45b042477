#include <array>
#include <boost/asio/io_context.hpp>
#include <csignal>
#include <gentianramp/core/process_signals.hpp>
#include <gentianramp/core/run_context.hpp>
#include <poll.h>
#include <stdexcept>
#include <thread>
#include <unistd.h>
#include <vector>

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

/// Receives signals until @p count have come.
std::vector<int> receive(std::size_t count)
{
    boost::asio::io_context context(1);
    std::vector<int> received;
    ProcessSignals signals(context.get_executor(), [&](int signal) {
        received.push_back(signal);
        if (received.size() == count)
            context.stop();
    });
    cr_assert_not(signals.start());
    context.run();
    return received;
}

} // namespace

Test(process_signals, signalsBeforeTheStartAreKeptAndReloadsComeFirst)
{
    blockProcessSignals();
    kill(getpid(), SIGTERM);
    kill(getpid(), SIGHUP);
    kill(getpid(), SIGHUP);
    cr_assert(receive(2) == (std::vector<int>{SIGHUP, SIGTERM}));
}

// Guards against a process that can't be stopped any more after a reload failed.
Test(process_signals, aHookThatThrowsLosesNoOtherSignal)
{
    blockProcessSignals();
    kill(getpid(), SIGHUP);
    kill(getpid(), SIGTERM);
    boost::asio::io_context context(1);
    int last = 0;
    ProcessSignals signals(context.get_executor(), [&](int signal) {
        last = signal;
        if (signal == SIGHUP)
            throw std::runtime_error("unreadable settings");
        context.stop();
    });
    cr_assert_not(signals.start());
    unsigned failures = 0;
    runContext(context, [&] { ++failures; });
    cr_assert_eq(failures, 1U);
    cr_assert_eq(last, SIGTERM);
}

// Guards against a call of another thread that fails because a signal came.
Test(process_signals, otherThreadsAreNotInterrupted)
{
    blockProcessSignals();
    int events = 0;
    std::array<int, 2> ends{};
    cr_assert_eq(pipe(ends.data()), 0);
    std::thread waiting([&] {
        pollfd item{.fd = ends[0], .events = POLLIN, .revents = 0};
        events = poll(&item, 1, -1);
    });
    for (const int signal : {SIGHUP, SIGINT, SIGTERM})
        kill(getpid(), signal);
    cr_assert_eq(receive(3).size(), 3U);
    cr_assert_eq(write(ends[1], "x", 1), 1);
    waiting.join();
    cr_assert_eq(events, 1);
}
