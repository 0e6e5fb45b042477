#include "operator_answers.hpp"

#include <algorithm>
#include <map>

namespace gentianramp {

namespace {

constexpr Duration ReachableWithin = std::chrono::seconds(6);

std::uint64_t ageMs(const std::optional<Duration> &age)
{
    const bool isKnown = age && *age >= Duration{};
    return isKnown ? static_cast<std::uint64_t>(toMilliseconds(*age)) : UINT64_MAX;
}

void addMember(proto::SiteStatus &site, const MemberRevision &member, Revision current)
{
    site.set_processes(site.processes() + 1);
    site.set_age_ms(ageMs(member.age));
    site.set_reachable(member.age && *member.age < ReachableWithin);
    if (!member.revision)
        return;
    const std::uint64_t revision = member.revision->value();
    site.set_oldest_revision(site.reporting() == 0 ? revision
                                                   : std::min(site.oldest_revision(), revision));
    site.set_reporting(site.reporting() + 1);
    if (*member.revision >= current)
        site.set_in_force(site.in_force() + 1);
}

void addVoters(proto::StatusAnswer &status, const LedgerDriver &ledger,
               const std::vector<MemberRevision> &members, TimePoint now)
{
    for (const VoterView &view : ledger.replica().voters()) {
        proto::VoterStatus &voter = *status.add_voters();
        voter.set_instance(view.instance.value());
        for (const MemberRevision &member : members) {
            if (member.member.instance == view.instance)
                voter.set_data_centre(member.member.dataCentre.value());
        }
        voter.set_identity(view.identity);
        voter.set_match_index(view.match.value());
        const std::optional<Duration> age
            = view.lastContact ? std::optional(now - *view.lastContact) : std::nullopt;
        voter.set_last_contact_ms(ageMs(age));
        voter.set_reachable(age && *age < ReachableWithin);
        voter.set_admitted(view.admitted);
    }
}

} // namespace

proto::OperatorAnswer statusAnswer(const LedgerDriver *ledger,
                                   const ConfigurationDistribution &distribution, bool confirmed,
                                   TimePoint now)
{
    proto::OperatorAnswer answer;
    proto::StatusAnswer &status = *answer.mutable_status();
    const Revision current = distribution.current().revision;
    status.set_revision(current.value());
    status.set_confirmed(confirmed);
    if (distribution.leader())
        status.set_leader(distribution.leader()->value());
    const std::vector<MemberRevision> members = distribution.members(now);
    std::map<DataCentreId, proto::SiteStatus> sites;
    for (const MemberRevision &member : members)
        addMember(sites[member.member.dataCentre], member, current);
    for (auto &[dataCentre, site] : sites) {
        site.set_data_centre(dataCentre.value());
        *status.add_sites() = std::move(site);
    }
    if (ledger != nullptr) {
        status.set_term(ledger->replica().term().value());
        status.set_commit_index(ledger->replica().commitIndex().value());
        addVoters(status, *ledger, members, now);
    }
    return answer;
}

proto::OperatorAnswer historyAnswer(const ConfigurationStore &store, std::uint32_t limit)
{
    proto::OperatorAnswer answer;
    proto::HistoryAnswer &history = *answer.mutable_history();
    std::vector<proto::RevisionRecord> records = store.history();
    std::reverse(records.begin(), records.end());
    if (limit != 0 && records.size() > limit)
        records.resize(limit);
    for (const proto::RevisionRecord &record : records) {
        proto::HistoryEntry &entry = *history.add_entries();
        entry.set_revision(record.revision());
        entry.set_base_revision(record.base_revision());
        entry.set_command_id(record.command_id());
        entry.set_author(record.author());
        entry.set_comment(record.comment());
        entry.set_accepted_wall_ms(record.accepted_wall_ms());
        entry.set_digest(record.digest());
        entry.set_bytes(record.bytes());
    }
    return answer;
}

proto::OperatorAnswer configurationAnswer(const ConfigurationStore &store, Revision revision)
{
    const Revision wanted = revision == Revision(0) ? store.revision() : revision;
    Result<std::string> bytes = store.configurationAt(wanted);
    if (!bytes)
        return errorAnswer(proto::OPERATOR_ERROR_NOT_FOUND, bytes.message());
    proto::OperatorAnswer answer;
    answer.mutable_configuration()->set_revision(wanted.value());
    answer.mutable_configuration()->set_configuration(std::move(bytes).value());
    return answer;
}

proto::OperatorAnswer membersAnswer(const ConfigurationDistribution &distribution, TimePoint now)
{
    proto::OperatorAnswer answer;
    proto::MembersAnswer &members = *answer.mutable_members();
    for (const MemberRevision &each : distribution.members(now)) {
        proto::MemberStatus &member = *members.add_members();
        member.set_instance(each.member.instance.value());
        member.set_data_centre(each.member.dataCentre.value());
        member.set_kind(each.member.control ? "control" : "entry");
        member.set_state(each.revision ? "live" : "unknown");
        member.set_age_ms(ageMs(each.age));
        member.set_revision(each.revision ? each.revision->value() : 0);
    }
    return answer;
}

proto::OperatorAnswer commandAnswer(const CommandAnswer &decided)
{
    proto::OperatorAnswer answer;
    answer.mutable_apply()->set_revision(decided.revision.value());
    answer.mutable_apply()->set_current_revision(decided.current.value());
    switch (decided.outcome) {
    case CommandOutcome::Accepted:
        break;
    case CommandOutcome::Conflict:
        answer.set_error(proto::OPERATOR_ERROR_CONFLICT);
        answer.set_message("the change is not based on the current revision, which is "
                           + std::to_string(decided.current.value()));
        break;
    case CommandOutcome::CommandReused:
        answer.set_error(proto::OPERATOR_ERROR_COMMAND_REUSED);
        answer.set_message("the command id has already been used for another change");
        break;
    case CommandOutcome::CommandExpired:
        answer.set_error(proto::OPERATOR_ERROR_COMMAND_EXPIRED);
        answer.set_message("the command is older than all remembered commands and was not executed "
                           "now; the history shows whether it was executed earlier");
        break;
    }
    return answer;
}

proto::OperatorAnswer errorAnswer(proto::OperatorError error, const std::string &message)
{
    proto::OperatorAnswer answer;
    answer.set_error(error);
    answer.set_message(message);
    return answer;
}

} // namespace gentianramp
