#pragma once

#include <gentianramp/core/clock.hpp>
#include <gentianramp/registry/backend_listing.hpp>
#include <optional>

namespace gentianramp {

/// Decides for one engine whether its stage is sent with its load: while the platform's list shows
/// another one, and for some time afterwards, since receivers keep the stage reported last.
class StageAnnouncement
{
public:
    /// Stage to send at @p now for an engine that reported @p reported, or Unknown.
    ReportedStage stageToSend(ReportedStage reported, ReportedStage listed, TimePoint now);

private:
    std::optional<TimePoint> m_differedAt; ///< Last time at which the list showed another stage.
};

} // namespace gentianramp
