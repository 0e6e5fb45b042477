#include <gentianramp/usage/usage_counter.hpp>

#include <algorithm>

namespace gentianramp {

void addCounts(UsageCounts &sum, const UsageCounts &counts)
{
    for (const auto &[customer, count] : counts) {
        CustomerCounts &total = sum[customer];
        total.begun += count.begun;
        total.arrived += count.arrived;
        total.work += count.work;
    }
}

UsageCounter::UsageCounter(UsageCounterOptions options)
    : m_options(options)
{ }

/// The counts of the customer in the window of @p trueMs; null if the window is decided.
CustomerCounts *UsageCounter::change(const std::string &customer, std::int64_t trueMs)
{
    const auto window = static_cast<std::uint64_t>(std::max<std::int64_t>(trueMs, 0)
                                                   / toMilliseconds(m_options.window));
    if (window <= m_decided)
        return nullptr;
    Entry &entry = m_windows[window][customer];
    entry.sequence = ++m_sequence;
    if (m_windows.size() > m_options.maxWindows && m_windows.begin()->first != window)
        m_windows.erase(m_windows.begin());
    return &entry.counts;
}

void UsageCounter::noteBegun(const std::string &customer, std::int64_t trueMs)
{
    if (CustomerCounts *counts = change(customer, trueMs))
        ++counts->begun;
}

void UsageCounter::noteArrived(const std::string &customer, std::int64_t trueMs)
{
    if (CustomerCounts *counts = change(customer, trueMs))
        ++counts->arrived;
}

void UsageCounter::addWork(const std::string &customer, std::uint64_t tokens, std::int64_t trueMs)
{
    if (CustomerCounts *counts = change(customer, trueMs))
        counts->work += tokens;
}

InstanceUsage UsageCounter::changedSince(std::uint64_t sequence, std::int64_t trueMs) const
{
    InstanceUsage usage;
    usage.incarnation = m_options.incarnation;
    usage.sequence = m_sequence;
    usage.completeMs = trueMs;
    for (const auto &[window, customers] : m_windows) {
        for (const auto &[customer, entry] : customers) {
            if (entry.sequence > sequence)
                usage.windows[window][customer] = entry.counts;
        }
    }
    return usage;
}

void UsageCounter::dropDecided(std::uint64_t window)
{
    m_decided = std::max(m_decided, window);
    m_windows.erase(m_windows.begin(), m_windows.upper_bound(m_decided));
}

} // namespace gentianramp
