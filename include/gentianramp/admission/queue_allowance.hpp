#pragma once

#include <cstdint>
#include <gentianramp/core/clock.hpp>

namespace gentianramp {

/// What all servers that may take a kind of request report together.
struct ReportedRoom
{
    double places = 0;
    double taken = 0;         ///< Requests that run or wait there.
    double endsPerSecond = 0; ///< Requests that end there.
    bool operator==(const ReportedRoom &) const = default;
};

/// How many requests one instance may send while places are short.
///
/// The instances together may send what ends at the servers, and take up a difference between the
/// places and what is reported as taken within CorrectionTime. CorrectionTime is twice the age of
/// the reports and more, so that the correction does not overshoot. Each instance has an equal part
/// of that rate and saves up MaxSaved requests at most. Beyond the reported load, servers therefore
/// get at most MaxSaved requests of each instance and what the rate allows within the age of a
/// report.
class QueueAllowance
{
public:
    /// @p saved differs between instances, so that they do not send at the same moments.
    explicit QueueAllowance(double saved = 1)
        : m_saved(saved)
    { }

    /// Adds what the time since the last call allows.
    void update(const ReportedRoom &room, std::uint32_t instances, TimePoint now);
    bool mayTake() const { return m_saved >= 1; }
    void take() { m_saved -= 1; }

private:
    double m_saved;
    TimePoint m_updatedAt{};
};

} // namespace gentianramp
