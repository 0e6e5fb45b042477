#pragma once

#include <gentianramp/core/clock.hpp>
#include <gentianramp/idempotency/claim.hpp>
#include <gentianramp/membership/placement.hpp>
#include <gentianramp/membership/replica_groups.hpp>
#include <map>
#include <set>
#include <vector>

namespace gentianramp {

/// Computes the replica groups of keys under the current list of instances and under earlier lists
/// that have not expired.
class KeyGroups
{
public:
    KeyGroups(std::vector<PlacedInstance> instances, std::vector<DataCentreId> sites);

    /// Makes @p instances the current list; the previous list expires at @p earlierExpiresAt.
    void setInstances(std::vector<PlacedInstance> instances, TimePoint earlierExpiresAt);
    /// Drops earlier lists that have expired.
    void dropExpiredLists(TimePoint now);

    ReplicaGroups groups(const KeyScope &scope) const;
    /// Whether a list has only one instance, so that its groups have a single member.
    bool hasSingleMember() const;
    /// Instances that can be in the same group as @p self, under any list.
    std::set<InstanceId> possibleGroupPeers(const InstanceId &self) const;

private:
    struct InstanceList
    {
        std::vector<PlacedInstance> all;
        std::map<DataCentreId, std::vector<PlacedInstance>> bySite;
        TimePoint expiresAt;
    };

    static InstanceList makeList(std::vector<PlacedInstance> instances, TimePoint expiresAt);
    bool mayShareGroup(const InstanceList &list, const PlacedInstance &left,
                       const PlacedInstance &right) const;

    std::vector<InstanceList> m_lists; // the current list is the last
    std::vector<DataCentreId> m_sites;
};

} // namespace gentianramp
