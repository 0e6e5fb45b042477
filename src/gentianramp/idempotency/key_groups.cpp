#include <gentianramp/idempotency/key_groups.hpp>

#include <algorithm>
#include <string>

namespace gentianramp {

namespace {

std::string placementKey(const KeyScope &scope)
{
    std::string text = scope.customer.value();
    text += '\0';
    text += scope.service.value();
    text += '\0';
    text += scope.key.value();
    return text;
}

} // namespace

KeyGroups::KeyGroups(std::vector<PlacedInstance> instances, std::vector<DataCentreId> sites)
    : m_sites(std::move(sites))
{
    m_lists.push_back(makeList(std::move(instances), TimePoint::max()));
}

KeyGroups::InstanceList KeyGroups::makeList(std::vector<PlacedInstance> instances,
                                            TimePoint expiresAt)
{
    InstanceList list{.all = std::move(instances), .bySite = {}, .expiresAt = expiresAt};
    for (const PlacedInstance &placed : list.all)
        list.bySite[placed.dataCentre].push_back(placed);
    return list;
}

void KeyGroups::setInstances(std::vector<PlacedInstance> instances, TimePoint earlierExpiresAt)
{
    m_lists.back().expiresAt = earlierExpiresAt;
    m_lists.push_back(makeList(std::move(instances), TimePoint::max()));
}

void KeyGroups::dropExpiredLists(TimePoint now)
{
    std::erase_if(m_lists, [now](const InstanceList &list) { return list.expiresAt <= now; });
}

ReplicaGroups KeyGroups::groups(const KeyScope &scope) const
{
    const DataCentreId home = homeDataCentre(scope.key.value(), m_sites);
    const std::string key = placementKey(scope);
    std::vector<std::vector<InstanceId>> groups;
    for (const InstanceList &list : m_lists) {
        const auto site = list.bySite.find(home);
        const bool enough = site != list.bySite.end() && site->second.size() >= ReplicaGroupSize;
        groups.push_back(replicaGroup(key, home, enough ? site->second : list.all));
    }
    return ReplicaGroups(std::move(groups));
}

bool KeyGroups::mayShareGroup(const InstanceList &list, const PlacedInstance &left,
                              const PlacedInstance &right) const
{
    if (left.dataCentre == right.dataCentre)
        return true;
    // Keys of a data centre with too few instances are placed over all instances.
    return std::any_of(m_sites.begin(), m_sites.end(), [&list](const DataCentreId &site) {
        const auto own = list.bySite.find(site);
        return own == list.bySite.end() || own->second.size() < ReplicaGroupSize;
    });
}

bool KeyGroups::hasSingleMember() const
{
    return std::any_of(m_lists.begin(), m_lists.end(),
                       [](const InstanceList &list) { return list.all.size() == 1; });
}

std::set<InstanceId> KeyGroups::possibleGroupPeers(const InstanceId &self) const
{
    std::set<InstanceId> found;
    for (const InstanceList &list : m_lists) {
        const auto own
            = std::find_if(list.all.begin(), list.all.end(), [&self](const PlacedInstance &placed) {
                  return placed.instance == self;
              });
        if (own == list.all.end())
            continue;
        for (const PlacedInstance &other : list.all) {
            if (other.instance != self && mayShareGroup(list, *own, other))
                found.insert(other.instance);
        }
    }
    return found;
}

} // namespace gentianramp
