#include <gentianramp/registry/stage_announcement.hpp>

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

constexpr ReportedStage Unknown = ReportedStage::Unknown;
constexpr ReportedStage Decode = ReportedStage::Decode;
constexpr ReportedStage Prefill = ReportedStage::Prefill;

TimePoint at(int milliseconds)
{
    return TimePoint{} + std::chrono::hours(1) + std::chrono::milliseconds(milliseconds);
}

} // namespace

Test(stage_announcement, onlyAStageThatTheListDoesNotShowIsSent)
{
    StageAnnouncement announcement;
    cr_assert(announcement.stageToSend(Decode, Decode, at(0)) == Unknown);
    cr_assert(announcement.stageToSend(Unknown, Prefill, at(250)) == Unknown);
    cr_assert(announcement.stageToSend(Prefill, Decode, at(500)) == Prefill);
}

Test(stage_announcement, theStageReachedIsSentAfterTheListShowedItTooEarly)
{
    // The list shows an ordered change before the engine has carried it out.
    StageAnnouncement announcement;
    cr_assert(announcement.stageToSend(Decode, Prefill, at(0)) == Decode);
    cr_assert(announcement.stageToSend(Prefill, Prefill, at(250)) == Prefill);
    cr_assert(announcement.stageToSend(Prefill, Prefill, at(3900)) == Prefill);
    cr_assert(announcement.stageToSend(Prefill, Prefill, at(4000)) == Unknown);
}
