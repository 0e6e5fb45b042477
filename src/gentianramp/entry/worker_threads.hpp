#pragma once

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
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

    void start();
    /// Lets the current handler finish and joins the thread.
    void stop();
    boost::asio::any_io_executor executor() { return m_context.get_executor(); }

private:
    boost::asio::io_context m_context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::thread m_thread;
};

/// Threads that process requests; connections are assigned to them round-robin.
class WorkerPool
{
public:
    explicit WorkerPool(unsigned threads);

    void start();
    void stop();
    boost::asio::any_io_executor next();

private:
    std::vector<std::unique_ptr<WorkerThread>> m_workers;
    std::atomic<std::size_t> m_next{0};
};

} // namespace gentianramp
