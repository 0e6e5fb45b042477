#pragma once

#include <functional>
#include <gentianramp/registry/crash_evidence.hpp>
#include <gentianramp/relay/backend_protocol.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gentianramp {

/// What a request may crash a server with, by number: see ServerCrash::parts.
using CrashSuspects = std::map<std::uint64_t, CrashPart>;

/// The parts of a prompt that other prompts may share, all but the last of several, and the request
/// itself. @p prompt is null for a request without one.
CrashSuspects crashSuspects(const PromptDescription *prompt, std::uint64_t requestIdentity);

/// Tells crashes of backend servers from single broken connections, and keeps the prompt parts that
/// waited for an answer there. Performs no I/O.
class CrashWatch
{
public:
    /// A server ended a connection before the answer on it was complete. @p unanswered are the
    /// suspects of a request whose answer had not begun. Returns the crash if the server is known
    /// to have crashed; otherwise its health has to be checked.
    std::optional<ServerCrash> noteLost(const BackendId &server, std::int64_t startedAtMs,
                                        const std::string &service, const CrashSuspects &unanswered,
                                        TimePoint now);
    /// Nothing listens at the address of the server any more. Returns the crash if connections were
    /// lost there lately.
    std::optional<ServerCrash> noteRefused(const BackendId &server, TimePoint now);
    /// Another process saw the crash. Returns this process's part of it if connections were lost
    /// there lately and that was not known.
    std::optional<ServerCrash> noteCrashed(const BackendId &server, std::int64_t startedAtMs,
                                           TimePoint now);
    /// Servers whose connections were lost lately and that are no longer listed, or as another
    /// incarnation.
    std::vector<ServerCrash> takeGone(const std::function<bool(const ServerCrash &)> &isListed,
                                      TimePoint now);
    /// Connections were lost lately, and it is not known whether the server crashed.
    bool isUndecided(const BackendId &server, TimePoint now);
    /// The server answers: the connections broke for another reason.
    void noteAnswered(const BackendId &server);

private:
    struct Losses
    {
        ServerCrash crash;
        TimePoint lastLossAt{};
        bool confirmed = false;
    };

    void expire(TimePoint now);

    std::map<BackendId, Losses> m_losses;
};

} // namespace gentianramp
