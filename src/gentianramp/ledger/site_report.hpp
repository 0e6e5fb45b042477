#pragma once

#include <cstdint>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/ledger/configuration_distribution.hpp>
#include <gentianramp/ledger/generated/spread.pb.h>
#include <map>
#include <string>
#include <vector>

namespace gentianramp {

/// Sorted instances of one data centre; reports identify an instance by its index in this list.
class SiteIndex
{
public:
    SiteIndex() = default;
    SiteIndex(const DataCentreId &dataCentre, const std::vector<DistributionMember> &members);

    std::uint64_t digest() const { return m_digest; }
    std::optional<std::size_t> indexOf(const InstanceId &instance) const;
    const InstanceId &at(std::size_t index) const { return m_instances[index]; }
    std::size_t size() const { return m_instances.size(); }

private:
    std::vector<InstanceId> m_instances;
    std::uint64_t m_digest = 0;
};

/// Reported revisions in force by the instance's index in SiteIndex.
using RevisionsByIndex = std::map<std::size_t, std::uint64_t>;

/// Writes @p revisions into @p report.
void encodeRevisions(const RevisionsByIndex &revisions, proto::SpreadReport &report);
/// Reads the revisions in @p report; skips indices from @p count on, the size of the data centre.
RevisionsByIndex decodeRevisions(const proto::SpreadReport &report, std::size_t count);
/// Adds @p more to @p revisions; for an index in both, the larger revision is kept.
void mergeRevisions(RevisionsByIndex &revisions, const RevisionsByIndex &more);

} // namespace gentianramp
