#include <gentianramp/membership/replica_groups.hpp>

#include <algorithm>
#include <utility>

namespace gentianramp {

ReplicaGroups::ReplicaGroups(std::vector<std::vector<InstanceId>> groups)
    : m_groups(std::move(groups))
{
    for (const auto &group : m_groups)
        m_members.insert(group.begin(), group.end());
}

bool ReplicaGroups::isQuorum(const std::set<InstanceId> &responders) const
{
    const auto hasMajority = [&responders](const std::vector<InstanceId> &group) {
        const auto count = std::count_if(group.begin(), group.end(), [&](const InstanceId &member) {
            return responders.contains(member);
        });
        return 2 * static_cast<std::size_t>(count) > group.size();
    };
    return !m_groups.empty() && std::all_of(m_groups.begin(), m_groups.end(), hasMajority);
}

bool ReplicaGroups::canRecoverFromPeers() const
{
    return std::all_of(m_groups.begin(), m_groups.end(),
                       [](const std::vector<InstanceId> &group) { return group.size() > 1; });
}

} // namespace gentianramp
