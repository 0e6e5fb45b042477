#include "worker_threads.hpp"

#include <algorithm>
#include <gentianramp/core/run_context.hpp>
#include <gentianramp/core/thread.hpp>

namespace gentianramp {

WorkerThread::WorkerThread()
    : m_work(boost::asio::make_work_guard(m_context))
{ }

WorkerThread::~WorkerThread()
{
    stop();
}

void WorkerThread::start(std::function<void()> failed)
{
    m_thread = std::thread([this, failed = std::move(failed)] {
        setThreadName("worker");
        runContext(m_context, failed);
    });
}

void WorkerThread::stop()
{
    m_context.stop();
    if (m_thread.joinable())
        m_thread.join();
}

void WorkerThread::destroyHandlers()
{
    m_context.shutdown();
}

WorkerPool::WorkerPool(unsigned workers)
{
    for (unsigned index = 0; index < std::max(workers, 1U); ++index)
        m_workers.push_back(std::make_unique<WorkerThread>());
}

void WorkerPool::start(const std::function<void()> &failed)
{
    m_background.start(failed);
    for (const auto &worker : m_workers)
        worker->start(failed);
}

void WorkerPool::stop()
{
    for (const auto &worker : m_workers)
        worker->stop();
    m_background.stop();
    // A destroyed handler may post to a thread that has none left: a released claim of a key wakes
    // the requests that wait for it. What is posted then posts nothing more.
    destroyHandlers();
    destroyHandlers();
}

void WorkerPool::destroyHandlers()
{
    for (const auto &worker : m_workers)
        worker->destroyHandlers();
    m_background.destroyHandlers();
}

boost::asio::any_io_executor WorkerPool::next()
{
    return m_workers[m_next.fetch_add(1) % m_workers.size()]->executor();
}

} // namespace gentianramp
