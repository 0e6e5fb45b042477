#pragma once

#include <cstdint>
#include <gentianramp/core/error.hpp>
#include <gentianramp/core/ids.hpp>
#include <gentianramp/ledger/generated/ledger.pb.h>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gentianramp {

/// Outcome of a command.
enum class CommandOutcome {
    Accepted,
    Conflict,       ///< The base revision was not the current one.
    CommandReused,  ///< The id was used for a command with other content; not run.
    CommandExpired, ///< The outcome may have been decided and then discarded; not run again.
};

/// Answer to a command; every resend gets the same one while it is remembered.
struct CommandAnswer
{
    CommandOutcome outcome = CommandOutcome::Conflict;
    Revision revision; ///< The new revision, when accepted.
    Revision current;  ///< Current revision when the command was decided.
    bool operator==(const CommandAnswer &) const = default;
};

/// A change of the configuration that an operator asks for.
struct ConfigurationProposal
{
    CommandId command;
    Revision base;
    std::string configuration; ///< Canonical bytes.
    std::string author;
    std::string comment;
    std::int64_t wallMs = 0; ///< Wall clock time in ms at which the leader accepted it.
    bool operator==(const ConfigurationProposal &) const = default;
};

/// Bounds of a ConfigurationStore; the same on all voters.
struct ConfigurationStoreLimits
{
    std::size_t results = 4096;              ///< Commands whose answers are remembered.
    std::size_t revisions = 256;             ///< Revisions that configurationAt() can return.
    std::size_t undoBytes = 8 * 1024 * 1024; ///< Total size of the undo deltas to older revisions.
};

/// State machine on top of the ledger: the accepted declared configurations.
///
/// Pure and deterministic. The revision only grows, by one with each accepted command. A command
/// is remembered with its answer until `results` later ones were decided. After that, any unknown
/// command whose base is older than the revision at that command's decision is refused as expired
/// and never run.
class ConfigurationStore
{
public:
    explicit ConfigurationStore(ConfigurationStoreLimits limits = {});

    /// Applies a committed command that encodeCommand() made.
    CommandAnswer apply(std::string_view command);
    /// The remembered answer to a resend of @p proposal.
    std::optional<CommandAnswer> remembered(const ConfigurationProposal &proposal) const;
    /// Encodes @p proposal as a command for the ledger. Carries a delta to the current
    /// configuration if the proposal is based on it, otherwise no content.
    std::string encodeCommand(const ConfigurationProposal &proposal) const;

    Revision revision() const { return Revision(m_state.revision()); }
    const std::string &configuration() const { return m_state.configuration(); }
    /// Canonical bytes of @p revision; Unavailable when it was discarded or never existed.
    Result<std::string> configurationAt(Revision revision) const;
    /// Accepted revisions that are retained, oldest first.
    std::vector<proto::RevisionRecord> history() const;

    std::string snapshot() const;
    /// Replaces the state by a snapshot; Malformed when it cannot be read.
    std::error_code restore(std::string_view snapshot);

private:
    CommandAnswer decide(const proto::ConfigurationCommand &command);
    void accept(const proto::ConfigurationCommand &command, std::string configuration);
    void remember(const proto::ConfigurationCommand &command, const CommandAnswer &answer);
    void trimHistory();
    const proto::CommandResult *find(const std::string &command) const;

    ConfigurationStoreLimits m_limits;
    proto::ConfigurationState m_state;
};

} // namespace gentianramp
