#pragma once

#include <gentianramp/core/clock.hpp>
#include <gentianramp/usage/usage_counts.hpp>

namespace gentianramp {

/// Options of a UsageCounter.
struct UsageCounterOptions
{
    /// Length of a window; window k begins k times this long after the start of 1970.
    Duration window = std::chrono::seconds(5);
    std::uint64_t incarnation = 1; ///< Of this process.
    /// Beyond this number the oldest windows are dropped.
    std::size_t maxWindows = 64;
};

/// Counts the requests of customers at one entry process. Performs no I/O.
class UsageCounter
{
public:
    explicit UsageCounter(UsageCounterOptions options);

    /// A request of @p customer began to run at @p trueMs, in Unix milliseconds.
    void noteBegun(const std::string &customer, std::int64_t trueMs);
    void noteArrived(const std::string &customer, std::int64_t trueMs);
    void addWork(const std::string &customer, std::uint64_t tokens, std::int64_t trueMs);

    /// Counts that changed after @p sequence; 0: all. Complete up to @p trueMs.
    InstanceUsage changedSince(std::uint64_t sequence, std::int64_t trueMs) const;
    /// Windows up to @p window are decided: drops them.
    void dropDecided(std::uint64_t window);
    /// Any request was counted.
    bool isEmpty() const { return m_windows.empty(); }

private:
    struct Entry
    {
        CustomerCounts counts;
        std::uint64_t sequence = 0; ///< Of the last change.
    };

    CustomerCounts *change(const std::string &customer, std::int64_t trueMs);

    UsageCounterOptions m_options;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_decided = 0;
    std::map<std::uint64_t, std::map<std::string, Entry>> m_windows;
};

} // namespace gentianramp
