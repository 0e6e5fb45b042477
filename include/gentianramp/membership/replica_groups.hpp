#pragma once

#include <compare>
#include <cstdint>
#include <gentianramp/core/ids.hpp>
#include <set>
#include <vector>

namespace gentianramp {

/// Replica groups of one thing: one for each list of instances in force, so two while the list
/// changes. A decision needs a majority of every group.
class ReplicaGroups
{
public:
    explicit ReplicaGroups(std::vector<std::vector<InstanceId>> groups);

    /// Members of all groups, each once.
    const std::set<InstanceId> &members() const { return m_members; }
    /// Whether @p chosen holds a majority of every group.
    bool isQuorum(const std::set<InstanceId> &chosen) const;
    /// Whether a member that lost its memory can learn every decision from the others.
    bool canRecoverFromPeers() const;

private:
    std::vector<std::vector<InstanceId>> m_groups;
    std::set<InstanceId> m_members;
};

/// Orders the proposals for one thing that replicas agree on; no two proposals share a ballot.
struct Ballot
{
    std::uint64_t round = 0; ///< 0: no ballot.
    InstanceId instance;
    Incarnation incarnation;
    auto operator<=>(const Ballot &) const = default;
};

} // namespace gentianramp
