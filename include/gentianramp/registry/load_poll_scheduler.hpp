#pragma once

#include <cstddef>
#include <gentianramp/core/ids.hpp>
#include <vector>

namespace gentianramp {

/// An engine whose load may be polled.
struct PollCandidate
{
    BackendId id;
    bool urgent = false; ///< Busy, changing its stage, silent, or never polled.
    bool operator==(const PollCandidate &) const = default;
};

/// Selects the engines to poll in each round if there are too many to poll all of them: urgent
/// engines first, the others round-robin.
class LoadPollScheduler
{
public:
    explicit LoadPollScheduler(std::size_t maxPerRound);

    std::vector<BackendId> next(const std::vector<PollCandidate> &engines);

private:
    std::size_t m_maxPerRound;
    std::size_t m_urgentOffset = 0;
    std::size_t m_idleOffset = 0;
};

} // namespace gentianramp
