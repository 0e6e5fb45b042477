#pragma once

#include <gentianramp/fleet/fleet_table.hpp>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gentianramp {

/// Last fleet table of one data centre, received from the holder of its lease.
struct SiteOverview
{
    FleetView fleet;
    InstanceId holder;
    FencingNumber fencing;
    TimePoint confirmedAt;
    std::uint64_t roleChanges = 0; ///< Counted since the holder's first table.
};

/// Received fleet tables of all data centres, for answers to operators.
class FleetTables
{
public:
    explicit FleetTables(const std::vector<DataCentreId> &sites);

    /// Takes a message of PayloadKind::Fleet. Returns the request to send back; empty when there is
    /// none.
    std::string onMessage(const InstanceId &sender, std::string_view payload, TimePoint now);
    /// Data centres with a received fleet table.
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
