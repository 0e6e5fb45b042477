#include "command_support.hpp"
#include "protobuf_json.hpp"

namespace gentianramp {

namespace {

std::string yesOrNo(bool value)
{
    return value ? "yes" : "no";
}

std::string joinWithSpaces(const google::protobuf::RepeatedPtrField<std::string> &texts)
{
    std::string all;
    for (const std::string &text : texts) {
        if (!all.empty())
            all += ' ';
        all += text;
    }
    return all;
}

std::string describeStatus(const proto::StatusAnswer &status)
{
    std::string text = "revision " + std::to_string(status.revision()) + ", term "
        + std::to_string(status.term()) + ", leader "
        + (status.leader().empty() ? "unknown" : status.leader()) + ", "
        + (status.confirmed() ? "confirmed" : "not confirmed") + " by a majority\n\n";
    TextTable sites({"SITE", "REACHABLE", "REPORTING", "AT CURRENT REVISION", "OLDEST REVISION",
                     "LAST REPORT"});
    for (const proto::SiteStatus &site : status.sites())
        sites.addRow({site.data_centre(), yesOrNo(site.reachable()),
                      std::to_string(site.reporting()) + " of " + std::to_string(site.processes()),
                      std::to_string(site.in_force()) + " of " + std::to_string(site.processes()),
                      std::to_string(site.oldest_revision()), describeAge(site.age_ms())});
    TextTable voters({"VOTER", "SITE", "REACHABLE", "ADMITTED", "MATCH INDEX", "LAST CONTACT"});
    for (const proto::VoterStatus &voter : status.voters())
        voters.addRow({voter.instance(), voter.data_centre(), yesOrNo(voter.reachable()),
                       yesOrNo(voter.admitted()), std::to_string(voter.match_index()),
                       describeAge(voter.last_contact_ms())});
    return text + sites.toString() + "\n" + voters.toString();
}

ExitCode setDrained(CommandContext &context, bool drained)
{
    if (context.options.arguments.size() != 1)
        return fail(context, ExitCode::Usage, "expected the id of one backend server");
    Revision base;
    const ExitCode code = resolveBaseRevision(context, base);
    if (code != ExitCode::Ok)
        return code;
    OperatorClient *client = context.client();
    if (!client)
        return ExitCode::BadSettings;
    const std::string commandId
        = context.options.commandId.empty() ? context.makeCommandId() : context.options.commandId;
    proto::OperatorRequest request;
    proto::SetDrainedRequest &change = *request.mutable_set_drained();
    change.set_command_id(commandId);
    change.set_base_revision(base.value());
    change.set_backend(context.options.arguments.front());
    change.set_drained(drained);
    const CallResult result = client->call(request);
    if (result.outcome == CallOutcome::Answered)
        return finishChange(context, *client, commandId, result.answer.apply());
    context.errors << "command id " << commandId << ", based on revision " << base << '\n';
    return reportFailure(context, result);
}

} // namespace

ExitCode runStatus(CommandContext &context)
{
    proto::OperatorRequest request;
    request.mutable_status();
    return callAndHandle(context, request, [&context](const proto::OperatorAnswer &answer) {
        print(context, toJson(answer.status()), describeStatus(answer.status()));
        return ExitCode::Ok;
    });
}

ExitCode runDrain(CommandContext &context)
{
    return setDrained(context, true);
}

ExitCode runUndrain(CommandContext &context)
{
    return setDrained(context, false);
}

ExitCode runEngines(CommandContext &context)
{
    proto::OperatorRequest request;
    request.mutable_engines()->set_data_centre(context.options.site);
    return callAndHandle(context, request, [&context](const proto::OperatorAnswer &answer) {
        TextTable table({"BACKEND", "SITE", "SERVICE", "ROLE", "PHASE", "VERSIONS", "FENCING",
                         "CHECKS FENCING", "DRAINED", "AGE"});
        for (const proto::EngineStatus &each : answer.engines().engines())
            table.addRow({each.backend(), each.data_centre(), each.service(), each.role(),
                          each.phase(), joinWithSpaces(each.versions()),
                          std::to_string(each.fencing()), yesOrNo(each.checks_fencing()),
                          yesOrNo(each.drained()), describeAge(each.age_ms())});
        print(context, toJson(answer.engines()), table.toString());
        return ExitCode::Ok;
    });
}

ExitCode runMembers(CommandContext &context)
{
    proto::OperatorRequest request;
    request.mutable_members();
    return callAndHandle(context, request, [&context](const proto::OperatorAnswer &answer) {
        TextTable table({"INSTANCE", "SITE", "KIND", "STATE", "REVISION", "LAST CONTACT"});
        for (const proto::MemberStatus &each : answer.members().members())
            table.addRow({each.instance(), each.data_centre(), each.kind(), each.state(),
                          std::to_string(each.revision()), describeAge(each.age_ms())});
        print(context, toJson(answer.members()), table.toString());
        return ExitCode::Ok;
    });
}

ExitCode runRoles(CommandContext &context)
{
    proto::OperatorRequest request;
    request.mutable_roles();
    return callAndHandle(context, request, [&context](const proto::OperatorAnswer &answer) {
        TextTable table({"SITE", "SERVICE", "PREFILL", "DECODE", "MIXED", "CHANGES", "LEASE HOLDER",
                         "FENCING", "AGE"});
        for (const proto::RolePlan &each : answer.roles().plans())
            table.addRow({each.data_centre(), each.service(), std::to_string(each.prefill()),
                          std::to_string(each.decode()), std::to_string(each.mixed()),
                          std::to_string(each.changes()), each.lease_holder(),
                          std::to_string(each.fencing()), describeAge(each.age_ms())});
        print(context, toJson(answer.roles()), table.toString());
        return ExitCode::Ok;
    });
}

} // namespace gentianramp
