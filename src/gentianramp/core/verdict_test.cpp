#include <gentianramp/core/error.hpp>
#include <gentianramp/core/invariant.hpp>
#include <gentianramp/core/verdict.hpp>
#include <string>

#include <criterion/criterion.h>

using namespace gentianramp;

Test(Verdict, NamesRoundTrip)
{
    for (const Verdict verdict : {Verdict::NotRun, Verdict::MayHaveRun, Verdict::Complete})
        cr_assert(parseVerdict(toString(verdict)) == verdict);
    cr_assert_not(parseVerdict("notrun").has_value());
}

Test(Result, CarriesErrorAndMessage)
{
    const Result<int> failed(Error::TimedOut, "no answer");
    cr_assert_not(static_cast<bool>(failed));
    cr_assert(failed.error() == Error::TimedOut);
    cr_assert(failed.message() == "no answer");
}

Test(Invariant, CountsAndCallsHook)
{
    std::string seen;
    setInvariantHook([&](std::string_view name, std::string_view) { seen = name; });
    cr_assert(checkInvariant(true, "fine"));
    cr_assert_not(checkInvariant(false, "broken"));
    cr_assert(seen == "broken");
    cr_assert_eq(brokenInvariantCount(), 1U);
}
