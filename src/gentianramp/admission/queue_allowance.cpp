#include <gentianramp/admission/queue_allowance.hpp>

#include <algorithm>

namespace gentianramp {

namespace {

constexpr Duration CorrectionTime = std::chrono::milliseconds(500);
/// Requests that the servers are to have, of their places: a short queue keeps places in use while
/// the reports are on their way and instances without requests leave their part unused.
constexpr double TargetShare = 1.1;
constexpr double MaxSaved = 1.5;
/// Requests that were sent while there was room are not charged for longer than they matter.
constexpr double MostOwed = 1;

} // namespace

void QueueAllowance::update(const ReportedRoom &room, std::uint32_t instances, TimePoint now)
{
    if (m_updatedAt != TimePoint{}) {
        const double correction = (TargetShare * room.places - room.taken)
            / std::chrono::duration<double>(CorrectionTime).count();
        const double perSecond
            = std::max(room.endsPerSecond + correction, 0.0) / std::max(instances, 1U);
        m_saved += perSecond * std::chrono::duration<double>(now - m_updatedAt).count();
    }
    m_updatedAt = now;
    m_saved = std::clamp(m_saved, -MostOwed, MaxSaved);
}

} // namespace gentianramp
