#pragma once

#include <cstddef>
#include <gentianramp/core/ids.hpp>
#include <vector>

namespace gentianramp {

/// An engine whose load may be asked for.
struct PollCandidate
{
    BackendId id;
    bool urgent = false; ///< It was busy, changing or silent, or was never asked.
    bool operator==(const PollCandidate &) const = default;
};

/// Chooses whom to ask in a round when all would be too many: urgent engines first, then the others
/// in turn.
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
