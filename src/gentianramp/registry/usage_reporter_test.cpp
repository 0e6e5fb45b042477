#include <gentianramp/registry/usage_reporter.hpp>

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

constexpr std::int64_t WindowMs = 5000;
constexpr std::uint64_t First = 1000;
constexpr std::int64_t Start = First * WindowMs;

TimePoint at(std::int64_t trueMs)
{
    return TimePoint(std::chrono::milliseconds(trueMs - Start + 100'000));
}

InstanceUsage completeUpTo(const std::string &instance, std::int64_t trueMs)
{
    return {.instance = InstanceId(instance), .completeMs = trueMs};
}

} // namespace

// A report that is sent before an instance has reported its counts is short of them.
Test(usage_reporter, waitsForInstancesThatAreBehindButNotForever)
{
    UsageReporter reporter({});
    reporter.lead(UsageRecord{.decided = First - 1}, Start, std::nullopt);
    UsageAggregate usage;
    usage.merge(completeUpTo("a", Start + WindowMs), at(Start + WindowMs));
    usage.merge(completeUpTo("b", Start + 4000), at(Start + 4000));
    cr_assert_not(reporter.due(usage, Start + WindowMs - 1, at(Start + WindowMs - 1)));
    cr_assert_not(reporter.due(usage, Start + WindowMs + 500, at(Start + WindowMs + 500)));
    usage.merge(completeUpTo("b", Start + WindowMs + 400), at(Start + WindowMs + 400));
    cr_assert(reporter.due(usage, Start + WindowMs + 500, at(Start + WindowMs + 500)) == First);
    // An instance that went on being heard, but whose counts are held up.
    UsageAggregate stuck;
    stuck.merge(completeUpTo("b", Start), at(Start + 2 * WindowMs));
    cr_assert_not(reporter.due(stuck, Start + 2 * WindowMs - 1, at(Start + 2 * WindowMs - 1)));
    cr_assert(reporter.due(stuck, Start + 2 * WindowMs, at(Start + 2 * WindowMs)) == First);
}

// Two reports of one window with different counts are worse than a missing one.
Test(usage_reporter, aSuccessorDecidesNoWindowThatMayHaveBeenReported)
{
    const UsageAggregate nobody;
    UsageReporter reporter({});
    cr_assert_not(reporter.due(nobody, Start + 100'000, at(Start)));
    reporter.lead(std::nullopt, Start + 100, std::nullopt);
    cr_assert_not(reporter.due(nobody, Start + 2 * WindowMs - 1, at(Start)));
    cr_assert(reporter.due(nobody, Start + 2 * WindowMs + 1, at(Start)) == First + 1);
    reporter.lead(UsageRecord{.decided = First + 5}, Start, std::nullopt);
    cr_assert_not(reporter.due(nobody, Start + 6 * WindowMs, at(Start)));
    cr_assert(reporter.due(nobody, Start + 8 * WindowMs, at(Start)) == First + 6);
    // At the first start of the system there was no holder before.
    reporter.lead(std::nullopt, Start + 9000, Start + 100);
    cr_assert(reporter.due(nobody, Start + 9000, at(Start)) == First);
    reporter.noteDecided(First);
    cr_assert_not(reporter.due(nobody, Start + 9000, at(Start)));
}

Test(usage_reporter, keepsReportsUntilTheyAreDelivered)
{
    UsageReporter reporter({.maxUndelivered = 3});
    reporter.lead(std::nullopt, Start, Start);
    std::optional<UsageRecord> record;
    record = reporter.next(record, {First, "one"});
    record = reporter.next(record, {First + 1, "two"});
    cr_assert(*record
              == (UsageRecord{.decided = First + 1,
                              .undelivered = {{First, "one"}, {First + 1, "two"}}}));
    reporter.noteDelivered(First);
    record = reporter.next(record, {First + 2, "three"});
    cr_assert_eq(record->undelivered.size(), 2U);
    cr_assert_eq(record->undelivered.front().body, "two");
    record = reporter.next(record, {First + 3, "four"});
    record = reporter.next(record, {First + 4, "five"});
    cr_assert_eq(record->undelivered.size(), 3U);
    cr_assert_eq(record->undelivered.front().body, "three");
    cr_assert_eq(record->decided, First + 4);
}
