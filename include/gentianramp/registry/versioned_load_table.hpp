#pragma once

#include <deque>
#include <gentianramp/registry/backend_listing.hpp>
#include <map>
#include <optional>
#include <vector>

namespace gentianramp {

/// Difference between two versions of a VersionedLoadTable.
struct LoadChange
{
    /// Identifies the table; versions of different tables are not comparable.
    std::uint64_t epoch = 0;
    /// Version that the change applies to; 0: it holds the full table.
    std::uint64_t baseVersion = 0;
    std::uint64_t newVersion = 0;
    TimePoint takenAt{};
    std::vector<ReportedLoad> changed;
    std::vector<BackendId> removed;
    bool operator==(const LoadChange &) const = default;
};

/// Loads of all engines with a version number, so that other processes are sent only changes: in a
/// large fleet, most engines report the same load for seconds.
class VersionedLoadTable
{
public:
    explicit VersionedLoadTable(std::uint64_t epoch);

    void replace(LoadReports reports);
    const LoadReports &reports() const { return m_reports; }
    std::uint64_t epoch() const { return m_epoch; }
    std::uint64_t version() const { return m_version; }
    /// The change since @p version of the table @p epoch; the full table if @p epoch is another
    /// table or @p version is too old.
    LoadChange since(std::uint64_t epoch, std::uint64_t version) const;

private:
    struct Entry
    {
        ReportedLoad load;
        std::uint64_t changedAt = 0; ///< Version of the table.
    };
    struct Departure
    {
        std::uint64_t version = 0;
        BackendId engine;
    };

    std::uint64_t m_epoch;
    std::uint64_t m_version = 0;
    std::uint64_t m_oldestKnownVersion = 0; ///< m_departures is complete after this version.
    LoadReports m_reports;
    std::map<BackendId, Entry> m_entries;
    std::deque<Departure> m_departures;
};

/// Copy of the table of another process, updated by the received changes.
class LoadTableReplica
{
public:
    std::uint64_t epoch() const { return m_epoch; }
    std::uint64_t version() const { return m_version; }
    /// Applies @p change and returns all loads; no value if the base version of @p change is
    /// missing.
    std::optional<LoadReports> apply(const LoadChange &change);

private:
    std::uint64_t m_epoch = 0;
    std::uint64_t m_version = 0;
    std::map<BackendId, ReportedLoad> m_engines;
};

} // namespace gentianramp
