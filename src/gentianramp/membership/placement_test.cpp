#include <algorithm>
#include <gentianramp/membership/placement.hpp>
#include <map>
#include <set>
#include <string>

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

std::vector<PlacedInstance> placed(const std::map<std::string, int> &counts)
{
    std::vector<PlacedInstance> result;
    for (const auto &[site, count] : counts) {
        for (int index = 1; index <= count; ++index) {
            result.push_back({.instance = InstanceId(site + "-" + std::to_string(index)),
                              .dataCentre = DataCentreId(site)});
        }
    }
    return result;
}

} // namespace

Test(Placement, FillsSmallDataCentreFromOthers)
{
    const auto instances = placed({{"hliny", 2}, {"solinky", 3}, {"vlcince", 3}});
    for (int number = 0; number < 50; ++number) {
        const auto group
            = replicaGroup("key-" + std::to_string(number), DataCentreId("hliny"), instances);
        cr_assert_eq(group.size(), ReplicaGroupSize);
        const std::set<InstanceId> distinct(group.begin(), group.end());
        cr_assert_eq(distinct.size(), ReplicaGroupSize);
        cr_assert(distinct.contains(InstanceId("hliny-1")));
        cr_assert(distinct.contains(InstanceId("hliny-2")));
    }
}

Test(Placement, IgnoresOrderOfInstances)
{
    auto instances = placed({{"a", 5}, {"b", 4}});
    const auto group = replicaGroup("k", DataCentreId("a"), instances);
    std::reverse(instances.begin(), instances.end());
    cr_assert(group == replicaGroup("k", DataCentreId("a"), instances));
}

Test(Placement, RemovedInstanceMovesOnlyItsKeys)
{
    const auto instances = placed({{"a", 8}});
    auto fewer = instances;
    fewer.pop_back();
    for (int number = 0; number < 200; ++number) {
        const std::string key = std::to_string(number);
        const auto before = replicaGroup(key, DataCentreId("a"), instances);
        const auto after = replicaGroup(key, DataCentreId("a"), fewer);
        const bool held
            = std::find(before.begin(), before.end(), InstanceId("a-8")) != before.end();
        cr_assert_eq(before == after, !held);
    }
}

Test(Placement, SpreadsKeysEvenly)
{
    const auto instances = placed({{"a", 6}});
    std::map<InstanceId, int> load;
    constexpr int keys = 6000;
    for (int number = 0; number < keys; ++number) {
        for (const InstanceId &member :
             replicaGroup(std::to_string(number), DataCentreId("a"), instances))
            ++load[member];
    }
    for (const auto &[member, count] : load) {
        cr_assert_geq(count, keys / 2 * 9 / 10);
        cr_assert_leq(count, keys / 2 * 11 / 10);
    }
}

Test(Placement, HomeIsNamedByTheKeyOrHashed)
{
    const std::vector<DataCentreId> sites{DataCentreId("a"), DataCentreId("b")};
    cr_assert_eq(homeDataCentre("b/123", sites), DataCentreId("b"));
    cr_assert_eq(homeDataCentre("b/1/2", sites), DataCentreId("b"));
    const DataCentreId hashed = homeDataCentre("c/123", sites);
    cr_assert(hashed == sites[0] || hashed == sites[1]);
    cr_assert_eq(hashed, homeDataCentre("c/123", {sites[1], sites[0]}));
    cr_assert(homeDataCentre("x", {}).value().empty());
}
