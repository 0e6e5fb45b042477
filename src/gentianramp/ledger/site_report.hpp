#pragma once

#include <cstdint>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/ledger/configuration_distribution.hpp>
#include <gentianramp/ledger/generated/spread.pb.h>
#include <map>
#include <string>
#include <vector>

namespace gentianramp {

/// Sorted instances of one data centre; reports name them by their place in it.
class SiteMembers
{
public:
    SiteMembers() = default;
    SiteMembers(const DataCentreId &dataCentre, const std::vector<DistributionMember> &members);

    std::uint64_t digest() const { return m_digest; }
    std::optional<std::size_t> placeOf(const InstanceId &instance) const;
    const InstanceId &at(std::size_t place) const { return m_instances[place]; }
    std::size_t size() const { return m_instances.size(); }

private:
    std::vector<InstanceId> m_instances;
    std::uint64_t m_digest = 0;
};

/// Revision in force for each place of a data centre that was reported.
using PlaceRevisions = std::map<std::size_t, std::uint64_t>;

/// Writes @p revisions into @p report.
void encodePlaces(const PlaceRevisions &revisions, proto::SpreadReport &report);
/// Places below @p count that @p report names.
PlaceRevisions decodePlaces(const proto::SpreadReport &report, std::size_t count);
/// Adds @p more to @p revisions; the larger revision of a place stays.
void mergePlaces(PlaceRevisions &revisions, const PlaceRevisions &more);

} // namespace gentianramp
