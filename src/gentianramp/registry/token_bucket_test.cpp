#include <gentianramp/registry/token_bucket.hpp>

#include <criterion/criterion.h>

using namespace gentianramp;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1h};

} // namespace

Test(token_bucket, aBurstIsTakenAtOnceAndThenTheRateHolds)
{
    // 60 pages of a list whose platform takes 40 calls a second.
    TokenBucket calls(40, 20);
    TimePoint now = Start;
    int taken = 0;
    while (calls.take(1, now))
        ++taken;
    cr_assert_eq(taken, 20);
    for (; taken < 60; ++taken) {
        now += calls.timeUntilAvailable(now);
        cr_assert(calls.take(1, now));
    }
    cr_assert_geq((now - Start).count(), Duration(950ms).count());
    cr_assert_leq((now - Start).count(), Duration(1100ms).count());
}

Test(token_bucket, aLargeUseIsAllowedAndPaidOffBeforeTheNext)
{
    // All entry processes ask a registry process that has just started for 130 KB each.
    TokenBucket bytes(20e6, 1e6);
    cr_assert(bytes.take(3e6, Start));
    cr_assert_not(bytes.take(1, Start + 50ms));
    cr_assert(bytes.take(1, Start + 110ms));
}

Test(token_bucket, anIdleTimeStoresNoMoreThanTheBurst)
{
    TokenBucket calls(10, 2);
    cr_assert(calls.take(1, Start));
    int taken = 0;
    while (calls.take(1, Start + 1h))
        ++taken;
    cr_assert_eq(taken, 2);
}
