#include <gentianramp/registry/absence_watch.hpp>

namespace gentianramp {

AbsenceWatch::AbsenceWatch(Duration interval)
    : m_interval(interval)
{ }

std::optional<Duration> AbsenceWatch::note(bool present, TimePoint now)
{
    if (present) {
        m_absentSince.reset();
        return std::nullopt;
    }
    if (!m_absentSince) {
        m_absentSince = now;
        m_reportAt = now + m_interval;
    }
    if (now < m_reportAt)
        return std::nullopt;
    m_reportAt = now + m_interval;
    return now - *m_absentSince;
}

} // namespace gentianramp
