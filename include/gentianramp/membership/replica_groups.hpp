#pragma once

#include <compare>
#include <cstdint>
#include <gentianramp/core/ids.hpp>
#include <set>
#include <vector>

namespace gentianramp {

/// Replica groups of one key. There is one group for each list of instances that is in force, so
/// two while a new list replaces an old one. A decision needs a majority of every group.
class ReplicaGroups
{
public:
    explicit ReplicaGroups(std::vector<std::vector<InstanceId>> groups);

    /// Members of all groups, each once.
    const std::set<InstanceId> &members() const { return m_members; }
    /// True when @p responders contains a majority of every group.
    bool isQuorum(const std::set<InstanceId> &responders) const;
    /// True when every group has another member from which a restarted one can recover the
    /// decisions.
    bool canRecoverFromPeers() const;

private:
    std::vector<std::vector<InstanceId>> m_groups;
    std::set<InstanceId> m_members;
};

/// Ballot number of a proposal in a consensus protocol: orders all proposals for one key and is
/// unique to each.
struct Ballot
{
    std::uint64_t round = 0; ///< 0: no ballot.
    InstanceId instance;
    Incarnation incarnation;
    auto operator<=>(const Ballot &) const = default;
};

} // namespace gentianramp
