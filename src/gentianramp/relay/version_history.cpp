#include <gentianramp/relay/version_history.hpp>

#include <algorithm>
#include <set>

namespace gentianramp {

namespace {

/// Versions that are gone are kept at least for this time: the lifetime of streams is known only
/// from the first declaration, which may come later than the versions of a registry instance.
constexpr Duration MinRetention = std::chrono::minutes(10);

} // namespace

VersionHistory::VersionHistory(Duration settleTime)
    : m_settleTime(settleTime)
{ }

void VersionHistory::publish(const BackendListing &listing, TimePoint now)
{
    for (auto &[service, versions] : m_services)
        std::erase_if(versions, [&](const auto &entry) {
            return entry.second.goneSince
                && now - *entry.second.goneSince > std::max(m_streamLifetime, MinRetention);
        });
    std::map<std::string, std::set<std::string>> listed;
    for (const ListedServer &server : listing.servers)
        listed[server.service].insert(server.softwareVersion);
    for (const auto &[service, versions] : listed) {
        std::map<std::string, Version> &known = m_services[service];
        // Nothing was served before a service was listed at all.
        const bool isFirst = std::all_of(known.begin(), known.end(), [&](const auto &entry) {
            return isOver(entry.second, now);
        });
        for (const std::string &name : versions) {
            const auto [version, isNew] = known.try_emplace(name);
            // A version that comes back is unknown to instances that have started since.
            if (isNew || isOver(version->second, now))
                version->second = {.listedSince = listing.takenAt, .fromFirstListing = isFirst};
            version->second.goneSince.reset();
        }
    }
    for (auto &[service, versions] : m_services) {
        const std::set<std::string> &present = listed[service];
        for (auto &[name, version] : versions) {
            if (!present.contains(name) && !version.goneSince)
                version.goneSince = now;
        }
    }
    if (!m_since && !listing.servers.empty())
        m_since = now;
}

void VersionHistory::add(const VersionReport &report, TimePoint now)
{
    std::map<std::string, Duration> firstListings;
    for (const ListedVersion &listed : report.versions) {
        Duration &first = firstListings[listed.service];
        first = std::max(first, listed.listedFor);
    }
    for (const ListedVersion &listed : report.versions) {
        const auto [version, isNew] = m_services[listed.service].try_emplace(listed.version);
        Version &known = version->second;
        const TimePoint since = now - listed.listedFor;
        const bool isFirst = listed.listedFor == firstListings[listed.service];
        if (isNew) {
            // The newest listing that this instance received does not have it.
            known.goneSince = now - listed.goneFor.value_or(Duration::zero());
        } else if (known.goneSince && listed.goneFor) {
            known.goneSince = std::max(*known.goneSince, now - *listed.goneFor);
        }
        known.fromFirstListing = (isNew || known.fromFirstListing) && isFirst;
        known.listedSince = isNew ? since : std::min(known.listedSince, since);
        known.isReported = true;
    }
    if (m_since)
        m_since = std::min(*m_since, now - report.knownFor);
}

bool VersionHistory::isOver(const Version &version, TimePoint now) const
{
    return version.goneSince && now - *version.goneSince > m_streamLifetime;
}

std::vector<std::string> VersionHistory::select(const std::string &service,
                                                const Condition &condition, TimePoint now) const
{
    std::vector<std::string> names;
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return names;
    for (const auto &[name, version] : found->second) {
        if (!isOver(version, now) && condition(version))
            names.push_back(name);
    }
    return names;
}

std::vector<std::string> VersionHistory::recent(const std::string &service, TimePoint now) const
{
    return select(
        service, [](const Version &) { return true; }, now);
}

std::vector<std::string> VersionHistory::mayHaveBegun(const std::string &service,
                                                      TimePoint now) const
{
    // Another instance may have received the version's first listing earlier than this one.
    const auto mayHave = [&](const Version &version) {
        return version.fromFirstListing || version.isReported
            || now - version.listedSince >= m_settleTime / 2;
    };
    return select(service, mayHave, now);
}

bool VersionHistory::isSettled(const std::string &service, const std::string &version,
                               TimePoint now) const
{
    const auto hasSettled = [&](const Version &known) {
        return known.fromFirstListing || now - known.listedSince >= m_settleTime;
    };
    const std::vector<std::string> settled = select(service, hasSettled, now);
    return std::find(settled.begin(), settled.end(), version) != settled.end()
        || recent(service, now).size() < 2;
}

bool VersionHistory::isComplete(TimePoint now) const
{
    return m_since && now - *m_since >= m_streamLifetime;
}

} // namespace gentianramp
