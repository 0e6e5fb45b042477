#include <gentianramp/registry/listed_versions.hpp>

#include <algorithm>
#include <set>

namespace gentianramp {

namespace {

/// A version that comes and goes unseen between two listings was listed for less than the time that
/// entry processes let pass before streams begin at a new version.
constexpr Duration MaxListingGap = std::chrono::seconds(3);
/// Longer than any stream lasts with its repetitions.
constexpr Duration Retention = std::chrono::minutes(10);
/// Far above the versions of all services; bounds what a faulty listing can add.
constexpr std::size_t MaxVersions = 4096;

} // namespace

void ListedVersions::note(const BackendListing &listing)
{
    const TimePoint now = listing.takenAt;
    if (listing.servers.empty() && !m_knownSince)
        return;
    if (now < m_notedAt)
        return;
    if (!m_knownSince || now - m_notedAt > MaxListingGap)
        m_knownSince = now;
    m_notedAt = now;
    std::set<std::pair<std::string, std::string>> present;
    for (const ListedServer &server : listing.servers)
        present.emplace(server.service, server.softwareVersion);
    for (const auto &name : present) {
        const auto [listed, isNew] = m_versions.try_emplace(name);
        // A version that comes back is new to entry processes that have started since.
        if (isNew || listed->second.goneSince)
            listed->second.since = now;
        listed->second.goneSince.reset();
    }
    for (auto &[name, listed] : m_versions) {
        if (!present.contains(name) && !listed.goneSince)
            listed.goneSince = now;
    }
    forget(now);
}

void ListedVersions::forget(TimePoint now)
{
    std::erase_if(m_versions, [&](const auto &entry) {
        return entry.second.goneSince && now - *entry.second.goneSince > Retention;
    });
    if (m_versions.size() <= MaxVersions)
        return;
    // What is forgotten was not known, so that no entry process takes the rest for complete.
    m_versions.clear();
    m_knownSince.reset();
}

std::optional<VersionReport> ListedVersions::report(TimePoint now) const
{
    if (!m_knownSince || now - m_notedAt > MaxListingGap)
        return std::nullopt;
    VersionReport report;
    report.knownFor = std::min<Duration>(now - *m_knownSince, Retention);
    for (const auto &[name, listed] : m_versions) {
        const std::optional<Duration> goneFor
            = listed.goneSince ? std::optional<Duration>(now - *listed.goneSince) : std::nullopt;
        report.versions.push_back({name.first, name.second, now - listed.since, goneFor});
    }
    return report;
}

} // namespace gentianramp
