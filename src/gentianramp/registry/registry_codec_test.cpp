#include "registry_codec.hpp"

#include <gentianramp/core/invariant.hpp>

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

using namespace std::chrono_literals;

constexpr TimePoint Now{std::chrono::hours(24 * 365)};

Duration receivedLoadAge(TimePoint takenAt)
{
    LoadChange change;
    change.takenAt = takenAt;
    return Now - fromProto(toProto(change, Now), Now).takenAt;
}

} // namespace

// A load table that was dated after the present was sent as one that had just been taken.
Test(registry_codec, loadsDatedAfterThePresentAreNotFresh)
{
    cr_assert(receivedLoadAge(Now - 300ms) == Duration(300ms));
    cr_assert_eq(brokenInvariantCount(), 0U);
    cr_assert(receivedLoadAge(Now + 1ms) > Duration(1h));
    cr_assert_eq(brokenInvariantCount(), 1U);
}

// The age of a load table wrapped after 49 days.
Test(registry_codec, anAgeOfMonthsStaysOld)
{
    for (const int days : {49, 50, 51, 99, 100, 300})
        cr_assert(receivedLoadAge(Now - std::chrono::hours(24 * days))
                      >= std::chrono::hours(24 * 49),
                  "%d days", days);
    cr_assert_eq(messageAgeMs(std::chrono::hours(24 * 365)), OldestMessageAgeMs);
    cr_assert_eq(messageAgeMs(-1ms), 0U);
}

// What restricts others must not expire early because of its date.
Test(registry_codec, aLimitDatedAfterThePresentIsKeptAndCounted)
{
    LimitReports reports;
    reports.limits.push_back({.server = BackendId("s"),
                              .startedAtMs = 1,
                              .service = "lm",
                              .perSecond = 2,
                              .statedAt = Now + 1ms});
    const LimitReports received = fromProto(toProto(reports, Now), Now);
    cr_assert(received.limits.front().statedAt == Now);
    cr_assert_eq(brokenInvariantCount(), 1U);
}
