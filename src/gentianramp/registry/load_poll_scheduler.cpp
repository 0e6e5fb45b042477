#include <gentianramp/registry/load_poll_scheduler.hpp>

#include <algorithm>

namespace gentianramp {

namespace {

/// Appends up to @p limit engines of @p group, starting where the previous round ended.
void takeRoundRobin(std::vector<BackendId> &chosen, const std::vector<BackendId> &group,
                    std::size_t limit, std::size_t &offset)
{
    const std::size_t count = std::min(limit, group.size());
    for (std::size_t step = 0; step < count; ++step)
        chosen.push_back(group[(offset + step) % group.size()]);
    offset = group.empty() ? 0 : (offset + count) % group.size();
}

} // namespace

LoadPollScheduler::LoadPollScheduler(std::size_t maxPerRound)
    : m_maxPerRound(maxPerRound)
{ }

std::vector<BackendId> LoadPollScheduler::next(const std::vector<PollCandidate> &engines)
{
    std::vector<BackendId> urgent;
    std::vector<BackendId> others;
    for (const PollCandidate &engine : engines)
        (engine.urgent ? urgent : others).push_back(engine.id);
    // An eighth of each round is reserved for engines last reported idle, which may be busy now.
    const std::size_t reserved = std::min(others.size(), m_maxPerRound / 8);
    std::vector<BackendId> chosen;
    takeRoundRobin(chosen, urgent, m_maxPerRound - reserved, m_urgentOffset);
    takeRoundRobin(chosen, others, m_maxPerRound - chosen.size(), m_idleOffset);
    return chosen;
}

} // namespace gentianramp
