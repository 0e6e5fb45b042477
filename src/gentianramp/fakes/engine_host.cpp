#include "engine_host.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace gentianramp {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(5);

} // namespace

EngineHost::EngineHost(boost::asio::any_io_executor executor, EngineModelOptions options)
    : m_executor(std::move(executor))
    , m_model(options, RuntimeClock::now())
{ }

boost::asio::awaitable<void> EngineHost::run()
{
    const auto self = shared_from_this();
    while (!m_stopped) {
        takeProgress();
        co_await sleepFor(TickInterval);
    }
}

void EngineHost::stop()
{
    m_stopped = true;
}

bool EngineHost::submit(const EngineRequest &request)
{
    if (!m_model.submit(request, RuntimeClock::now()))
        return false;
    Stream &stream = m_streams[{request.id, request.attempt}];
    stream.state = {request.resumeOffset, false, false};
    stream.wake = std::make_shared<Timer>(m_executor);
    return true;
}

void EngineHost::cancel(const AttemptKey &key)
{
    m_model.cancel(key.request, key.attempt, RuntimeClock::now());
    const auto found = m_streams.find(key);
    if (found == m_streams.end())
        return;
    found->second.wake->cancel();
    m_streams.erase(found);
}

boost::asio::awaitable<StreamState> EngineHost::wait(AttemptKey key, std::uint32_t tokens,
                                                     Duration longest)
{
    const TimePoint deadline = RuntimeClock::now() + longest;
    for (;;) {
        const auto found = m_streams.find(key);
        if (found == m_streams.end())
            co_return StreamState{tokens, false, true};
        const StreamState state = found->second.state;
        const bool news = state.tokens > tokens || state.finished || state.cut;
        if (news || RuntimeClock::now() >= deadline)
            co_return state;
        const std::shared_ptr<Timer> wake = found->second.wake;
        wake->expires_at(deadline);
        boost::system::error_code ignored;
        co_await wake->async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
}

void EngineHost::takeProgress()
{
    for (const EngineProgress &progress : m_model.advance(RuntimeClock::now())) {
        const auto found = m_streams.find({progress.id, progress.attempt});
        if (found == m_streams.end())
            continue;
        StreamState &state = found->second.state;
        state.tokens = std::max(state.tokens, progress.tokens);
        state.finished = state.finished || progress.kind == EngineProgressKind::Finished
            || progress.kind == EngineProgressKind::PrefillReady;
        state.cut = state.cut || progress.kind == EngineProgressKind::Cut;
        found->second.wake->cancel();
    }
}

} // namespace gentianramp
