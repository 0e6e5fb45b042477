#include "gentianramp/routing/circuit_breaker.hpp"
#include "gentianramp/routing/output_estimate.hpp"
#include "gentianramp/routing/prefix_index.hpp"
#include "gentianramp/routing/waiting_request.hpp"
#include <random>

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

const TimePoint Start{std::chrono::seconds(100)};

WaitingRequest waitingWith(WaitNumber number, std::uint32_t priority, int deadlineSeconds)
{
    WaitingRequest request;
    request.number = number;
    request.attributes.priority = priority;
    request.attributes.deadline = Start + std::chrono::seconds(deadlineSeconds);
    request.engineSeconds = 1;
    return request;
}

} // namespace

Test(PrefixIndex, StaysBoundedAndKeepsTheNewestEntry)
{
    PrefixIndex index(64);
    TimePoint now = Start;
    for (PrefixHash prefix = 1; prefix <= 10000; ++prefix) {
        now += std::chrono::milliseconds(100);
        index.store(prefix, static_cast<BackendNumber>(prefix % 7), 10, now);
    }
    std::size_t known = 0;
    for (PrefixHash prefix = 1; prefix <= 10000; ++prefix)
        known += index.holders(std::vector<PromptPrefix>{{prefix, 10}}, now).size();
    cr_assert_leq(known, 64);
    cr_assert_eq(index.holders(std::vector<PromptPrefix>{{10000, 10}}, now).size(), 1);
}

Test(PrefixIndex, ReturnsTheLongestPrefixOfEachHolder)
{
    PrefixIndex index(64);
    index.store(1, 3, 100, Start);
    index.store(2, 3, 200, Start);
    index.store(1, 4, 100, Start);
    const auto holders = index.holders(std::vector<PromptPrefix>{{1, 100}, {2, 200}}, Start);
    cr_assert_eq(holders.size(), 2);
    cr_assert_eq(holders[0], (CacheHolder{3, 200}));
    cr_assert_eq(holders[1], (CacheHolder{4, 100}));
}

// An entry that another thread had stored a moment later counted as the oldest of all.
Test(PrefixIndex, AnEntryFromAMomentLaterIsNotOld)
{
    PrefixIndex index(64);
    index.store(1, 3, 100, Start + std::chrono::milliseconds(100));
    const auto holders = index.holders(std::vector<PromptPrefix>{{1, 100}}, Start);
    cr_assert_eq(holders.size(), 1);
    cr_assert_eq(holders[0], (CacheHolder{3, 100}));
}

Test(PrefixIndex, EntriesFromBeforeAGapCountHalfTheirTokens)
{
    PrefixIndex index(64);
    index.store(1, 3, 100, Start);
    index.recordGap(3, Start + std::chrono::seconds(1));
    const std::vector<PromptPrefix> prefixes{{1, 100}};
    const TimePoint later = Start + std::chrono::seconds(2);
    cr_assert_eq(index.holders(prefixes, later).front().tokens, 50);
    index.store(1, 3, 100, later);
    cr_assert_eq(index.holders(prefixes, later).front().tokens, 100);
    index.clear(3);
    cr_assert(index.holders(prefixes, later).empty());
}

Test(AdmissionQueue, OrdersByPriorityThenDeadline)
{
    RequestQueue queue(10);
    queue.push(waitingWith(1, 1, 5));
    queue.push(waitingWith(2, 1, 3));
    queue.push(waitingWith(3, 0, 9));
    cr_assert_eq(queue.firstInOrder(3), (std::vector<WaitNumber>{3, 2, 1}));
    cr_assert_float_eq(queue.engineSecondsBefore(1, Start + std::chrono::seconds(3)), 2, 1e-9);
}

Test(AdmissionQueue, LeastUrgentClassIsTriedAfterEightUrgentDispatches)
{
    RequestQueue queue(100);
    queue.push(waitingWith(1, 1, 5));
    for (WaitNumber number = 2; number < 20; ++number)
        queue.push(waitingWith(number, 0, 5));
    int urgent = 0;
    while (queue.firstInOrder(1).front() != 1) {
        queue.takeForDispatch(queue.firstInOrder(1).front());
        ++urgent;
    }
    cr_assert_eq(urgent, 8);
}

Test(CircuitBreaker, AllowsOneProbeAndDoublesTheBackoff)
{
    CircuitBreaker breaker;
    for (int i = 0; i < 3; ++i)
        breaker.failed(Start);
    cr_assert_not(breaker.allow(true, Start));
    const TimePoint later = Start + std::chrono::seconds(1);
    cr_assert_not(breaker.allow(false, later));
    cr_assert(breaker.allow(true, later));
    cr_assert_not(breaker.allow(true, later));
    breaker.failed(later);
    cr_assert_not(breaker.allow(true, later + std::chrono::milliseconds(1900)));
    cr_assert(breaker.allow(true, later + std::chrono::seconds(2)));
    breaker.succeeded();
    cr_assert(breaker.allow(false, later));
}

Test(OutputEstimate, ConvergesToRecordedLengths)
{
    OutputEstimate estimate({128, 64});
    std::mt19937_64 random(1);
    for (int i = 0; i < 500; ++i)
        estimate.record(290 + static_cast<std::uint32_t>(random() % 21));
    cr_assert_float_eq(estimate.estimate(0).mean, 300, 5);
    cr_assert_lt(estimate.estimate(0).spread, 10);
    cr_assert_float_eq(estimate.estimate(100).mean, 100, 1e-9);
}
