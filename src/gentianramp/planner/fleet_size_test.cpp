#include <gentianramp/planner/fleet_size.hpp>

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

const DataCentreId A("a");
const DataCentreId B("b");
const DataCentreId C("c");

std::vector<ServerSite> sites(std::uint32_t least = 1, std::uint32_t most = 60)
{
    return {{A, 1.0, least, most}, {B, 0.8, least, most}, {C, 1.25, least, most}};
}

} // namespace

// A fleet that is sized for the demand alone is too small once a data centre is lost.
Test(fleet_size, survivesTheLossOfADataCentreAtTheLowestPrice)
{
    const FleetSize size = cheapestFleetSize(sites(), {.servers = 9, .onDemandShare = 0});
    cr_assert(size == (FleetSize{{A, {5, 0}}, {B, {5, 0}}, {C, {4, 0}}}));
    const FleetSize spot
        = cheapestFleetSize(sites(), {.servers = 9, .onDemandShare = 0, .spotPrice = 0.22});
    cr_assert(spot == (FleetSize{{A, {0, 5}}, {B, {0, 5}}, {C, {0, 4}}}));
    // Spot servers that cost more are not ordered.
    cr_assert(cheapestFleetSize(sites(), {.servers = 9, .spotPrice = 1.1}).at(A).spot == 0);
}

Test(fleet_size, keepsServersOnDemandForThatAllSpotServersAreReclaimed)
{
    const FleetSize size
        = cheapestFleetSize(sites(), {.servers = 30, .onDemandShare = 0.33, .spotPrice = 0.22});
    std::uint32_t onDemand = 0;
    for (const auto &[site, counts] : size) {
        onDemand += counts.onDemand;
        cr_assert_eq(counts.total(), 15U);
        cr_assert_geq(counts.onDemand, 3U);
    }
    cr_assert_eq(onDemand, 10U);
}

Test(fleet_size, keepsToTheBoundsOfEachDataCentre)
{
    for (const auto &[site, counts] : cheapestFleetSize(sites(2, 4), {.servers = 100}))
        cr_assert_eq(counts.total(), 4U);
    for (const auto &[site, counts] : cheapestFleetSize(sites(2, 4), {.servers = 0}))
        cr_assert_eq(counts.total(), 2U);
    cr_assert(cheapestFleetSize({}, {.servers = 5}).empty());
    cr_assert_eq(cheapestFleetSize({{A, 1, 0, 9}}, {.servers = 5}).at(A).total(), 5U);
}
