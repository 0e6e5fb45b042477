#include <gentianramp/usage/true_time.hpp>
#include <gentianramp/usage/usage_aggregate.hpp>
#include <gentianramp/usage/usage_counter.hpp>

#include <random>

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

constexpr std::int64_t Epoch = 1'767'000'000'000;
constexpr std::int64_t WindowMs = 5000;
constexpr std::uint64_t FirstWindow = Epoch / WindowMs;

TimePoint at(std::int64_t ms)
{
    return TimePoint(std::chrono::milliseconds(ms));
}

} // namespace

// One clock in three steps by an hour; windows must not move with it.
Test(true_time, aMinorityOfClocksThatStepDoesNotMatter)
{
    ClockMedian clocks;
    clocks.note(InstanceId("b"), Epoch + 10, at(1000));
    clocks.note(InstanceId("c"), Epoch - 10, at(1000));
    cr_assert_eq(clocks.trueMs(Epoch, at(1000)), Epoch);
    cr_assert_eq(clocks.trueMs(Epoch + 3'600'000, at(1000)), Epoch + 10);
    clocks.note(InstanceId("b"), Epoch - 3'600'000, at(1000));
    cr_assert_eq(clocks.trueMs(Epoch, at(1000)), Epoch - 10);
    // A process that is gone says nothing of the time any more.
    clocks.note(InstanceId("c"), Epoch + 6000, at(7000));
    cr_assert_eq(clocks.trueMs(Epoch + 6010, at(7000)), Epoch + 6005);
}

Test(true_time, shortRoundTripsAreBelievedMore)
{
    TrueTime time;
    cr_assert_not(time.at(at(0)).has_value());
    time.note(Epoch, at(100), at(104));
    cr_assert_eq(*time.at(at(104)), Epoch + 2);
    time.note(Epoch + 100, at(104), at(504)); // Its answer was held up on the way.
    cr_assert_eq(*time.at(at(504)), Epoch + 402);
    // A step of the stated time is followed once the old reading is uncertain enough.
    for (int second = 1; second <= 3; ++second)
        time.note(Epoch + 5000 + 1000 * second, at(500 + 1000 * second), at(506 + 1000 * second));
    cr_assert_eq(*time.at(at(3506)), Epoch + 8003);
}

Test(usage_counter, sendsWhatChangedAndForgetsDecidedWindows)
{
    UsageCounter counter({.incarnation = 7});
    counter.noteBegun("a", Epoch);
    counter.noteBegun("b", Epoch + WindowMs);
    const InstanceUsage all = counter.changedSince(0, Epoch + 6000);
    cr_assert(all.incarnation == 7 && all.completeMs == Epoch + 6000);
    cr_assert_eq(all.windows.size(), 2U);
    counter.noteBegun("a", Epoch + 1);
    const InstanceUsage news = counter.changedSince(all.sequence, Epoch + 6100);
    cr_assert(news.windows == (UsageWindows{{FirstWindow, {{"a", CustomerCounts{.begun = 2}}}}}));
    counter.dropDecided(FirstWindow);
    counter.noteBegun("a", Epoch + 2); // Too late: the window was reported.
    cr_assert_eq(counter.changedSince(0, 0).windows.count(FirstWindow), 0U);
    for (int window = 2; window < 100; ++window)
        counter.noteBegun("a", Epoch + window * WindowMs);
    cr_assert_leq(counter.changedSince(0, 0).windows.size(), 64U);
}

Test(usage_aggregate, knowsWhoIsBehind)
{
    UsageAggregate aggregate;
    aggregate.merge({.instance = InstanceId("x"), .completeMs = 900}, at(1000));
    aggregate.merge({.instance = InstanceId("y"), .completeMs = 1100}, at(1000));
    cr_assert_not(aggregate.isComplete(1000, at(0)));
    aggregate.merge({.instance = InstanceId("x"), .completeMs = 1000}, at(1200));
    cr_assert(aggregate.isComplete(1000, at(0)));
    aggregate.merge({.instance = InstanceId("y"), .completeMs = 5000}, at(5000));
    cr_assert_not(aggregate.isComplete(2000, at(0)));
    cr_assert(aggregate.isComplete(2000, at(2000))); // Nobody heard x since.
}

// Reports are lost, repeated and late, come by way of several processes, and instances start anew:
// no count may be lost or added twice.
Test(usage_aggregate, lostRepeatedAndLateReportsDoNoHarm)
{
    for (unsigned seed = 1; seed <= 200; ++seed) {
        std::mt19937 random(seed);
        UsageAggregate leader;
        UsageCounts truth;
        std::vector<InstanceUsage> late;
        for (unsigned instance = 0; instance < 4; ++instance) {
            for (unsigned incarnation = 1; incarnation <= 2; ++incarnation) {
                UsageCounter counter({.incarnation = incarnation});
                std::uint64_t acknowledged = 0;
                const auto report = [&](bool lost) {
                    InstanceUsage usage = counter.changedSince(acknowledged, Epoch);
                    usage.instance = InstanceId("i" + std::to_string(instance));
                    if (lost)
                        return;
                    if (random() % 2 == 0)
                        acknowledged = usage.sequence;
                    if (random() % 4 == 0)
                        late.push_back(usage);
                    leader.merge(usage, at(random() % 1000));
                };
                for (unsigned step = 0; step < 30; ++step) {
                    const std::string customer(1, static_cast<char>('a' + random() % 3));
                    counter.noteBegun(customer, Epoch + random() % WindowMs);
                    counter.addWork(customer, 100, Epoch);
                    ++truth[customer].begun;
                    truth[customer].work += 100;
                    report(random() % 3 == 0);
                }
                report(false);
            }
        }
        for (const InstanceUsage &usage : late)
            leader.merge(usage, at(2000));
        UsageAggregate successor;
        for (const InstanceUsage &usage : leader.changedSince(at(0)))
            successor.merge(usage, at(2000));
        cr_assert(successor.totals(FirstWindow) == truth, "seed %u", seed);
        successor.dropDecided(FirstWindow);
        cr_assert(successor.totals(FirstWindow).empty());
    }
}
