#include "caller_watch.hpp"

namespace gentianramp {

CallerWatch::CallerWatch(ResponseWriter &writer)
{
    m_state->gone = writer.callerGone();
    writer.setCallerGoneHook([state = m_state] {
        state->gone = true;
        const auto hook = std::exchange(state->hook, nullptr);
        if (hook)
            hook();
    });
}

void CallerWatch::onGone(std::function<void()> hook)
{
    if (m_state->gone)
        hook();
    else
        m_state->hook = std::move(hook);
}

} // namespace gentianramp
