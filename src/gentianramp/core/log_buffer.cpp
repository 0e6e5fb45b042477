#include "log_buffer.hpp"

#include <algorithm>

namespace gentianramp {

namespace {

/// Lines are written together: each system call costs more than its bytes.
constexpr std::size_t FlushBytes = 8 * 1024;
constexpr Duration FlushInterval = std::chrono::milliseconds(200);

} // namespace

LogBuffer::LogBuffer(LogBounds bounds, std::function<std::size_t(std::string_view)> write)
    : m_bounds(bounds)
    , m_write(std::move(write))
    , m_allowance(bounds.burst)
{ }

bool LogBuffer::takeLine(TimePoint now)
{
    if (m_refilledAt != TimePoint{} && now > m_refilledAt)
        m_allowance
            += std::chrono::duration<double>(now - m_refilledAt).count() * m_bounds.linesPerSecond;
    m_allowance = std::min<double>(m_allowance, m_bounds.burst);
    m_refilledAt = now;
    if (m_allowance < 1)
        return false;
    m_allowance -= 1;
    return true;
}

void LogBuffer::add(const std::string &line, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    if (m_held.size() + line.size() > m_bounds.bufferBytes)
        flushLocked();
    if (!takeLine(now) || m_held.size() + line.size() > m_bounds.bufferBytes) {
        ++m_dropped;
        return;
    }
    if (m_dropped > m_droppedSaid) {
        m_held += "level=W event=log_lines_dropped count="
            + std::to_string(m_dropped - m_droppedSaid) + '\n';
        m_droppedSaid = m_dropped;
    }
    m_held += line;
    if (m_held.size() >= FlushBytes || now - m_flushedAt >= FlushInterval) {
        m_flushedAt = now;
        flushLocked();
    }
}

void LogBuffer::flush()
{
    const std::lock_guard lock(m_mutex);
    flushLocked();
}

void LogBuffer::tryFlush()
{
    const std::unique_lock lock(m_mutex, std::try_to_lock);
    if (lock)
        flushLocked();
}

void LogBuffer::flushLocked()
{
    if (m_held.empty())
        return;
    m_held.erase(0, std::min(m_write(m_held), m_held.size()));
}

std::uint64_t LogBuffer::dropped() const
{
    const std::lock_guard lock(m_mutex);
    return m_dropped;
}

} // namespace gentianramp
