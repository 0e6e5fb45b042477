#include <gentianramp/fleet/fleet_table.hpp>
#include <random>
#include <string>

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

constexpr TimePoint Now{std::chrono::hours(1)};
const DataCentreId Site("a");

BackendView engine(const std::string &name, BackendPhase phase = BackendPhase::Serving)
{
    BackendView view;
    view.id = BackendId(name);
    view.site = Site;
    view.service = ServiceId("desk");
    view.host = "127.0.0.1";
    view.port = 8000;
    view.models = {{ModelId("m"), "1"}};
    view.adapters = {"x"};
    view.role = EngineRole::Decode;
    view.phase = phase;
    return view;
}

struct Bench
{
    FleetSender sender{Site};
    FleetReceiver receiver{Site};
};

} // namespace

Test(FleetTable, WholeTableThenChanges)
{
    Bench bench;
    const FleetView first{Site, {engine("e1"), engine("e2")}};
    const std::string whole = bench.sender.update(first, FencingNumber(1));
    cr_assert(bench.receiver.onMessage(whole, Now).view == first);
    const FleetView second{Site, {engine("e1"), engine("e3", BackendPhase::Draining)}};
    const std::string change = bench.sender.update(second, FencingNumber(1));
    cr_assert_lt(change.size(), whole.size());
    cr_assert(bench.receiver.onMessage(change, Now).view == second);
    const std::string same = bench.sender.update(second, FencingNumber(1));
    const TimePoint later = Now + std::chrono::seconds(1);
    cr_assert_not(bench.receiver.onMessage(same, later).view.has_value());
    cr_assert_eq(bench.receiver.confirmedAt(), later);
}

Test(FleetTable, ReceiverThatMissedAChangeAsksAndCatchesUp)
{
    Bench bench;
    bench.receiver.onMessage(bench.sender.update({Site, {engine("e1")}}, FencingNumber(1)), Now);
    bench.sender.update({Site, {engine("e2")}}, FencingNumber(1));
    const FleetView last{Site, {engine("e3")}};
    const std::string change = bench.sender.update(last, FencingNumber(1));
    const auto outcome = bench.receiver.onMessage(change, Now);
    cr_assert_not(outcome.view.has_value());
    cr_assert(FleetSender::isRequest(outcome.request));
    cr_assert(bench.receiver.onMessage(change, Now).request.empty());
    cr_assert(bench.receiver.onMessage(bench.sender.wholeTable(), Now).view == last);
}

Test(FleetTable, ReceiverThatMissedTheLastChangeLearnsOfItFromTheConfirmation)
{
    Bench bench;
    bench.receiver.onMessage(bench.sender.update({Site, {engine("e1")}}, FencingNumber(1)), Now);
    const FleetView last{Site, {engine("e2")}};
    bench.sender.update(last, FencingNumber(1));
    const auto outcome = bench.receiver.onMessage(bench.sender.update(last, FencingNumber(1)), Now);
    cr_assert(FleetSender::isRequest(outcome.request));
}

Test(FleetTable, TablesOfEarlierHoldersAndOvertakenOnesChangeNothing)
{
    Bench bench;
    FleetSender successor(Site);
    const std::string old = bench.sender.update({Site, {engine("e1")}}, FencingNumber(1));
    const std::string first = successor.update({Site, {engine("e2")}}, FencingNumber(2));
    cr_assert(bench.receiver.onMessage(first, Now).view.has_value());
    cr_assert_not(bench.receiver.onMessage(old, Now).view.has_value());
    cr_assert_not(bench.receiver.onMessage(first, Now).view.has_value());
    cr_assert_eq(bench.receiver.fencing(), FencingNumber(2));
}

Test(FleetTable, MangledMessagesNeverBreakIt)
{
    Bench bench;
    std::mt19937_64 random(1);
    for (int run = 0; run < 3000; ++run) {
        std::string bytes
            = bench.sender.update({Site, {engine("e" + std::to_string(run))}}, FencingNumber(1));
        bytes[random() % bytes.size()] = static_cast<char>(random());
        bytes.resize(random() % (bytes.size() + 1));
        bench.receiver.onMessage(bytes, Now);
    }
    cr_assert(true);
}
