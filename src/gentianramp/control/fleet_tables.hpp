#pragma once

#include <gentianramp/fleet/fleet_table.hpp>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gentianramp {

/// What this process last heard about one data centre from the holder of its lease.
struct SiteOverview
{
    FleetView fleet;
    InstanceId holder;
    FencingNumber fencing;
    TimePoint confirmedAt;
    std::uint64_t roleChanges = 0; ///< Seen since this holder's first table.
};

/// Fleet tables of all data centres, for answers to operators.
class FleetTables
{
public:
    explicit FleetTables(const std::vector<DataCentreId> &sites);

    /// Takes a message of PayloadKind::Fleet; returns the request to send back, or nothing.
    std::string onMessage(const InstanceId &sender, std::string_view payload, TimePoint now);
    /// Data centres that were heard of.
    std::vector<SiteOverview> sites() const;

private:
    struct Site
    {
        FleetReceiver receiver;
        SiteOverview overview;
    };

    std::map<DataCentreId, Site> m_sites;
};

} // namespace gentianramp
