#include <gentianramp/peers/record_keepers.hpp>

#include <algorithm>
#include <cstdint>
#include <xxhash.h>

namespace gentianramp {

std::vector<InstanceId> rankedInstances(std::vector<InstanceId> instances, std::string_view key,
                                        std::size_t count)
{
    const std::uint64_t seed = XXH3_64bits(key.data(), key.size());
    const auto rankOf = [seed](const InstanceId &instance) {
        return XXH3_64bits_withSeed(instance.value().data(), instance.value().size(), seed);
    };
    std::sort(instances.begin(), instances.end(),
              [&](const InstanceId &left, const InstanceId &right) {
                  return rankOf(left) > rankOf(right);
              });
    instances.resize(std::min(instances.size(), count));
    return instances;
}

} // namespace gentianramp
