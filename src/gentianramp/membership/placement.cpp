#include <gentianramp/membership/placement.hpp>

#include <algorithm>
#include <cstdint>
#include <xxhash.h>

namespace gentianramp {

namespace {

std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate)
{
    const std::uint64_t seed = XXH3_64bits(candidate.data(), candidate.size());
    return XXH3_64bits_withSeed(key.data(), key.size(), seed);
}

struct Candidate
{
    bool remote = false;
    std::uint64_t weight = 0;
    InstanceId instance;
};

bool isPreferred(const Candidate &left, const Candidate &right)
{
    if (left.remote != right.remote)
        return !left.remote;
    if (left.weight != right.weight)
        return left.weight > right.weight;
    return left.instance < right.instance;
}

} // namespace

std::vector<InstanceId> replicaGroup(std::string_view key, const DataCentreId &home,
                                     const std::vector<PlacedInstance> &instances, std::size_t size)
{
    std::vector<Candidate> candidates;
    candidates.reserve(instances.size());
    for (const PlacedInstance &placed : instances) {
        candidates.push_back({.remote = placed.dataCentre != home,
                              .weight = rendezvousWeight(key, placed.instance.value()),
                              .instance = placed.instance});
    }
    const auto count = static_cast<std::ptrdiff_t>(std::min(size, candidates.size()));
    std::partial_sort(candidates.begin(), candidates.begin() + count, candidates.end(),
                      isPreferred);
    std::vector<InstanceId> group;
    for (std::ptrdiff_t index = 0; index < count; ++index)
        group.push_back(candidates[static_cast<std::size_t>(index)].instance);
    return group;
}

DataCentreId homeDataCentre(std::string_view key, const std::vector<DataCentreId> &sites)
{
    const std::size_t slash = key.find('/');
    if (slash != std::string_view::npos) {
        DataCentreId named{std::string(key.substr(0, slash))};
        if (std::find(sites.begin(), sites.end(), named) != sites.end())
            return named;
    }
    DataCentreId best;
    std::uint64_t bestWeight = 0;
    for (const DataCentreId &site : sites) {
        const std::uint64_t weight = rendezvousWeight(key, site.value());
        if (best.value().empty() || weight > bestWeight || (weight == bestWeight && site < best)) {
            best = site;
            bestWeight = weight;
        }
    }
    return best;
}

} // namespace gentianramp
