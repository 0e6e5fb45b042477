#pragma once

#include <gentianramp/core/clock.hpp>
#include <gentianramp/idempotency/claim.hpp>
#include <gentianramp/membership/placement.hpp>
#include <map>
#include <set>
#include <vector>

namespace gentianramp {

/// Replica groups of one key: one for each list of instances in force. A decision needs a
/// majority of every group.
class ReplicaGroups
{
public:
    explicit ReplicaGroups(std::vector<std::vector<InstanceId>> groups);

    /// Members of all groups, each once.
    const std::set<InstanceId> &members() const { return m_members; }
    /// Whether @p chosen holds a majority of every group.
    bool isQuorum(const std::set<InstanceId> &chosen) const;
    /// Whether a member that lost its memory can learn every decision from the others.
    bool isRelearnable() const;

private:
    std::vector<std::vector<InstanceId>> m_groups;
    std::set<InstanceId> m_members;
};

/// Finds the replica groups of keys over the present and the earlier lists of instances.
class KeyGroups
{
public:
    KeyGroups(std::vector<PlacedInstance> instances, std::vector<DataCentreId> sites);

    /// Puts @p instances in force; earlier lists stay needed until @p earlierUntil.
    void setInstances(std::vector<PlacedInstance> instances, TimePoint earlierUntil);
    /// Drops lists whose time is over.
    void forgetEarlier(TimePoint now);

    ReplicaGroups groups(const KeyScope &scope) const;
    /// Whether some group has a single member.
    bool hasSingleMember() const;
    /// Instances other than @p self that can be in one group with it.
    std::set<InstanceId> neighbours(const InstanceId &self) const;

private:
    struct InstanceList
    {
        std::vector<PlacedInstance> all;
        std::map<DataCentreId, std::vector<PlacedInstance>> bySite;
        TimePoint until;
    };

    static InstanceList makeList(std::vector<PlacedInstance> instances, TimePoint until);
    bool mayShareGroup(const InstanceList &list, const PlacedInstance &left,
                       const PlacedInstance &right) const;

    std::vector<InstanceList> m_lists; // the one in force is the last
    std::vector<DataCentreId> m_sites;
};

} // namespace gentianramp
