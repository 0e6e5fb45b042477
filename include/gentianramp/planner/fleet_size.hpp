#pragma once

#include <cstdint>
#include <gentianramp/core/ids.hpp>
#include <map>
#include <optional>
#include <vector>

namespace gentianramp {

/// Servers of a service in a data centre.
struct ServerCounts
{
    std::uint32_t onDemand = 0;
    std::uint32_t spot = 0; ///< May be reclaimed at short notice, all of a data centre at once.
    std::uint32_t total() const { return onDemand + spot; }
    bool operator==(const ServerCounts &) const = default;
};

/// Where servers of a service may run.
struct ServerSite
{
    DataCentreId name;
    double price = 1; ///< Of a second of a server on demand.
    std::uint32_t minServers = 0;
    std::uint32_t maxServers = 0;
    bool operator==(const ServerSite &) const = default;
};

/// Number of servers by data centre.
using FleetSize = std::map<DataCentreId, ServerCounts>;

/// What a fleet size has to fulfil.
struct SizeRequirement
{
    double servers = 0; ///< That callers need at any time.
    /// Share of these that is left when all spot servers are reclaimed.
    double onDemandShare = 0.33;
    /// Price of a spot server as a share of that of a server on demand; empty: there are none.
    std::optional<double> spotPrice;
    bool operator==(const SizeRequirement &) const = default;
};

/// The cheapest size that leaves the required servers when all servers of one data centre are lost,
/// or all its spot servers are reclaimed. Within the bounds of the sites; where these do not
/// suffice, the largest size within them.
FleetSize cheapestFleetSize(const std::vector<ServerSite> &sites,
                            const SizeRequirement &requirement);

} // namespace gentianramp
