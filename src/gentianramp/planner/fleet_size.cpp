#include <gentianramp/planner/fleet_size.hpp>

#include <algorithm>
#include <cmath>

namespace gentianramp {

namespace {

std::uint32_t total(const FleetSize &size)
{
    std::uint32_t sum = 0;
    for (const auto &[site, counts] : size)
        sum += counts.total();
    return sum;
}

/// Servers that are left after the loss of the data centre with the most.
std::uint32_t leftAfterLoss(const FleetSize &size)
{
    std::uint32_t largest = 0;
    for (const auto &[site, counts] : size)
        largest = std::max(largest, counts.total());
    return size.size() < 2 ? total(size) : total(size) - largest;
}

} // namespace

FleetSize cheapestFleetSize(const std::vector<ServerSite> &sites,
                            const SizeRequirement &requirement)
{
    FleetSize size;
    if (sites.empty())
        return size;
    std::vector<ServerSite> byPrice = sites;
    std::stable_sort(
        byPrice.begin(), byPrice.end(),
        [](const ServerSite &left, const ServerSite &right) { return left.price < right.price; });
    for (const ServerSite &site : byPrice)
        size[site.name].onDemand = site.minServers;
    const auto required = static_cast<std::uint32_t>(std::ceil(std::max(requirement.servers, 0.0)));
    // An even spread makes the largest loss smallest. Each server is added where the fewest are, in
    // the cheapest of these data centres.
    while (leftAfterLoss(size) < required) {
        const ServerSite *best = nullptr;
        for (const ServerSite &site : byPrice) {
            const bool hasRoom = size[site.name].total() < site.maxServers;
            if (hasRoom && (!best || size[site.name].total() < size[best->name].total()))
                best = &site;
        }
        if (!best)
            break;
        ++size[best->name].onDemand;
    }
    if (!requirement.spotPrice || *requirement.spotPrice >= 1)
        return size;
    auto base = static_cast<std::uint32_t>(
        std::ceil(std::clamp(requirement.onDemandShare, 0.0, 1.0) * required));
    for (const ServerSite &site : byPrice)
        std::swap(size[site.name].onDemand, size[site.name].spot);
    // The base is spread evenly too, so that a lost data centre takes little of it.
    while (base > 0) {
        ServerCounts *best = nullptr;
        for (const ServerSite &site : byPrice) {
            ServerCounts &counts = size[site.name];
            if (counts.spot > 0 && (!best || counts.onDemand < best->onDemand))
                best = &counts;
        }
        if (!best)
            break;
        ++best->onDemand;
        --best->spot;
        --base;
    }
    return size;
}

} // namespace gentianramp
