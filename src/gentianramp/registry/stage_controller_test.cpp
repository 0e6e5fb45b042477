#include <gentianramp/registry/stage_controller.hpp>

#include <algorithm>
#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

TimePoint at(int seconds)
{
    return TimePoint(std::chrono::seconds(1000 + seconds));
}

BackendListing engines(int count, int prefill)
{
    BackendListing listing;
    for (int number = 0; number < count; ++number)
        listing.servers.push_back({.id = BackendId("e" + std::to_string(number)),
                                   .service = "s",
                                   .dataCentre = DataCentreId("site" + std::to_string(number % 3)),
                                   .engine = true,
                                   .prefillOnly = number < prefill});
    return listing;
}

} // namespace

Test(stage_controller, ordersUntilTheShareIsReachedAndDoesNotRepeatThem)
{
    StageController controller;
    const BackendListing listing = engines(18, 6);
    const std::vector<StageOrder> orders = controller.decide(listing, {}, at(0));
    cr_assert_eq(orders.size(), 9U);
    for (const StageOrder &order : orders)
        cr_assert(order.prefill && !order.engine.prefillOnly);
    for (const char *site : {"site0", "site1", "site2"})
        cr_assert_eq(std::count_if(orders.begin(), orders.end(),
                                   [&](const StageOrder &order) {
                                       return order.engine.dataCentre == DataCentreId(site);
                                   }),
                     3);
    // The list still shows the old stages.
    cr_assert(controller.decide(listing, {}, at(1)).empty());
    cr_assert(controller.decide(engines(18, 15), {}, at(9)).empty());
}

Test(stage_controller, smallDeviationsAreTolerated)
{
    StageController controller;
    cr_assert(controller.decide(engines(18, 14), {}, at(0)).empty());
    cr_assert(controller.decide(engines(18, 15), {}, at(0)).empty());
    cr_assert(controller.decide(engines(2, 0), {}, at(0)).empty());
}

Test(stage_controller, eachDataCentreGetsADecodingEngine)
{
    // Enough engines decode, but none of them in the third data centre.
    StageController controller;
    BackendListing listing = engines(12, 12);
    for (int number : {0, 3, 1})
        listing.servers[static_cast<std::size_t>(number)].prefillOnly = false;
    const std::vector<StageOrder> orders = controller.decide(listing, {}, at(0));
    cr_assert_eq(orders.size(), 1U);
    cr_assert_not(orders.front().prefill);
    cr_assert_eq(orders.front().engine.dataCentre, DataCentreId("site2"));
}

Test(stage_controller, idleEnginesChangeBeforeBusyOnes)
{
    // A release adds idle decoding engines. Engines that generate answers must not change instead.
    StageController controller;
    const BackendListing listing = engines(18, 10);
    LoadReports loads;
    for (int number = 10; number < 15; ++number)
        loads.engines.push_back({.engine = BackendId("e" + std::to_string(number)), .running = 20});
    const std::vector<StageOrder> orders = controller.decide(listing, loads, at(0));
    cr_assert_eq(orders.size(), 5U);
    int idle = 0;
    for (const StageOrder &order : orders)
        idle += order.engine.id >= BackendId("e15") ? 1 : 0;
    cr_assert_eq(idle, 3);
    cr_assert(controller.changing(orders.front().engine, at(1)));
    ListedServer changed = orders.front().engine;
    changed.prefillOnly = true;
    cr_assert_not(controller.changing(changed, at(4)));
    cr_assert_not(controller.changing(orders.front().engine, at(9)));
}

Test(stage_controller, lostDecodingEngineIsReplaced)
{
    StageController controller;
    const std::vector<StageOrder> orders = controller.decide(engines(17, 15), {}, at(0));
    cr_assert_eq(orders.size(), 1U);
    cr_assert_not(orders.front().prefill);
}

Test(stage_controller, engineIsNotOrderedAgainWithinTheMinimumInterval)
{
    StageController controller;
    cr_assert_eq(controller.decide(engines(6, 0), {}, at(0)).size(), 4U);
    // The orders were lost, so that the list still shows no prefill engine. Engines that were sent
    // an order are not sent another one within the minimum interval.
    const std::vector<StageOrder> again = controller.decide(engines(6, 0), {}, at(10));
    cr_assert_leq(again.size(), 2U);
    cr_assert_eq(controller.decide(engines(6, 0), {}, at(25)).size(), 4U);
}
