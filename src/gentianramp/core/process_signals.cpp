#include <gentianramp/core/process_signals.hpp>

#include <boost/asio/posix/stream_descriptor.hpp>
#include <cerrno>
#include <csignal>
#include <sys/signalfd.h>
#include <unistd.h>

namespace gentianramp {

namespace asio = boost::asio;

namespace {

sigset_t processSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int signal : {SIGHUP, SIGINT, SIGTERM})
        sigaddset(&signals, signal);
    return signals;
}

} // namespace

void blockProcessSignals()
{
    const sigset_t signals = processSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void ignoreWriteSignals()
{
    for (const int signal : {SIGPIPE, SIGXFSZ})
        std::signal(signal, SIG_IGN);
}

struct ProcessSignals::State : std::enable_shared_from_this<ProcessSignals::State>
{
    State(const asio::any_io_executor &executor, Hook given)
        : descriptor(executor)
        , hook(std::move(given))
    { }

    void wait()
    {
        descriptor.async_wait(asio::posix::stream_descriptor::wait_read,
                              [weak = weak_from_this()](const boost::system::error_code &error) {
                                  const auto self = weak.lock();
                                  if (!error && self)
                                      self->receiveOne();
                              });
    }

    /// Waits for the next signal before it calls the hook, which may throw.
    void receiveOne()
    {
        signalfd_siginfo info{};
        const bool received = ::read(descriptor.native_handle(), &info, sizeof info) == sizeof info;
        wait();
        if (received)
            hook(static_cast<int>(info.ssi_signo));
    }

    asio::posix::stream_descriptor descriptor;
    Hook hook;
};

ProcessSignals::ProcessSignals(const asio::any_io_executor &executor, Hook hook)
    : m_state(std::make_shared<State>(executor, std::move(hook)))
{ }

ProcessSignals::~ProcessSignals() = default;

std::error_code ProcessSignals::start()
{
    const sigset_t signals = processSignals();
    const int handle = ::signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
    if (handle < 0)
        return {errno, std::generic_category()};
    m_state->descriptor.assign(handle);
    m_state->wait();
    return {};
}

} // namespace gentianramp
