#include <gentianramp/core/invariant.hpp>
#include <gentianramp/core/time_order.hpp>

#include <criterion/criterion.h>

using namespace gentianramp;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1h};

} // namespace

Test(time_order, anEarlierTimeIsCountedAndNotTakenOver)
{
    cr_assert(latestTime(Start, Start, "time") == Start);
    cr_assert(latestTime(Start, Start + 1ns, "time") == Start + 1ns);
    cr_assert_eq(brokenInvariantCount(), 0U);
    cr_assert(latestTime(Start, Start - 1ns, "time") == Start);
    cr_assert_eq(brokenInvariantCount(), 1U);
}

Test(time_order, whatIsDatedAfterThePresentHasNoAge)
{
    cr_assert(ageOf(Start, Start, "age") == Duration{});
    cr_assert(ageOf(Start - 1s, Start, "age") == Duration(1s));
    cr_assert_eq(brokenInvariantCount(), 0U);
    cr_assert_not(ageOf(Start + 1ns, Start, "age").has_value());
    cr_assert_eq(brokenInvariantCount(), 1U);
}

Test(time_order, anInvariantThatStaysBrokenCallsItsHookEachTime)
{
    int calls = 0;
    setInvariantHook([&](std::string_view, std::string_view) { ++calls; });
    for (int i = 0; i < 5; ++i)
        ageOf(Start + 1ns, Start, "age");
    cr_assert_eq(calls, 5);
}
