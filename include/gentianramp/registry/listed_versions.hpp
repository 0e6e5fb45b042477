#pragma once

#include <gentianramp/core/clock.hpp>
#include <gentianramp/registry/backend_listing.hpp>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace gentianramp {

/// When a software version of a service's servers was listed, as ages.
struct ListedVersion
{
    std::string service;
    std::string version;
    Duration listedFor{};            ///< Since the first listing with it, without interruption.
    std::optional<Duration> goneFor; ///< Since the first listing without it; empty: it is listed.
    bool operator==(const ListedVersion &) const = default;
};

/// The versions that were listed within a time.
struct VersionReport
{
    Duration knownFor{}; ///< Nothing was missed within this time.
    std::vector<ListedVersion> versions;
    bool operator==(const VersionReport &) const = default;
};

/// Remembers which software versions a registry process saw listed, for entry processes that have
/// restarted. Performs no I/O.
class ListedVersions
{
public:
    void note(const BackendListing &listing);
    /// What was listed; empty while the newest listing is old.
    std::optional<VersionReport> report(TimePoint now) const;

private:
    struct Listed
    {
        TimePoint since{};
        std::optional<TimePoint> goneSince;
    };

    void forget(TimePoint now);

    std::optional<TimePoint> m_knownSince;
    TimePoint m_notedAt{}; ///< Reading of the newest listing.
    std::map<std::pair<std::string, std::string>, Listed> m_versions; ///< By service and version.
};

} // namespace gentianramp
