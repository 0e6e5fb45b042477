#include <gentianramp/relay/limit_allowance.hpp>

#include <limits>

#include <criterion/criterion.h>

using namespace gentianramp;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1h};

/// Requests that the allowance lets pass within @p time, asked every 5 ms.
int takenWithin(LimitAllowance &allowance, std::uint32_t instances, TimePoint from, Duration time)
{
    int taken = 0;
    for (TimePoint now = from; now < from + time; now += 5ms) {
        if (!allowance.mayTake(instances, now))
            continue;
        allowance.take(instances, now);
        ++taken;
    }
    return taken;
}

} // namespace

Test(limit_allowance, everythingPassesWithoutALimit)
{
    LimitAllowance allowance;
    cr_assert_not(allowance.isLimited());
    cr_assert_eq(takenWithin(allowance, 7, Start, 1s), 200);
}

Test(limit_allowance, aLimitIsSplitEvenlyBeforeTheFirstGrant)
{
    LimitAllowance allowance;
    allowance.setLimit(7, 7, Start);
    const int taken = takenWithin(allowance, 7, Start, 10s);
    cr_assert_geq(taken, 9);
    cr_assert_leq(taken, 11);
}

Test(limit_allowance, aLimitTooLowForAllInstancesWaitsForGrants)
{
    LimitAllowance allowance;
    allowance.setLimit(5, 300, Start);
    cr_assert_eq(takenWithin(allowance, 300, Start, 10s), 0);
    cr_assert_not(allowance.timeToNext(300, Start).has_value());
}

Test(limit_allowance, whatIsGrantedMayBeSentOnce)
{
    LimitAllowance allowance;
    allowance.setLimit(5, 300, Start);
    allowance.noteTable(Start + 2s, 300, Start);
    allowance.applyGrant(1, 0, 300, Start);
    for (int repeated = 0; repeated < 3; ++repeated)
        allowance.applyGrant(1, 4, 300, Start);
    cr_assert_eq(takenWithin(allowance, 300, Start, 1s), 4);
    allowance.applyGrant(1, 3, 300, Start + 1s); // Late.
    cr_assert_eq(takenWithin(allowance, 300, Start + 1s, 1s), 0);
    cr_assert_eq(allowance.applied(), 4U);
}

// A process that restarts would be granted once more what its predecessor has used.
Test(limit_allowance, theFirstTotalOfAnAccountGrantsNothing)
{
    LimitAllowance allowance;
    allowance.setLimit(5, 300, Start);
    allowance.noteTable(Start + 3s, 300, Start);
    allowance.applyGrant(7, 100, 300, Start);
    cr_assert_eq(takenWithin(allowance, 300, Start, 1s), 0);
    allowance.applyGrant(7, 102, 300, Start + 1s);
    cr_assert_eq(takenWithin(allowance, 300, Start + 1s, 1s), 2);
    // The account of a new leader; then a late grant of the former one.
    allowance.applyGrant(9, 3, 300, Start + 2s);
    allowance.applyGrant(7, 200, 300, Start + 2s);
    cr_assert_eq(takenWithin(allowance, 300, Start + 2s, 1s), 0);
}

Test(limit_allowance, withoutALeaderHalfTheRateOfTheGrantsGoesOn)
{
    LimitAllowance allowance;
    allowance.setLimit(20, 2, Start);
    allowance.applyGrant(1, 0, 2, Start);
    TimePoint now = Start;
    for (std::uint32_t total = 1; total <= 200; ++total, now += 100ms) {
        allowance.noteTable(now, 2, now);
        allowance.applyGrant(1, total, 2, now);
        if (allowance.mayTake(2, now))
            allowance.take(2, now);
    }
    takenWithin(allowance, 2, now, 2500ms);
    const int taken = takenWithin(allowance, 2, now + 2500ms, 10s);
    cr_assert_geq(taken, 45);
    cr_assert_leq(taken, 55);
}

Test(limit_allowance, aLowerLimitLowersWhatIsHeld)
{
    LimitAllowance allowance;
    allowance.setLimit(20, 2, Start);
    allowance.applyGrant(1, 0, 2, Start);
    allowance.noteTable(Start, 2, Start);
    allowance.applyGrant(1, 10, 2, Start);
    allowance.setLimit(4, 2, Start);
    cr_assert_eq(takenWithin(allowance, 2, Start, 1s), 2);
    // A higher limit adds nothing before it is granted.
    allowance.setLimit(40, 2, Start + 1s);
    cr_assert_eq(takenWithin(allowance, 2, Start + 1s, 1s), 0);
}

Test(limit_allowance, anEndedLimitLetsEverythingPassAndLeavesNothing)
{
    LimitAllowance allowance;
    allowance.setLimit(2, 2, Start);
    allowance.applyGrant(1, 0, 2, Start);
    allowance.applyGrant(1, 2, 2, Start);
    allowance.setLimit(std::nullopt, 2, Start + 1s);
    cr_assert_eq(takenWithin(allowance, 2, Start + 1s, 1s), 200);
    allowance.setLimit(2, 2, Start + 2s);
    cr_assert_not(allowance.mayTake(2, Start + 2s));
}

Test(limit_allowance, zeroAndHugeLimitsAreUsable)
{
    LimitAllowance allowance;
    allowance.setLimit(0, 1, Start);
    // One request in four seconds, whose answer shows whether the limit has changed.
    const int taken = takenWithin(allowance, 1, Start, 40s);
    cr_assert_geq(taken, 9);
    cr_assert_leq(taken, 11);
    allowance.setLimit(std::numeric_limits<double>::infinity(), 1, Start + 50s);
    cr_assert_eq(takenWithin(allowance, 1, Start + 51s, 1s), 200);
}
