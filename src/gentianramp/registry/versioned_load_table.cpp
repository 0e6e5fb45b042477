#include <gentianramp/registry/versioned_load_table.hpp>

#include <utility>

namespace gentianramp {

namespace {

/// Covers a few seconds of a shrinking fleet; processes with an older version are sent the full
/// table.
constexpr std::size_t MaxDepartures = 256;

} // namespace

VersionedLoadTable::VersionedLoadTable(std::uint64_t epoch)
    : m_epoch(epoch)
{ }

void VersionedLoadTable::replace(LoadReports reports)
{
    ++m_version;
    std::map<BackendId, Entry> entries;
    for (const ReportedLoad &load : reports.engines) {
        const auto known = m_entries.find(load.engine);
        const bool same = known != m_entries.end() && known->second.load == load;
        entries[load.engine] = {load, same ? known->second.changedAt : m_version};
    }
    for (const auto &[engine, entry] : m_entries) {
        if (!entries.contains(engine))
            m_departures.push_back({m_version, engine});
    }
    while (m_departures.size() > MaxDepartures) {
        m_oldestKnownVersion = m_departures.front().version;
        m_departures.pop_front();
    }
    m_entries = std::move(entries);
    m_reports = std::move(reports);
}

LoadChange VersionedLoadTable::since(std::uint64_t epoch, std::uint64_t version) const
{
    LoadChange change{.epoch = m_epoch, .newVersion = m_version, .takenAt = m_reports.takenAt};
    const bool known = epoch == m_epoch && version > 0 && version <= m_version
        && version >= m_oldestKnownVersion;
    if (known)
        change.baseVersion = version;
    for (const auto &[engine, entry] : m_entries) {
        if (entry.changedAt > change.baseVersion)
            change.changed.push_back(entry.load);
    }
    if (!known)
        return change;
    for (const Departure &departure : m_departures) {
        if (departure.version > version && !m_entries.contains(departure.engine))
            change.removed.push_back(departure.engine);
    }
    return change;
}

std::optional<LoadReports> LoadTableReplica::apply(const LoadChange &change)
{
    if (change.baseVersion == 0)
        m_engines.clear();
    else if (change.epoch != m_epoch || change.baseVersion != m_version)
        return std::nullopt;
    m_epoch = change.epoch;
    m_version = change.newVersion;
    for (const BackendId &engine : change.removed)
        m_engines.erase(engine);
    for (const ReportedLoad &load : change.changed)
        m_engines.insert_or_assign(load.engine, load);
    LoadReports reports{.takenAt = change.takenAt, .engines = {}};
    reports.engines.reserve(m_engines.size());
    for (const auto &[engine, load] : m_engines)
        reports.engines.push_back(load);
    return reports;
}

} // namespace gentianramp
