#include "message_filter.hpp"

#include <criterion/criterion.h>

using namespace gentianramp;
using namespace std::chrono_literals;

namespace {

// The sender's clock started 1000 s after the receiver's.
constexpr Duration ClockDifference = 1000s;

TimePoint at(Duration sinceStart)
{
    return TimePoint(ClockDifference + sinceStart);
}

MessageStamp stampOf(std::uint64_t incarnation, std::uint64_t sequence, Duration sent)
{
    return {InstanceId("a"), Incarnation(incarnation), sequence, sent.count(), 500ms};
}

} // namespace

Test(MessageFilter, TakesMessagesInTime)
{
    MessageFilter filter;
    cr_assert_not(filter.check(stampOf(1, 1, 0ms), at(2ms)).has_value());
    cr_assert_not(filter.check(stampOf(1, 2, 100ms), at(400ms)).has_value());
}

Test(MessageFilter, DropsWhatWaitedInAQueue)
{
    MessageFilter filter;
    filter.check(stampOf(1, 1, 0ms), at(2ms));
    cr_assert(filter.check(stampOf(1, 2, 100ms), at(3s)) == DropReason::Expired);
    cr_assert_not(filter.check(stampOf(1, 3, 3s), at(3002ms)).has_value());
}

Test(MessageFilter, DropsEarlierLivesAndOvertakenMessages)
{
    MessageFilter filter;
    filter.check(stampOf(5, 9, 0ms), at(1ms));
    cr_assert(filter.check(stampOf(4, 10, 0ms), at(1ms)) == DropReason::OldIncarnation);
    cr_assert(filter.check(stampOf(5, 9, 0ms), at(1ms)) == DropReason::OutOfOrder);
    cr_assert_not(filter.check(stampOf(6, 1, 0ms), at(1ms)).has_value());
}

Test(MessageFilter, DistrustsUnknownSendersAfterAPause)
{
    MessageFilter filter;
    filter.receiverPaused(at(10s));
    cr_assert(filter.check(stampOf(1, 1, 0ms), at(10s + 1ms)) == DropReason::ReceiverPaused);
    cr_assert_not(filter.check(stampOf(1, 2, 11s), at(11s + 1ms)).has_value());
}

Test(MessageFilter, ToleratesClockDrift)
{
    MessageFilter filter;
    for (int second = 1; second <= 3600; ++second) {
        const Duration sent = std::chrono::seconds(second);
        const Duration drift = std::chrono::microseconds(200) * second;
        const auto sequence = static_cast<std::uint64_t>(second);
        cr_assert_not(filter.check(stampOf(1, sequence, sent), at(sent + drift)).has_value());
    }
}
