#include <gentianramp/usage/usage_aggregate.hpp>

#include <algorithm>

namespace gentianramp {

void UsageAggregate::merge(const InstanceUsage &usage, TimePoint now)
{
    Process &process = m_processes[{usage.instance, usage.incarnation}];
    process.completeMs = std::max(process.completeMs, usage.completeMs);
    process.heardAt = std::max(process.heardAt, now);
    for (const auto &[window, customers] : usage.windows) {
        if (window <= m_decided)
            continue;
        for (const auto &[customer, counts] : customers) {
            Entry &entry = process.windows[window][customer];
            const CustomerCounts merged{std::max(entry.counts.begun, counts.begun),
                                        std::max(entry.counts.arrived, counts.arrived),
                                        std::max(entry.counts.work, counts.work)};
            if (merged != entry.counts)
                entry = {merged, now};
        }
    }
    while (process.windows.size() > MaxWindows)
        process.windows.erase(process.windows.begin());
}

std::vector<InstanceUsage> UsageAggregate::changedSince(TimePoint since) const
{
    std::vector<InstanceUsage> changed;
    for (const auto &[key, process] : m_processes) {
        InstanceUsage usage{.instance = key.first,
                            .incarnation = key.second,
                            .sequence = 0,
                            .completeMs = process.completeMs,
                            .windows = {}};
        for (const auto &[window, customers] : process.windows) {
            for (const auto &[customer, entry] : customers) {
                if (entry.changedAt >= since)
                    usage.windows[window][customer] = entry.counts;
            }
        }
        if (process.heardAt >= since || !usage.windows.empty())
            changed.push_back(std::move(usage));
    }
    return changed;
}

UsageCounts UsageAggregate::totals(std::uint64_t window) const
{
    UsageCounts sum;
    for (const auto &[key, process] : m_processes) {
        const auto found = process.windows.find(window);
        if (found == process.windows.end())
            continue;
        for (const auto &[customer, entry] : found->second)
            addCounts(sum, {{customer, entry.counts}});
    }
    return sum;
}

bool UsageAggregate::isComplete(std::int64_t trueMs, TimePoint heardSince) const
{
    return std::all_of(m_processes.begin(), m_processes.end(), [&](const auto &entry) {
        const Process &process = entry.second;
        return process.heardAt < heardSince || process.completeMs >= trueMs;
    });
}

void UsageAggregate::dropDecided(std::uint64_t window)
{
    m_decided = std::max(m_decided, window);
    for (auto &[key, process] : m_processes)
        process.windows.erase(process.windows.begin(), process.windows.upper_bound(m_decided));
}

void UsageAggregate::expire(TimePoint time)
{
    std::erase_if(m_processes, [&](const auto &entry) {
        return entry.second.heardAt < time && entry.second.windows.empty();
    });
}

} // namespace gentianramp
