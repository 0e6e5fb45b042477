#pragma once

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

namespace gentianramp {

/// One thread with an executor of its own, so that its handlers need no strand.
class WorkerThread
{
public:
    WorkerThread();
    ~WorkerThread();
    WorkerThread(const WorkerThread &) = delete;
    WorkerThread &operator=(const WorkerThread &) = delete;

    /// @p failed is called on the thread when a handler threw; the other handlers go on.
    void start(std::function<void()> failed);
    /// Lets the current handler finish and joins the thread.
    void stop();
    /// Destroys all handlers that have not run; the thread has been stopped.
    void destroyHandlers();
    boost::asio::any_io_executor executor() { return m_context.get_executor(); }

private:
    /// Its handlers can be destroyed before it is.
    class Context : public boost::asio::io_context
    {
    public:
        using boost::asio::execution_context::shutdown;
        using boost::asio::io_context::io_context;
    };

    Context m_context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::thread m_thread;
};

/// The threads of an entry instance: one for its own work and workers that process requests.
class WorkerPool
{
public:
    explicit WorkerPool(unsigned workers);

    /// @p failed is called on any of the threads when a handler threw.
    void start(const std::function<void()> &failed);
    /// Joins all threads, then destroys the handlers that have not run. Both are done for all
    /// threads before any executor ends, since a handler of one may own a socket of another.
    void stop();
    /// Executor of the instance's own work.
    boost::asio::any_io_executor background() { return m_background.executor(); }
    /// Executor of a worker, round-robin.
    boost::asio::any_io_executor next();

private:
    void destroyHandlers();

    WorkerThread m_background;
    std::vector<std::unique_ptr<WorkerThread>> m_workers;
    std::atomic<std::size_t> m_next{0};
};

} // namespace gentianramp
