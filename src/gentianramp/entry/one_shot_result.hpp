#pragma once

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>

namespace gentianramp {

/// A value that any thread sets once and one coroutine awaits.
template <typename T>
class OneShotResult : public std::enable_shared_from_this<OneShotResult<T>>
{
public:
    /// Sets the value; later calls have no effect.
    void complete(T value)
    {
        std::function<void()> wake;
        {
            const std::lock_guard lock(m_mutex);
            if (m_value)
                return;
            m_value = std::move(value);
            wake = std::move(m_wake);
            m_wake = nullptr;
        }
        if (wake)
            wake();
    }

    /// Resumes on the executor of the calling coroutine; call once.
    boost::asio::awaitable<T> wait()
    {
        const auto self = this->shared_from_this();
        if (!ready()) {
            auto start = [self](auto handler) { self->resumeLater(std::move(handler)); };
            co_await boost::asio::async_initiate<const boost::asio::use_awaitable_t<>, void()>(
                std::move(start), boost::asio::use_awaitable);
        }
        co_return std::move(*m_value);
    }

private:
    bool ready()
    {
        const std::lock_guard lock(m_mutex);
        return m_value.has_value();
    }

    template <typename Handler>
    void resumeLater(Handler handler)
    {
        const auto executor = boost::asio::get_associated_executor(handler);
        auto shared = std::make_shared<Handler>(std::move(handler));
        std::function<void()> wake
            = [executor, shared] { boost::asio::post(executor, [shared] { (*shared)(); }); };
        {
            const std::lock_guard lock(m_mutex);
            if (!m_value) {
                m_wake = std::move(wake);
                return;
            }
        }
        wake();
    }

    std::mutex m_mutex;
    std::optional<T> m_value;
    std::function<void()> m_wake;
};

} // namespace gentianramp
