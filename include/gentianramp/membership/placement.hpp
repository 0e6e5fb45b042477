#pragma once

#include <compare>
#include <cstddef>
#include <gentianramp/core/ids.hpp>
#include <string_view>
#include <vector>

namespace gentianramp {

/// An instance and its data centre.
struct PlacedInstance
{
    InstanceId instance;
    DataCentreId dataCentre;
    auto operator<=>(const PlacedInstance &) const = default;
};

/// Number of members in a replica group; two of them are a majority.
constexpr std::size_t ReplicaGroupSize = 3;

/// Chooses the members that keep @p key by rendezvous hashing.
///
/// Instances of @p home come first; a data centre with fewer than @p size instances is filled up
/// from the others. The result depends only on the set of instances, not on their order. It is
/// smaller than @p size only when there are fewer instances.
std::vector<InstanceId> replicaGroup(std::string_view key, const DataCentreId &home,
                                     const std::vector<PlacedInstance> &instances,
                                     std::size_t size = ReplicaGroupSize);

/// Data centre that owns @p key: the part before the first '/' when that names one of @p sites,
/// else one found by rendezvous hashing. Empty when there are no sites.
DataCentreId homeDataCentre(std::string_view key, const std::vector<DataCentreId> &sites);

} // namespace gentianramp
