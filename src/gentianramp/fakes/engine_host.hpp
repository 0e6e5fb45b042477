#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <gentianramp/engine/engine_model.hpp>
#include <map>
#include <memory>

namespace gentianramp {

/// Names one attempt of a request at an engine.
struct AttemptKey
{
    RequestId request;
    Attempt attempt{1};
    auto operator<=>(const AttemptKey &) const = default;
};

/// What a stream has to say next.
struct StreamState
{
    std::uint32_t tokens = 0; ///< Tokens out since the start of the answer.
    bool finished = false;
    bool cut = false;
};

/// Runs an EngineModel in real time and wakes the coroutines that wait for its tokens.
class EngineHost : public std::enable_shared_from_this<EngineHost>
{
public:
    EngineHost(boost::asio::any_io_executor executor, EngineModelOptions options);

    /// Moves the model on until stop().
    boost::asio::awaitable<void> run();
    void stop();

    bool submit(const EngineRequest &request);
    void cancel(const AttemptKey &key);
    /// Waits until the stream is past @p tokens, finished or cut, or @p longest has passed.
    boost::asio::awaitable<StreamState> wait(AttemptKey key, std::uint32_t tokens,
                                             Duration longest);
    EngineModel &model() { return m_model; }

private:
    struct Stream
    {
        StreamState state;
        std::shared_ptr<Timer> wake;
    };

    void takeProgress();

    boost::asio::any_io_executor m_executor;
    EngineModel m_model;
    std::map<AttemptKey, Stream> m_streams;
    bool m_stopped = false;
};

} // namespace gentianramp
