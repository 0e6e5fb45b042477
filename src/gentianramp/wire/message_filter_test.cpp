#include "message_filter.hpp"

#include <criterion/criterion.h>

using namespace gentianramp;
using namespace std::chrono_literals;

namespace {

// The sender's clock started 1000 s after the receiver's.
constexpr Duration ClockOffset = 1000s;

TimePoint at(Duration sinceStart)
{
    return TimePoint(ClockOffset + sinceStart);
}

MessageHeader headerOf(std::uint64_t incarnation, std::uint64_t sequence, Duration sent)
{
    return {InstanceId("a"), Incarnation(incarnation), sequence, sent.count(), 500ms};
}

} // namespace

Test(MessageFilter, AcceptsMessagesWithinTheirTtl)
{
    MessageFilter filter;
    cr_assert_not(filter.check(headerOf(1, 1, 0ms), at(2ms)).has_value());
    cr_assert_not(filter.check(headerOf(1, 2, 100ms), at(400ms)).has_value());
}

Test(MessageFilter, DropsMessagesDelayedBeyondTheirTtl)
{
    MessageFilter filter;
    filter.check(headerOf(1, 1, 0ms), at(2ms));
    cr_assert(filter.check(headerOf(1, 2, 100ms), at(3s)) == DropReason::Expired);
    cr_assert_not(filter.check(headerOf(1, 3, 3s), at(3002ms)).has_value());
}

Test(MessageFilter, DropsEarlierIncarnationsAndOutOfOrderMessages)
{
    MessageFilter filter;
    filter.check(headerOf(5, 9, 0ms), at(1ms));
    cr_assert(filter.check(headerOf(4, 10, 0ms), at(1ms)) == DropReason::OldIncarnation);
    cr_assert(filter.check(headerOf(5, 9, 0ms), at(1ms)) == DropReason::OutOfOrder);
    cr_assert_not(filter.check(headerOf(6, 1, 0ms), at(1ms)).has_value());
}

Test(MessageFilter, DropsMessagesWithoutABaselineAfterAPause)
{
    MessageFilter filter;
    filter.receiverPaused(at(10s));
    cr_assert(filter.check(headerOf(1, 1, 0ms), at(10s + 1ms)) == DropReason::ReceiverPaused);
    cr_assert_not(filter.check(headerOf(1, 2, 11s), at(11s + 1ms)).has_value());
}

Test(MessageFilter, ToleratesClockDrift)
{
    MessageFilter filter;
    for (int second = 1; second <= 3600; ++second) {
        const Duration sent = std::chrono::seconds(second);
        const Duration drift = std::chrono::microseconds(200) * second;
        const auto sequence = static_cast<std::uint64_t>(second);
        cr_assert_not(filter.check(headerOf(1, sequence, sent), at(sent + drift)).has_value());
    }
}
