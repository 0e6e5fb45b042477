#pragma once

#include <gentianramp/core/clock.hpp>
#include <gentianramp/usage/usage_counts.hpp>
#include <vector>

namespace gentianramp {

/// Merges what entry processes counted. Takes the larger of two counts, so that reports may be
/// lost, repeated or late. Performs no I/O.
class UsageAggregate
{
public:
    /// Adds what a process reported, directly or by way of another registry process.
    void merge(const InstanceUsage &usage, TimePoint now);
    /// Counts that changed at @p since or later, and for each process heard since then how far its
    /// counts are complete.
    std::vector<InstanceUsage> changedSince(TimePoint since) const;
    /// Sum over all processes.
    UsageCounts totals(std::uint64_t window) const;
    /// All processes that were heard since @p heardSince counted completely up to @p trueMs.
    bool isComplete(std::int64_t trueMs, TimePoint heardSince) const;
    /// Windows up to @p window are decided: drops them.
    void dropDecided(std::uint64_t window);
    /// Drops processes that were last heard before @p time and have no undecided counts.
    void expire(TimePoint time);

private:
    struct Entry
    {
        CustomerCounts counts;
        TimePoint changedAt{};
    };
    struct Process
    {
        std::int64_t completeMs = 0;
        TimePoint heardAt{};
        std::map<std::uint64_t, std::map<std::string, Entry>> windows;
    };
    using ProcessKey = std::pair<InstanceId, std::uint64_t>; ///< With the incarnation.

    /// Windows that are kept of a process where nothing tells which are decided.
    static constexpr std::size_t MaxWindows = 64;

    std::uint64_t m_decided = 0;
    std::map<ProcessKey, Process> m_processes;
};

} // namespace gentianramp
