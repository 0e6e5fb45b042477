#include <gentianramp/relay/crash_watch.hpp>

#include <utility>

namespace gentianramp {

namespace {

/// Connections that a crash breaks are noticed within this time, and so is that nothing listens.
constexpr Duration LossRetention = std::chrono::seconds(2);

} // namespace

CrashSuspects crashSuspects(const PromptDescription *prompt, std::uint64_t requestIdentity)
{
    CrashSuspects suspects;
    for (std::size_t index = 0; prompt && index + 1 < prompt->parts.size(); ++index)
        suspects[prompt->parts[index].id]
            = {PartSuspicion::Unanswered, static_cast<std::uint32_t>(index)};
    suspects[requestIdentity] = {PartSuspicion::Unanswered, WholeRequest};
    return suspects;
}

std::optional<ServerCrash> CrashWatch::noteLost(const BackendId &server, std::int64_t startedAtMs,
                                                const std::string &service,
                                                const CrashSuspects &unanswered, TimePoint now)
{
    expire(now);
    const auto [found, isNew] = m_losses.try_emplace(server);
    Losses &losses = found->second;
    if (isNew || losses.crash.startedAtMs != startedAtMs)
        losses = {
            .crash
            = {.server = server, .startedAtMs = startedAtMs, .service = service, .crashedAt = now}};
    losses.lastLossAt = now;
    losses.crash.parts.insert(unanswered.begin(), unanswered.end());
    return losses.confirmed ? std::optional(losses.crash) : std::nullopt;
}

std::optional<ServerCrash> CrashWatch::noteRefused(const BackendId &server, TimePoint now)
{
    expire(now);
    const auto found = m_losses.find(server);
    if (found == m_losses.end())
        return std::nullopt;
    found->second.confirmed = true;
    return found->second.crash;
}

std::optional<ServerCrash> CrashWatch::noteCrashed(const BackendId &server,
                                                   std::int64_t startedAtMs, TimePoint now)
{
    expire(now);
    const auto found = m_losses.find(server);
    if (found == m_losses.end() || found->second.crash.startedAtMs != startedAtMs
        || std::exchange(found->second.confirmed, true))
        return std::nullopt;
    return found->second.crash;
}

std::vector<ServerCrash>
CrashWatch::takeGone(const std::function<bool(const ServerCrash &)> &isListed, TimePoint now)
{
    expire(now);
    std::vector<ServerCrash> gone;
    for (auto &[server, losses] : m_losses) {
        if (!losses.confirmed && !isListed(losses.crash)) {
            losses.confirmed = true;
            gone.push_back(losses.crash);
        }
    }
    return gone;
}

bool CrashWatch::isUndecided(const BackendId &server, TimePoint now)
{
    expire(now);
    const auto found = m_losses.find(server);
    return found != m_losses.end() && !found->second.confirmed;
}

void CrashWatch::noteAnswered(const BackendId &server)
{
    m_losses.erase(server);
}

void CrashWatch::expire(TimePoint now)
{
    std::erase_if(m_losses,
                  [&](const auto &entry) { return now - entry.second.lastLossAt > LossRetention; });
}

} // namespace gentianramp
