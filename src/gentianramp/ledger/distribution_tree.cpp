#include <algorithm>
#include <gentianramp/ledger/configuration_distribution.hpp>
#include <tuple>

namespace gentianramp {

namespace {

constexpr std::size_t AlternateParentCount = 4; ///< Parents in the data centre besides the first.

std::vector<DistributionMember> controlsOf(const DataCentreId &dataCentre,
                                           const std::vector<DistributionMember> &members)
{
    std::vector<DistributionMember> controlProcesses;
    std::copy_if(members.begin(), members.end(), std::back_inserter(controlProcesses),
                 [&](const DistributionMember &member) {
                     return member.control && member.dataCentre == dataCentre;
                 });
    std::sort(controlProcesses.begin(), controlProcesses.end(),
              [](const auto &left, const auto &right) {
                  return std::tuple(!left.voter, left.instance)
                      < std::tuple(!right.voter, right.instance);
              });
    return controlProcesses;
}

std::size_t indexOf(const InstanceId &instance, const std::vector<DistributionMember> &members)
{
    const auto found = std::find_if(members.begin(), members.end(), [&](const auto &member) {
        return member.instance == instance;
    });
    return static_cast<std::size_t>(found - members.begin());
}

/// Assigns the processes that are not control processes to these round robin, so that each control
/// process has about the same number of them as children.
std::vector<InstanceId> parentsOfLeaf(const DistributionMember &self,
                                      const std::vector<DistributionMember> &controlProcesses,
                                      const std::vector<DistributionMember> &members)
{
    std::vector<DistributionMember> leaves;
    std::copy_if(members.begin(), members.end(), std::back_inserter(leaves),
                 [&](const DistributionMember &member) {
                     return !member.control && member.dataCentre == self.dataCentre;
                 });
    std::sort(leaves.begin(), leaves.end());
    const std::size_t index = indexOf(self.instance, leaves);
    std::vector<InstanceId> parents;
    for (std::size_t i = 0; i < std::min(controlProcesses.size(), AlternateParentCount + 1); ++i)
        parents.push_back(controlProcesses[(index + i) % controlProcesses.size()].instance);
    return parents;
}

std::vector<InstanceId> parentsOfControl(const DistributionMember &self,
                                         const std::vector<DistributionMember> &controlProcesses)
{
    const std::size_t index = indexOf(self.instance, controlProcesses);
    std::vector<InstanceId> parents;
    if (index == 0)
        return parents;
    const std::size_t first = (index - 1) / DistributionFanOut;
    parents.push_back(controlProcesses[first].instance);
    for (std::size_t i = 0; i < index && parents.size() <= AlternateParentCount; ++i) {
        if (i != first)
            parents.push_back(controlProcesses[i].instance);
    }
    return parents;
}

} // namespace

std::vector<InstanceId> distributionParents(const InstanceId &self,
                                            const std::vector<DistributionMember> &members)
{
    const std::size_t index = indexOf(self, members);
    if (index == members.size())
        return {};
    const DistributionMember &own = members[index];
    const std::vector<DistributionMember> controlProcesses = controlsOf(own.dataCentre, members);
    std::vector<InstanceId> parents = own.control ? parentsOfControl(own, controlProcesses)
                                                  : parentsOfLeaf(own, controlProcesses, members);
    for (const DistributionMember &member : members) {
        if (member.voter && member.instance != self && member.dataCentre != own.dataCentre)
            parents.push_back(member.instance);
    }
    return parents;
}

} // namespace gentianramp
