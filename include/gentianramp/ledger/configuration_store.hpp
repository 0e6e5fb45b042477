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

/// How a command was decided.
enum class CommandOutcome {
    Accepted,
    Conflict,       ///< The base revision was not the current one.
    CommandReused,  ///< The id stands for a command with another content; not run.
    CommandExpired, ///< May have been decided and forgotten; not run again.
};

/// Answer to a command; the same for every resend that is still remembered.
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
    std::int64_t wallMs = 0; ///< When the leader took it.
    bool operator==(const ConfigurationProposal &) const = default;
};

/// Bounds of a ConfigurationStore; the same on all voters.
struct ConfigurationStoreLimits
{
    std::size_t results = 4096;              ///< Remembered commands.
    std::size_t revisions = 256;             ///< Revisions whose bytes can be given out.
    std::size_t undoBytes = 8 * 1024 * 1024; ///< Of the older ones, together.
};

/// State machine on top of the ledger: the accepted declared configurations.
///
/// Pure and deterministic. The revision only grows, by one with each accepted command. A command
/// is remembered with its answer until `results` later ones were decided; from then on a command
/// on so old a base is refused as expired and never run again.
class ConfigurationStore
{
public:
    explicit ConfigurationStore(ConfigurationStoreLimits limits = {});

    /// Applies a committed command that encodeCommand() made.
    CommandAnswer apply(std::string_view command);
    /// The remembered answer to a resend of @p proposal.
    std::optional<CommandAnswer> remembered(const ConfigurationProposal &proposal) const;
    /// Command for the ledger; the bytes of the change only, when it is made on the current one.
    std::string encodeCommand(const ConfigurationProposal &proposal) const;

    Revision revision() const { return Revision(m_state.revision()); }
    const std::string &configuration() const { return m_state.configuration(); }
    /// Canonical bytes of @p revision; Unavailable when it is not kept any more or unknown.
    Result<std::string> configurationAt(Revision revision) const;
    /// Accepted revisions that are kept, oldest first.
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
