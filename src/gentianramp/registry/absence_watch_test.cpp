#include <gentianramp/registry/absence_watch.hpp>

#include <criterion/criterion.h>

using namespace gentianramp;
using namespace std::chrono_literals;

namespace {

constexpr Duration Interval = 2s;

TimePoint at(Duration sinceStart)
{
    return TimePoint(100s) + sinceStart;
}

} // namespace

Test(absence_watch, reportsEachIntervalOfAnAbsence)
{
    AbsenceWatch watch(Interval);
    cr_assert_not(watch.note(true, at(0s)));
    cr_assert_not(watch.note(false, at(1s)));
    cr_assert_not(watch.note(false, at(2900ms)));
    cr_assert(watch.note(false, at(3s)) == Duration(2s));
    cr_assert_not(watch.note(false, at(4900ms)));
    cr_assert(watch.note(false, at(5s)) == Duration(4s));
}

Test(absence_watch, countsFromTheLastPresence)
{
    AbsenceWatch watch(Interval);
    cr_assert_not(watch.note(false, at(0s)));
    cr_assert_not(watch.note(true, at(1500ms)));
    cr_assert_not(watch.note(false, at(2s)));
    cr_assert_not(watch.note(false, at(3900ms)));
    cr_assert(watch.note(false, at(4s)) == Duration(2s));
}
