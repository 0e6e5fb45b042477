#pragma once

#include <functional>
#include <gentianramp/http/server.hpp>
#include <memory>

namespace gentianramp {

/// Notifies the current step of a request when its caller has disconnected.
class CallerWatch
{
public:
    explicit CallerWatch(ResponseWriter &writer);

    bool gone() const { return m_state->gone; }
    /// Replaces the hook; calls it at once when the caller has already disconnected.
    void onGone(std::function<void()> hook);
    /// Removes the hook.
    void clear() { m_state->hook = nullptr; }

private:
    struct State
    {
        bool gone = false;
        std::function<void()> hook;
    };

    std::shared_ptr<State> m_state = std::make_shared<State>();
};

} // namespace gentianramp
