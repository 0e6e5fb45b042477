#pragma once

#include <gentianramp/core/clock.hpp>
#include <gentianramp/usage/usage_aggregate.hpp>
#include <optional>
#include <string>
#include <vector>

namespace gentianramp {

/// A usage report that is decided: what is sent of its window, by whichever holder, is `body`.
struct UsageReport
{
    std::uint64_t window = 0;
    std::string body;
    bool operator==(const UsageReport &) const = default;
};

/// What the ledger keeps of usage.
struct UsageRecord
{
    std::uint64_t decided = 0; ///< Newest window that is decided; 0: none.
    std::vector<UsageReport> undelivered;
    bool operator==(const UsageRecord &) const = default;
};

/// Options of a UsageReporter.
struct UsageReporterOptions
{
    Duration window = std::chrono::seconds(5);
    /// Time after the end of a window within which its report is due.
    Duration lateness = std::chrono::seconds(10);
    /// Reports that wait for the platform; beyond this number the oldest is dropped.
    std::size_t maxUndelivered = 64;
    /// An entry process that was not heard for longer is gone.
    Duration processTimeout = std::chrono::seconds(3);
    bool operator==(const UsageReporterOptions &) const = default;
};

/// Decides on the leader when the counts of a window are final. Performs no I/O.
class UsageReporter
{
public:
    explicit UsageReporter(UsageReporterOptions options);

    /// This process leads from @p trueMs on, in Unix milliseconds of true time, and finds @p record
    /// in the ledger. Without a record, a former leader may have reported any window that had
    /// begun: only later ones are decided, or all that began after @p systemStartMs if it is known
    /// that there was none.
    void lead(const std::optional<UsageRecord> &record, std::int64_t trueMs,
              std::optional<std::int64_t> systemStartMs);
    /// The next window if its counts are final or can't wait any longer.
    std::optional<std::uint64_t> due(const UsageAggregate &usage, std::int64_t trueMs,
                                     TimePoint now) const;
    /// The window is decided in the ledger.
    void noteDecided(std::uint64_t window);
    /// The platform has the report.
    void noteDelivered(std::uint64_t window);
    /// What the ledger is to keep once @p report is decided, after @p record. Reports that were
    /// delivered are left out.
    UsageRecord next(const std::optional<UsageRecord> &record, UsageReport report) const;

private:
    std::uint64_t windowOf(std::int64_t trueMs) const;

    UsageReporterOptions m_options;
    std::uint64_t m_next = 0; ///< Window to decide next; 0: this process does not lead.
    std::vector<std::uint64_t> m_delivered;
};

} // namespace gentianramp
