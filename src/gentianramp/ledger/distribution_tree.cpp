#include <algorithm>
#include <gentianramp/ledger/configuration_distribution.hpp>
#include <tuple>

namespace gentianramp {

namespace {

constexpr std::size_t AlternateParents = 4; ///< Tried besides the first one.

std::vector<DistributionMember> controlsOf(const DataCentreId &dataCentre,
                                           const std::vector<DistributionMember> &members)
{
    std::vector<DistributionMember> controls;
    std::copy_if(members.begin(), members.end(), std::back_inserter(controls),
                 [&](const DistributionMember &member) {
                     return member.control && member.dataCentre == dataCentre;
                 });
    std::sort(controls.begin(), controls.end(), [](const auto &left, const auto &right) {
        return std::tuple(!left.voter, left.instance) < std::tuple(!right.voter, right.instance);
    });
    return controls;
}

std::size_t placeOf(const InstanceId &instance, const std::vector<DistributionMember> &members)
{
    const auto found = std::find_if(members.begin(), members.end(), [&](const auto &member) {
        return member.instance == instance;
    });
    return static_cast<std::size_t>(found - members.begin());
}

/// Entry instances take the control processes in turn, so that each has about as many below it.
std::vector<InstanceId> parentsOfLeaf(const DistributionMember &self,
                                      const std::vector<DistributionMember> &controls,
                                      const std::vector<DistributionMember> &members)
{
    std::vector<DistributionMember> leaves;
    std::copy_if(members.begin(), members.end(), std::back_inserter(leaves),
                 [&](const DistributionMember &member) {
                     return !member.control && member.dataCentre == self.dataCentre;
                 });
    std::sort(leaves.begin(), leaves.end());
    const std::size_t place = placeOf(self.instance, leaves);
    std::vector<InstanceId> parents;
    for (std::size_t i = 0; i < std::min(controls.size(), AlternateParents + 1); ++i)
        parents.push_back(controls[(place + i) % controls.size()].instance);
    return parents;
}

std::vector<InstanceId> parentsOfControl(const DistributionMember &self,
                                         const std::vector<DistributionMember> &controls)
{
    const std::size_t place = placeOf(self.instance, controls);
    std::vector<InstanceId> parents;
    if (place == 0)
        return parents;
    const std::size_t first = (place - 1) / DistributionFanOut;
    parents.push_back(controls[first].instance);
    for (std::size_t i = 0; i < place && parents.size() <= AlternateParents; ++i) {
        if (i != first)
            parents.push_back(controls[i].instance);
    }
    return parents;
}

} // namespace

std::vector<InstanceId> distributionParents(const InstanceId &self,
                                            const std::vector<DistributionMember> &members)
{
    const std::size_t place = placeOf(self, members);
    if (place == members.size())
        return {};
    const DistributionMember &own = members[place];
    const std::vector<DistributionMember> controls = controlsOf(own.dataCentre, members);
    std::vector<InstanceId> parents
        = own.control ? parentsOfControl(own, controls) : parentsOfLeaf(own, controls, members);
    for (const DistributionMember &member : members) {
        if (member.voter && member.instance != self && member.dataCentre != own.dataCentre)
            parents.push_back(member.instance);
    }
    return parents;
}

} // namespace gentianramp
