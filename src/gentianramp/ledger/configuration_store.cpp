#include <gentianramp/ledger/configuration_store.hpp>

#include <algorithm>
#include <gentianramp/core/invariant.hpp>
#include <gentianramp/ledger/configuration_delta.hpp>

namespace gentianramp {

namespace {

CommandAnswer answerOf(const proto::CommandResult &result, std::uint64_t content)
{
    const Revision current(result.current_revision());
    if (result.content() != content)
        return {.outcome = CommandOutcome::CommandReused, .current = current};
    if (result.revision() == 0)
        return {.outcome = CommandOutcome::Conflict, .current = current};
    return {.outcome = CommandOutcome::Accepted,
            .revision = Revision(result.revision()),
            .current = current};
}

std::uint64_t proposalDigest(const ConfigurationProposal &proposal)
{
    return contentDigest(proposal.configuration) ^ proposal.base.value();
}

} // namespace

ConfigurationStore::ConfigurationStore(ConfigurationStoreLimits limits)
    : m_limits(limits)
{ }

CommandAnswer ConfigurationStore::apply(std::string_view bytes)
{
    proto::ConfigurationCommand command;
    const bool parsed = command.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
    if (!checkInvariant(parsed, "ledger.command_readable"))
        return {.current = revision()};
    if (const proto::CommandResult *known = find(command.command_id()))
        return answerOf(*known, command.content());
    if (command.base_revision() < m_state.expired_below())
        return {.outcome = CommandOutcome::CommandExpired, .current = revision()};
    const CommandAnswer answer = decide(command);
    remember(command, answer);
    return answer;
}

std::optional<CommandAnswer>
ConfigurationStore::remembered(const ConfigurationProposal &proposal) const
{
    if (const proto::CommandResult *known = find(proposal.command.value()))
        return answerOf(*known, proposalDigest(proposal));
    if (proposal.base.value() < m_state.expired_below())
        return CommandAnswer{.outcome = CommandOutcome::CommandExpired, .current = revision()};
    return std::nullopt;
}

std::string ConfigurationStore::encodeCommand(const ConfigurationProposal &proposal) const
{
    proto::ConfigurationCommand command;
    command.set_command_id(proposal.command.value());
    command.set_base_revision(proposal.base.value());
    command.set_content(proposalDigest(proposal));
    command.set_author(proposal.author);
    command.set_comment(proposal.comment);
    command.set_accepted_wall_ms(proposal.wallMs);
    // A command on another base ends in a conflict, so its content is not needed.
    if (proposal.base == revision())
        *command.mutable_delta() = makeDelta(m_state.configuration(), proposal.configuration);
    return command.SerializeAsString();
}

Result<std::string> ConfigurationStore::configurationAt(Revision wanted) const
{
    if (wanted > revision())
        return {Error::Unavailable, "the requested revision is newer than the current one"};
    std::string bytes = m_state.configuration();
    std::uint64_t at = m_state.revision();
    for (int i = m_state.history_size() - 1; i >= 0 && at > wanted.value(); --i) {
        if (!m_state.history(i).has_undo())
            break;
        Result<std::string> earlier = applyDelta(bytes, m_state.history(i).undo());
        if (!earlier)
            return earlier;
        bytes = std::move(earlier).value();
        --at;
    }
    if (at != wanted.value())
        return {Error::Unavailable, "the requested revision is older than the retained history"};
    return bytes;
}

std::vector<proto::RevisionRecord> ConfigurationStore::history() const
{
    return {m_state.history().begin(), m_state.history().end()};
}

std::string ConfigurationStore::snapshot() const
{
    return m_state.SerializeAsString();
}

std::error_code ConfigurationStore::restore(std::string_view snapshot)
{
    proto::ConfigurationState state;
    if (!state.ParseFromArray(snapshot.data(), static_cast<int>(snapshot.size())))
        return make_error_code(Error::Malformed);
    checkInvariant(state.revision() >= m_state.revision(), "ledger.revision_only_grows");
    m_state = std::move(state);
    return {};
}

CommandAnswer ConfigurationStore::decide(const proto::ConfigurationCommand &command)
{
    if (command.base_revision() != m_state.revision() || !command.has_delta())
        return {.outcome = CommandOutcome::Conflict, .current = revision()};
    Result<std::string> next = applyDelta(m_state.configuration(), command.delta());
    if (!checkInvariant(static_cast<bool>(next), "ledger.delta_fits_its_base"))
        return {.outcome = CommandOutcome::Conflict, .current = revision()};
    accept(command, std::move(next).value());
    return {.outcome = CommandOutcome::Accepted, .revision = revision(), .current = revision()};
}

void ConfigurationStore::accept(const proto::ConfigurationCommand &command,
                                std::string configuration)
{
    proto::RevisionRecord &record = *m_state.add_history();
    record.set_revision(m_state.revision() + 1);
    record.set_base_revision(command.base_revision());
    record.set_command_id(command.command_id());
    record.set_author(command.author());
    record.set_comment(command.comment());
    record.set_accepted_wall_ms(command.accepted_wall_ms());
    record.set_digest(contentDigest(configuration));
    record.set_bytes(configuration.size());
    *record.mutable_undo() = makeDelta(configuration, m_state.configuration());
    m_state.set_configuration(std::move(configuration));
    m_state.set_revision(m_state.revision() + 1);
    trimHistory();
}

void ConfigurationStore::remember(const proto::ConfigurationCommand &command,
                                  const CommandAnswer &answer)
{
    proto::CommandResult &result = *m_state.add_results();
    result.set_command_id(command.command_id());
    result.set_content(command.content());
    result.set_revision(answer.revision.value());
    result.set_current_revision(answer.current.value());
    const int limit = static_cast<int>(m_limits.results);
    if (m_state.results_size() <= limit)
        return;
    // The base of a discarded command is not newer than the revision current at its decision.
    const proto::CommandResult &oldest = m_state.results(0);
    m_state.set_expired_below(std::max(m_state.expired_below(), oldest.current_revision()));
    m_state.mutable_results()->DeleteSubrange(0, 1);
}

void ConfigurationStore::trimHistory()
{
    std::size_t undoBytes = 0;
    for (int i = m_state.history_size() - 1; i >= 0; --i) {
        undoBytes += m_state.history(i).undo().middle().size();
        if (undoBytes > m_limits.undoBytes)
            m_state.mutable_history(i)->clear_undo();
    }
    const int limit = static_cast<int>(m_limits.revisions);
    if (m_state.history_size() > limit)
        m_state.mutable_history()->DeleteSubrange(0, m_state.history_size() - limit);
}

const proto::CommandResult *ConfigurationStore::find(const std::string &command) const
{
    const auto &results = m_state.results();
    const auto found = std::find_if(results.begin(), results.end(), [&](const auto &result) {
        return result.command_id() == command;
    });
    return found == results.end() ? nullptr : &*found;
}

} // namespace gentianramp
