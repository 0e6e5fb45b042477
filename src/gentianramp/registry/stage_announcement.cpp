#include <gentianramp/registry/stage_announcement.hpp>

namespace gentianramp {

namespace {

/// Time for which receivers prefer a reported stage to the listed one.
constexpr Duration AnnouncementTime = std::chrono::seconds(4);

} // namespace

ReportedStage StageAnnouncement::stageToSend(ReportedStage reported, ReportedStage listed,
                                             TimePoint now)
{
    if (reported == ReportedStage::Unknown)
        return ReportedStage::Unknown;
    if (reported != listed)
        m_differedAt = now;
    const bool announced = m_differedAt && now - *m_differedAt < AnnouncementTime;
    return announced ? reported : ReportedStage::Unknown;
}

} // namespace gentianramp
