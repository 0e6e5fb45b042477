#include <gentianramp/registry/stage_controller.hpp>

#include <algorithm>
#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

TimePoint at(int seconds)
{
    return TimePoint(std::chrono::seconds(1000 + seconds));
}

BackendListing engines(int count, int prefill, std::uint32_t slots = 64)
{
    BackendListing listing;
    for (int number = 0; number < count; ++number)
        listing.servers.push_back({.id = BackendId("e" + std::to_string(number)),
                                   .service = "s",
                                   .dataCentre = DataCentreId("site" + std::to_string(number % 3)),
                                   .slots = slots,
                                   .engine = true,
                                   .prefillOnly = number < prefill});
    return listing;
}

/// Options of a first start under which, before traffic, a sixth of the engines decode.
StageOptions presumingASixthDecodes()
{
    StageOptions options;
    options.presumedStreamsPerPrefill = 30;
    return options;
}

} // namespace

Test(stage_controller, ordersUntilThePresumedShareIsReachedAndDoesNotRepeatThem)
{
    StageController controller(presumingASixthDecodes());
    controller.setEntryProcesses(20);
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
    StageController controller(presumingASixthDecodes());
    controller.setEntryProcesses(20);
    cr_assert(controller.decide(engines(18, 14), {}, at(0)).empty());
    cr_assert(controller.decide(engines(18, 15), {}, at(0)).empty());
    cr_assert(controller.decide(engines(2, 0), {}, at(0)).empty());
}

Test(stage_controller, eachDataCentreGetsADecodingEngine)
{
    // Enough engines decode, but none of them in the third data centre.
    StageController controller(presumingASixthDecodes());
    controller.setEntryProcesses(20);
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
    StageController controller(presumingASixthDecodes());
    controller.setEntryProcesses(20);
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
    StageController controller(presumingASixthDecodes());
    controller.setEntryProcesses(20);
    const std::vector<StageOrder> orders = controller.decide(engines(17, 15), {}, at(0));
    cr_assert_eq(orders.size(), 1U);
    cr_assert_not(orders.front().prefill);
}

Test(stage_controller, engineIsNotOrderedAgainWithinTheMinimumInterval)
{
    StageController controller(presumingASixthDecodes());
    controller.setEntryProcesses(20);
    // One engine of each data centre goes on decoding.
    cr_assert_eq(controller.decide(engines(6, 0), {}, at(0)).size(), 3U);
    // The orders were lost, so that the list still shows no prefill engine. Engines that were sent
    // an order are not sent another one within the minimum interval.
    const std::vector<StageOrder> again = controller.decide(engines(6, 0), {}, at(9));
    cr_assert_leq(again.size(), 3U);
    cr_assert_eq(controller.decide(engines(6, 0), {}, at(25)).size(), 3U);
}

namespace {

/// Load of a service, in engines that are busy all the time.
struct Load
{
    double prefill = 0;
    double decode = 0;
};

/// Engines of one service with a simple queue model: the delays of a stage grow with its
/// utilization, and engines that change their stage are out of service for three seconds.
class Fleet
{
public:
    Fleet(int count, int prefill, std::uint32_t slots)
        : listing(engines(count, prefill, slots))
    { }

    std::size_t decoding() const
    {
        return std::count_if(listing.servers.begin(), listing.servers.end(),
                             [](const ListedServer &server) { return !server.prefillOnly; });
    }

    /// Mean delay of a request under @p load, in latency targets.
    double delay(const Load &load) const { return prefillDelay(load) + decodeDelay(load); }

    /// Observes and decides every half a second from @p from to @p until, in seconds; returns the
    /// number of orders.
    std::size_t play(StageController &controller, const Load &load, int from, int until)
    {
        std::size_t count = 0;
        for (int half = 2 * from; half < 2 * until; ++half) {
            const TimePoint now = at(0) + std::chrono::milliseconds(500 * half);
            for (ListedServer &server : listing.servers) {
                const auto change = m_changes.find(server.id);
                if (change == m_changes.end() || now < change->second.second)
                    continue;
                server.prefillOnly = change->second.first;
                m_changes.erase(change);
            }
            StageDelays delays;
            if (load.prefill + load.decode > 0)
                delays = {.requests = Requests,
                          .prefill = Requests * prefillDelay(load),
                          .decode = Requests * decodeDelay(load)};
            controller.observe(listing, {{"s", delays}}, now);
            const std::vector<StageOrder> orders = controller.decide(listing, {}, now);
            m_mostOrdersAtOnce = std::max(m_mostOrdersAtOnce, orders.size());
            count += orders.size();
            for (const StageOrder &order : orders)
                m_changes[order.engine.id] = {order.prefill, now + std::chrono::seconds(3)};
        }
        return count;
    }

    std::size_t mostOrdersAtOnce() const { return m_mostOrdersAtOnce; }

    BackendListing listing;

private:
    static constexpr double Requests = 100;

    static double queueDelay(double load, double servers)
    {
        const double utilization = servers > 0 ? load / servers : 1;
        return 0.05 * utilization / std::max(1 - utilization, 0.02);
    }

    double prefillDelay(const Load &load) const { return queueDelay(load.prefill, running(true)); }
    double decodeDelay(const Load &load) const { return queueDelay(load.decode, running(false)); }

    double running(bool prefill) const
    {
        return static_cast<double>(std::count_if(
            listing.servers.begin(), listing.servers.end(), [&](const ListedServer &server) {
                return server.prefillOnly == prefill && !m_changes.contains(server.id);
            }));
    }

    std::map<BackendId, std::pair<bool, TimePoint>> m_changes;
    std::size_t m_mostOrdersAtOnce = 0;
};

/// The lowest mean delay under @p load that a constant split of @p count engines reaches.
double bestConstantDelay(int count, const Load &load)
{
    double best = 1e9;
    for (int prefill = 1; prefill < count; ++prefill)
        best = std::min(best, Fleet(count, prefill, 64).delay(load));
    return best;
}

} // namespace

Test(stage_controller, fewerSlotsNeedMoreDecodingEnginesBeforeTraffic)
{
    std::size_t last = 60;
    for (const std::uint32_t slots : {6U, 16U, 64U, 256U}) {
        StageController controller(makeStageOptions(true));
        controller.setEntryProcesses(100);
        Fleet fleet(60, 20, slots);
        fleet.play(controller, {}, 0, 5);
        cr_assert_lt(fleet.decoding(), last);
        last = fleet.decoding();
    }
    cr_assert_geq(last, 3);
    // A system that ran before keeps its split, and so does one whose traffic pauses.
    StageController restarted(makeStageOptions(false));
    Fleet fleet(60, 20, 16);
    cr_assert_eq(fleet.play(restarted, {}, 0, 20), 0U);
    StageController paused(makeStageOptions(true));
    paused.setEntryProcesses(100);
    Fleet adapted(60, 50, 16);
    adapted.play(paused, {.prefill = 30, .decode = 3}, 0, 60);
    cr_assert_eq(adapted.play(paused, {}, 60, 120), 0U);
}

Test(stage_controller, ordersBeforeTrafficFollowTheEntryProcesses)
{
    // Ten engines for each entry process: most of them will be idle, and an order costs as much as
    // several requests are worth.
    StageController controller(makeStageOptions(true));
    controller.setEntryProcesses(100);
    Fleet fleet(1000, 350, 64);
    cr_assert_leq(fleet.play(controller, {}, 0, 60), 100U);
    // With little traffic, there are no more.
    cr_assert_eq(fleet.play(controller, {.prefill = 10, .decode = 3}, 60, 120), 0U);
}

Test(stage_controller, theSplitApproachesTheBestConstantOne)
{
    // From any split, within a minute, for loads whose best splits are far apart.
    for (const Load &load : {Load{35, 3}, Load{20, 20}, Load{10, 30}, Load{30, 12}}) {
        for (const int prefill : {15, 30, 50}) {
            StageController controller;
            Fleet fleet(60, prefill, 64);
            fleet.play(controller, load, 0, 90);
            const double best = bestConstantDelay(60, load);
            cr_assert_leq(fleet.delay(load), 1.3 * best + 0.03,
                          "load %.0f and %.0f from %d prefill engines: delay %.3f, best %.3f",
                          load.prefill, load.decode, prefill, fleet.delay(load), best);
        }
    }
}

Test(stage_controller, noOrdersWhileDelaysAreNegligible)
{
    // Load pattern of a large fleet with little traffic: an order would cost more than it brings.
    StageController controller;
    Fleet fleet(900, 300, 64);
    cr_assert_eq(fleet.play(controller, {.prefill = 40, .decode = 5}, 0, 60), 0U);
}

Test(stage_controller, shortBurstsOfOneKindChangeFewEngines)
{
    // Every three seconds, bursts of long prompts and of short questions alternate.
    StageController controller;
    Fleet fleet(60, 30, 16);
    fleet.play(controller, {.prefill = 20, .decode = 20}, 0, 30);
    std::size_t orders = 0;
    for (int from = 30; from < 90; from += 6) {
        orders += fleet.play(controller, {.prefill = 24, .decode = 15}, from, from + 3);
        orders += fleet.play(controller, {.prefill = 15, .decode = 24}, from + 3, from + 6);
    }
    cr_assert_leq(orders, 12U, "%zu orders within a minute of short bursts", orders);
}

Test(stage_controller, aSwingWithinAMinuteIsFollowed)
{
    StageController controller;
    Fleet fleet(60, 30, 16);
    fleet.play(controller, {.prefill = 36, .decode = 6}, 0, 60);
    cr_assert_leq(fleet.decoding(), 20);
    fleet.play(controller, {.prefill = 10, .decode = 32}, 60, 120);
    cr_assert_geq(fleet.decoding(), 36);
}

Test(stage_controller, aNewLeaderThatObservedKeepsTheSplit)
{
    // All registry processes observe; the successor goes on where its predecessor stopped.
    StageController leader;
    StageController successor(makeStageOptions(true));
    const Load load{.prefill = 35, .decode = 4};
    Fleet fleet(60, 30, 16);
    fleet.play(leader, load, 0, 60);
    Fleet observed = fleet;
    observed.play(successor, load, 60, 61);
    cr_assert_leq(observed.play(successor, load, 61, 90), 4U);
}

Test(stage_controller, onlyAPartOfTheEnginesChangesAtOnceUnderTraffic)
{
    StageController controller;
    Fleet fleet(60, 10, 64);
    fleet.play(controller, {.prefill = 30, .decode = 3}, 0, 90);
    cr_assert_leq(fleet.mostOrdersAtOnce(), 9U);
    cr_assert_leq(fleet.decoding(), 24);
}

Test(stage_controller, noPairsOfOrdersThatUndoEachOther)
{
    // Prefills are late, and no more than one engine of each data centre decodes. An order that
    // takes the last one would be followed by one for another engine there.
    for (const int count : {12, 18}) {
        StageController controller;
        Fleet fleet(count, count - 4, 64);
        fleet.listing.servers.back().dataCentre = DataCentreId("site3");
        fleet.listing.servers.front().dataCentre = DataCentreId("site3");
        cr_assert_eq(fleet.play(controller, {.prefill = count - 4.2, .decode = 0.3}, 0, 120), 0U);
        cr_assert_eq(fleet.decoding(), 4);
    }
}

Test(stage_controller, aLostDataCentreIsMadeUpFor)
{
    // A data centre with a third of the engines is lost; most of its engines prefilled.
    StageController controller;
    const Load load{.prefill = 24, .decode = 4};
    Fleet fleet(60, 46, 64);
    fleet.play(controller, load, 0, 40);
    fleet.listing.servers.erase(fleet.listing.servers.begin(), fleet.listing.servers.begin() + 20);
    fleet.play(controller, load, 40, 100);
    cr_assert_leq(fleet.delay(load), 1.3 * bestConstantDelay(40, load) + 0.03);
}
