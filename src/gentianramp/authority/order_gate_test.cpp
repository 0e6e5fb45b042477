#include <gentianramp/authority/order_gate.hpp>
#include <vector>

#include <criterion/criterion.h>

using namespace gentianramp;
using namespace std::chrono_literals;

namespace {

const BackendId Engine("e1");
const PlannedOrder Drain{.backend = Engine, .kind = OrderKind::Drain};
constexpr TimePoint Start{1h};
const FencingNumber Own(FencingBlock);
const FencingNumber Next(FencingBlock + 1);

/// Gate of a process that got its numbers at Start and may send for two seconds.
struct Bench
{
    Bench()
        : gate(DataCentreId("a"), 500ms,
               {.clock = [this] { return now; },
                .lease =
                    [this](TimePoint time) {
                        return time < lease.sendUntil ? std::optional(lease) : std::nullopt;
                    },
                .send = [this](const SentOrder &order) { sent.push_back(order); },
                .raiseFencing = [this](FencingNumber seen) { raisedAbove = seen; }})
    { }

    std::error_code error() { return gate.trySend(Drain).error(); }

    void fence()
    {
        gate.onReport(Engine, FencingNumber(4), Start + 1ms);
        now += 20ms;
        gate.onAnswer(Engine, sent.at(0).orderId, Own);
        gate.onReport(Engine, Own, now);
    }

    HeldLease lease{Own, Start, Start + 2s};
    TimePoint now = Start + 10ms;
    std::vector<SentOrder> sent;
    FencingNumber raisedAbove;
    OrderGate gate;
};

} // namespace

Test(OrderGate, FencesAndReadsAgainBeforeTheFirstOrder)
{
    Bench bench;
    cr_assert_eq(bench.error(), make_error_code(Error::Unavailable));
    bench.gate.onReport(Engine, FencingNumber(4), Start - 1ms);
    cr_assert(bench.sent.empty());
    bench.gate.onReport(Engine, FencingNumber(4), Start + 1ms);
    cr_assert_eq(bench.sent.size(), 1U);
    cr_assert_eq(bench.sent[0].order.kind, OrderKind::Fence);
    cr_assert_eq(bench.error(), make_error_code(Error::Overloaded));
    bench.now += 20ms;
    bench.gate.onAnswer(Engine, bench.sent[0].orderId, Own);
    cr_assert_eq(bench.error(), make_error_code(Error::Unavailable));
    bench.gate.onReport(Engine, Own, bench.now);
    cr_assert_not(bench.error());
    cr_assert_eq(bench.sent[1].fencing, Own);
    cr_assert_neq(bench.sent[0].orderId, bench.sent[1].orderId);
}

Test(OrderGate, UnansweredFenceIsRepeatedAfterItsFlight)
{
    Bench bench;
    bench.gate.onReport(Engine, FencingNumber(4), Start + 1ms);
    cr_assert_eq(bench.gate.ordersArrivedAt(), bench.now + 500ms);
    bench.now += 500ms;
    bench.gate.onReport(Engine, Own, bench.now);
    cr_assert_eq(bench.sent.size(), 2U);
    cr_assert_eq(bench.sent[1].order.kind, OrderKind::Fence);
    cr_assert_eq(bench.sent[1].fencing, Next);
}

Test(OrderGate, RefusesWhenTheLeaseIsNotCertain)
{
    Bench bench;
    bench.fence();
    bench.now = Start + 2s;
    cr_assert_eq(bench.error(), make_error_code(Error::StaleAuthority));
    cr_assert_eq(bench.sent.size(), 1U);
    cr_assert_eq(bench.gate.refusedWithoutLease(), 1U);
}

Test(OrderGate, RaisesItsNumberAboveOneThatItDidNotGive)
{
    Bench bench;
    bench.gate.onReport(Engine, Own, Start + 1ms);
    cr_assert_eq(bench.error(), make_error_code(Error::StaleAuthority));
    cr_assert_eq(bench.raisedAbove, Own);
    cr_assert(bench.sent.empty());
}

Test(OrderGate, WaitsOutTheFlightOfAnUnansweredOrder)
{
    Bench bench;
    bench.fence();
    cr_assert_not(bench.error());
    const TimePoint sentAt = bench.now;
    bench.now += 499ms;
    bench.gate.onReport(Engine, Own, bench.now);
    cr_assert_eq(bench.error(), make_error_code(Error::Overloaded));
    bench.now = sentAt + 500ms;
    cr_assert_eq(bench.error(), make_error_code(Error::Unavailable));
    bench.gate.onReport(Engine, Own, bench.now);
    cr_assert_eq(bench.sent.back().order.kind, OrderKind::Fence);
    cr_assert_eq(bench.sent.back().fencing, Next);
}

Test(OrderGate, OrderThatNeverLeftKeepsTheNumber)
{
    Bench bench;
    bench.fence();
    cr_assert_not(bench.error());
    bench.gate.onNotSent(Engine, bench.sent.back().orderId);
    bench.now += 1ms;
    bench.gate.onReport(Engine, Own, bench.now);
    cr_assert_not(bench.error());
    cr_assert_eq(bench.sent.back().fencing, Own);
}

Test(OrderGate, ALateAnswerMakesEarlierReportsOld)
{
    // The order arrives after its flight; a report that was asked for before then shows the engine
    // idle and comes after the answer (schedule 61909186026).
    Bench bench;
    bench.fence();
    cr_assert_not(bench.error());
    const std::string order = bench.sent.back().orderId;
    const TimePoint requestedAt = bench.now + 700ms;
    bench.now += 720ms;
    bench.gate.onAnswer(Engine, order, Own);
    bench.now += 5ms;
    bench.gate.onReport(Engine, Own, requestedAt);
    cr_assert_eq(bench.error(), make_error_code(Error::Unavailable));
    bench.gate.onReport(Engine, Own, bench.now);
    cr_assert_not(bench.error());
}

Test(OrderGate, NumbersOfItsOwnEarlierLeaseCountLikeThoseOfOthers)
{
    // All members forgot the numbers, and this process gets a lease with a lower one than it had
    // (schedule 61909185752).
    Bench bench;
    bench.lease.fencing = FencingNumber(3 * FencingBlock);
    bench.fence();
    cr_assert_eq(bench.sent.size(), 1U);
    bench.now += 1s;
    bench.lease = HeldLease{Own, bench.now, bench.now + 2s};
    bench.gate.onReport(Engine, FencingNumber(3 * FencingBlock), bench.now + 1ms);
    cr_assert_eq(bench.sent.size(), 1U);
    cr_assert_eq(bench.raisedAbove, FencingNumber(3 * FencingBlock));
}

Test(OrderGate, SendsNothingBeforeAllEnginesWereReadOrGivenUp)
{
    // All members forgot the numbers, and only the other engine knows the largest one (schedules
    // 5000121 and 777003171).
    const BackendId other("e2");
    Bench bench;
    bench.gate.setEngines({Engine, other});
    bench.gate.onReport(Engine, FencingNumber(4), Start + 1ms);
    cr_assert(bench.sent.empty());
    cr_assert_eq(bench.error(), make_error_code(Error::Unavailable));
    bench.gate.onReport(other, FencingNumber(2 * FencingBlock), Start + 2ms);
    cr_assert(bench.sent.empty());
    cr_assert_eq(bench.raisedAbove, FencingNumber(2 * FencingBlock));
    cr_assert_eq(bench.error(), make_error_code(Error::StaleAuthority));
}

Test(OrderGate, AnEngineThatGivesNoAnswerUnderThisLeaseIsNotWaitedFor)
{
    const BackendId other("e2");
    Bench bench;
    bench.gate.setEngines({Engine, other});
    bench.gate.onUnreachable(other, Start - 1ms);
    bench.gate.onReport(Engine, FencingNumber(4), Start + 1ms);
    cr_assert(bench.sent.empty());
    bench.gate.onUnreachable(other, Start + 2ms);
    bench.gate.onReport(Engine, FencingNumber(4), Start + 3ms);
    cr_assert_eq(bench.sent.size(), 1U);
    cr_assert_eq(bench.sent[0].order.kind, OrderKind::Fence);
}
