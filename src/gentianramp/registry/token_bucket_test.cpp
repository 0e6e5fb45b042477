#include <gentianramp/registry/token_bucket.hpp>

#include <criterion/criterion.h>

using namespace gentianramp;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1h};

} // namespace

Test(token_bucket, burstIsGrantedAtOnceThenTheRateApplies)
{
    // 60 pages of a list with a rate limit of 40 calls per second.
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

Test(token_bucket, largeAmountIsGrantedAndRefilledBeforeTheNext)
{
    // After a registry process has started, all entry processes request 130 KB each. Together that
    // is more than the burst.
    TokenBucket bytes(20e6, 1e6);
    cr_assert(bytes.take(3e6, Start));
    cr_assert_not(bytes.take(1, Start + 50ms));
    cr_assert(bytes.take(1, Start + 110ms));
}

Test(token_bucket, tokensDoNotExceedTheBurstAfterIdleTime)
{
    TokenBucket calls(10, 2);
    cr_assert(calls.take(1, Start));
    int taken = 0;
    while (calls.take(1, Start + 1h))
        ++taken;
    cr_assert_eq(taken, 2);
}
