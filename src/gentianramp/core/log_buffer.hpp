#pragma once

#include <functional>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/log.hpp>
#include <mutex>
#include <string>

namespace gentianramp {

/// Lines on their way to a reader that may be slow: bounded in rate and memory. What goes over a
/// bound is dropped and counted; a line tells how many as soon as there is room.
class LogBuffer
{
public:
    /// @p write takes bytes without waiting and returns how many it took.
    LogBuffer(LogBounds bounds, std::function<std::size_t(std::string_view)> write);

    void add(const std::string &line, TimePoint now);
    void flush();
    /// As flush(), unless another call is in progress.
    void tryFlush();
    std::uint64_t dropped() const;

private:
    bool takeLine(TimePoint now);
    void flushLocked();

    LogBounds m_bounds;
    std::function<std::size_t(std::string_view)> m_write;
    mutable std::mutex m_mutex;
    std::string m_held;
    double m_allowance;
    TimePoint m_refilledAt{};
    TimePoint m_flushedAt{};
    std::uint64_t m_dropped = 0;
    std::uint64_t m_droppedSaid = 0;
};

} // namespace gentianramp
