#pragma once

#include <gentianramp/core/clock.hpp>
#include <gentianramp/idempotency/claim.hpp>
#include <gentianramp/membership/placement.hpp>
#include <gentianramp/membership/replica_groups.hpp>
#include <map>
#include <set>
#include <vector>

namespace gentianramp {

/// Finds the replica groups of keys over the present and the earlier lists of instances.
class KeyGroups
{
public:
    KeyGroups(std::vector<PlacedInstance> instances, std::vector<DataCentreId> sites);

    /// Puts @p instances in force; earlier lists stay needed until @p earlierExpiresAt.
    void setInstances(std::vector<PlacedInstance> instances, TimePoint earlierExpiresAt);
    /// Drops lists whose time is over.
    void dropExpiredLists(TimePoint now);

    ReplicaGroups groups(const KeyScope &scope) const;
    /// Whether some group has a single member.
    bool hasSingleMember() const;
    /// Instances other than @p self that can be in one group with it.
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

    std::vector<InstanceList> m_lists; // the one in force is the last
    std::vector<DataCentreId> m_sites;
};

} // namespace gentianramp
