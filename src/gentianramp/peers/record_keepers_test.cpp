#include <gentianramp/peers/record_keepers.hpp>

#include <algorithm>
#include <map>
#include <string>

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

std::vector<InstanceId> instances(int count)
{
    std::vector<InstanceId> result;
    result.reserve(count);
    for (int number = 0; number < count; ++number)
        result.emplace_back("10.0.0." + std::to_string(number) + ":7000");
    return result;
}

} // namespace

// A restarted instance that knows the registry instances in another order asks the wrong ones.
Test(record_keepers, areTheSameInAnyOrderOfTheInstances)
{
    std::vector<InstanceId> reversed = instances(8);
    std::reverse(reversed.begin(), reversed.end());
    for (int number = 0; number < 100; ++number) {
        const std::string key = "attempt-" + std::to_string(number);
        cr_assert(rankedInstances(instances(8), key, RegistryKeepers)
                  == rankedInstances(reversed, key, RegistryKeepers));
    }
}

// A registry instance that joins or is lost between the record and the question hides the record.
Test(record_keepers, oneChangeOfTheInstancesLeavesAKeeperAmongThoseAsked)
{
    for (int number = 0; number < 200; ++number) {
        const std::string key = "attempt-" + std::to_string(number);
        const auto kept = rankedInstances(instances(8), key, RegistryKeepers);
        for (const int count : {7, 9}) {
            const auto asked = rankedInstances(instances(count), key, RegistryWitnesses);
            cr_assert(std::any_of(kept.begin(), kept.end(), [&](const InstanceId &keeper) {
                return std::find(asked.begin(), asked.end(), keeper) != asked.end();
            }));
        }
    }
}

// All records at a few instances exceed the bound of their stores.
Test(record_keepers, areSpreadEvenly)
{
    std::map<InstanceId, int> kept;
    for (int number = 0; number < 8000; ++number) {
        for (const InstanceId &keeper :
             rankedInstances(instances(8), "attempt-" + std::to_string(number), RegistryKeepers))
            ++kept[keeper];
    }
    cr_assert_eq(kept.size(), 8U);
    for (const auto &[instance, count] : kept)
        cr_assert(count > 1600 && count < 2400, "2,000 are expected");
}

Test(record_keepers, areFewerWhereFewerAreKnown)
{
    cr_assert_eq(rankedInstances(instances(1), "key", RegistryKeepers).size(), 1U);
    cr_assert(rankedInstances({}, "key", RegistryKeepers).empty());
}
