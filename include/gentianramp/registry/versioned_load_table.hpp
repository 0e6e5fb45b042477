#pragma once

#include <deque>
#include <gentianramp/registry/backend_listing.hpp>
#include <map>
#include <optional>
#include <vector>

namespace gentianramp {

/// What changed on a VersionedLoadTable after one of its versions.
struct LoadChange
{
    std::uint64_t epoch = 0;       ///< Names the board; versions of different boards say nothing.
    std::uint64_t baseVersion = 0; ///< Version that it applies to; 0: to none, it is whole.
    std::uint64_t newVersion = 0;
    TimePoint takenAt{};
    std::vector<ReportedLoad> changed;
    std::vector<BackendId> removed;
    bool operator==(const LoadChange &) const = default;
};

/// Loads of all engines under rising versions, so that others get what changed: most engines of a
/// large fleet say the same for seconds.
class VersionedLoadTable
{
public:
    explicit VersionedLoadTable(std::uint64_t epoch);

    void replace(LoadReports reports);
    const LoadReports &reports() const { return m_reports; }
    std::uint64_t epoch() const { return m_epoch; }
    std::uint64_t version() const { return m_version; }
    /// What changed after @p version of the board @p epoch; whole when that isn't known here.
    LoadChange since(std::uint64_t epoch, std::uint64_t version) const;

private:
    struct Entry
    {
        ReportedLoad load;
        std::uint64_t changedAt = 0; ///< Version.
    };
    struct Departure
    {
        std::uint64_t version = 0;
        BackendId engine;
    };

    std::uint64_t m_epoch;
    std::uint64_t m_version = 0;
    std::uint64_t m_oldestKnownVersion = 0; ///< Departures after this version are remembered.
    LoadReports m_reports;
    std::map<BackendId, Entry> m_entries;
    std::deque<Departure> m_departures;
};

/// Another process's board as far as its changes arrived.
class LoadTableReplica
{
public:
    std::uint64_t epoch() const { return m_epoch; }
    std::uint64_t version() const { return m_version; }
    /// The loads after @p change; nothing when it builds on what did not arrive.
    std::optional<LoadReports> apply(const LoadChange &change);

private:
    std::uint64_t m_epoch = 0;
    std::uint64_t m_version = 0;
    std::map<BackendId, ReportedLoad> m_engines;
};

} // namespace gentianramp
