#include "command_support.hpp"
#include "config_files.hpp"
#include "protobuf_json.hpp"

#include <charconv>
#include <gentianramp/client/in_force.hpp>
#include <gentianramp/config/configuration_codec.hpp>
#include <gentianramp/config/configuration_diff.hpp>

namespace gentianramp {

namespace {

/// An accepted configuration. Its bytes are empty when no configuration has been accepted yet.
struct AcceptedConfiguration
{
    Revision revision;
    std::string bytes;
};

ExitCode reportSettingsErrors(CommandContext &context, const SettingsErrors &errors)
{
    if (context.options.json)
        context.out << nlohmann::json{{"exit_code", static_cast<int>(ExitCode::BadSettings)},
                                      {"errors", toJson(errors)}}
                    << '\n';
    context.errors << toString(errors) << '\n';
    return ExitCode::BadSettings;
}

std::optional<std::uint64_t> parseRevision(const std::string &text)
{
    std::uint64_t value = 0;
    const char *const end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    return error == std::errc() && stop == end ? std::optional(value) : std::nullopt;
}

/// Requests the configuration of @p revision; 0 requests the current one.
ExitCode fetchConfiguration(CommandContext &context, std::uint64_t revision,
                            AcceptedConfiguration &accepted)
{
    proto::OperatorRequest request;
    request.mutable_configuration()->set_revision(revision);
    return callAndHandle(context, request, [&accepted](const proto::OperatorAnswer &answer) {
        accepted.revision = Revision(answer.configuration().revision());
        accepted.bytes = answer.configuration().configuration();
        return ExitCode::Ok;
    });
}

Result<DeclaredConfiguration> decodeAccepted(const AcceptedConfiguration &accepted)
{
    return accepted.bytes.empty() ? DeclaredConfiguration{} : decodeConfiguration(accepted.bytes);
}

nlohmann::json toJson(const std::vector<ConfigurationChange> &changes)
{
    nlohmann::json list = nlohmann::json::array();
    for (const ConfigurationChange &change : changes)
        list.push_back({{"kind", toString(change.kind)},
                        {"section", change.section},
                        {"id", change.id},
                        {"field", change.field},
                        {"before", change.before},
                        {"after", change.after}});
    return list;
}

std::string describe(const std::vector<ConfigurationChange> &changes)
{
    std::string text;
    for (const ConfigurationChange &change : changes) {
        text += toString(change);
        text += '\n';
    }
    return text;
}

/// Proposes the configuration in @p bytes, based on revision @p base, and reports the result.
ExitCode propose(CommandContext &context, Revision base, const std::string &bytes)
{
    OperatorClient *client = context.client();
    if (!client)
        return ExitCode::BadSettings;
    const std::string commandId
        = context.options.commandId.empty() ? context.makeCommandId() : context.options.commandId;
    proto::OperatorRequest request;
    proto::ApplyRequest &apply = *request.mutable_apply();
    apply.set_base_revision(base.value());
    apply.set_command_id(commandId);
    apply.set_configuration(bytes);
    apply.set_comment(context.options.comment);
    const CallResult result = client->call(request);
    if (result.outcome == CallOutcome::Answered)
        return finishChange(context, *client, commandId, result.answer.apply());
    context.errors << "command id " << commandId << ", based on revision " << base << '\n';
    return reportFailure(context, result);
}

std::string describeSites(Revision revision, const proto::StatusAnswer &status)
{
    TextTable table({"SITE", "STATE", "AT CURRENT REVISION", "OLDEST REVISION", "LAST REPORT"});
    for (const SiteProgress &site : progressOf(revision, status))
        table.addRow(
            {site.site.value(), std::string(toString(site.state)),
             std::to_string(site.currentCount) + " of " + std::to_string(site.processCount),
             std::to_string(site.oldestRevision.value()), describeAge(site.reportAgeMs)});
    return table.toString();
}

nlohmann::json sitesToJson(Revision revision, const proto::StatusAnswer &status)
{
    nlohmann::json list = nlohmann::json::array();
    for (const SiteProgress &site : progressOf(revision, status))
        list.push_back({{"site", site.site.value()},
                        {"state", toString(site.state)},
                        {"in_force", site.currentCount},
                        {"processes", site.processCount},
                        {"oldest_revision", site.oldestRevision.value()},
                        {"age_ms", site.reportAgeMs}});
    return list;
}

} // namespace

ExitCode runConfigCheck(CommandContext &context)
{
    const auto loaded = loadSelectedConfiguration(context.options);
    if (!loaded)
        return reportSettingsErrors(context, loaded.errors());
    const std::size_t bytes = encodeConfiguration(*loaded).size();
    print(context, {{"exit_code", 0}, {"bytes", bytes}},
          "no errors: " + std::to_string(loaded->sites.size()) + " sites, "
              + std::to_string(loaded->services.size()) + " services, "
              + std::to_string(loaded->backends.size()) + " backend servers, "
              + std::to_string(bytes) + " bytes\n");
    return ExitCode::Ok;
}

ExitCode runConfigDiff(CommandContext &context)
{
    const auto loaded = loadSelectedConfiguration(context.options);
    if (!loaded)
        return reportSettingsErrors(context, loaded.errors());
    AcceptedConfiguration accepted;
    const ExitCode code
        = fetchConfiguration(context, context.options.baseRevision.value_or(0), accepted);
    if (code != ExitCode::Ok)
        return code;
    const auto before = decodeAccepted(accepted);
    if (!before)
        return fail(context, ExitCode::Failed, before.message());
    const auto changes = compareConfigurations(*before, *loaded);
    const std::string head = std::to_string(changes.size()) + " changes from revision "
        + std::to_string(accepted.revision.value()) + "\n";
    print(context, {{"revision", accepted.revision.value()}, {"changes", toJson(changes)}},
          head + describe(changes));
    return ExitCode::Ok;
}

ExitCode runConfigApply(CommandContext &context)
{
    const auto loaded = loadSelectedConfiguration(context.options);
    if (!loaded)
        return reportSettingsErrors(context, loaded.errors());
    Revision base;
    const ExitCode code = resolveBaseRevision(context, base);
    if (code != ExitCode::Ok)
        return code;
    return propose(context, base, encodeConfiguration(*loaded));
}

ExitCode runConfigRollback(CommandContext &context)
{
    const auto revision = context.options.arguments.empty()
        ? std::nullopt
        : parseRevision(context.options.arguments.front());
    if (!revision || *revision == 0)
        return fail(context, ExitCode::Usage,
                    "expected the number of the revision to propose again, 1 or higher");
    AcceptedConfiguration target;
    Revision base;
    ExitCode code = fetchConfiguration(context, *revision, target);
    if (code == ExitCode::Ok)
        code = resolveBaseRevision(context, base);
    if (code != ExitCode::Ok)
        return code;
    if (context.options.comment.empty())
        context.options.comment = "as revision " + std::to_string(*revision);
    return propose(context, base, target.bytes);
}

ExitCode runConfigStatus(CommandContext &context)
{
    proto::OperatorRequest request;
    request.mutable_status();
    return callAndHandle(context, request, [&context](const proto::OperatorAnswer &answer) {
        const proto::StatusAnswer &status = answer.status();
        const Revision current(status.revision());
        const std::string head = "revision " + std::to_string(current.value())
            + (status.confirmed() ? "" : " (not confirmed by a majority of the voters)") + "\n";
        print(context,
              {{"revision", current.value()},
               {"confirmed", status.confirmed()},
               {"in_force_everywhere", isInForceEverywhere(current, status)},
               {"sites", sitesToJson(current, status)}},
              head + describeSites(current, status));
        return ExitCode::Ok;
    });
}

ExitCode runConfigHistory(CommandContext &context)
{
    proto::OperatorRequest request;
    request.mutable_history()->set_limit(context.options.limit);
    return callAndHandle(context, request, [&context](const proto::OperatorAnswer &answer) {
        TextTable table({"REVISION", "BASE REVISION", "AUTHOR", "COMMAND ID", "BYTES", "COMMENT"});
        for (const proto::HistoryEntry &entry : answer.history().entries())
            table.addRow({std::to_string(entry.revision()), std::to_string(entry.base_revision()),
                          entry.author(), entry.command_id(), std::to_string(entry.bytes()),
                          entry.comment()});
        print(context, toJson(answer.history()), table.toString());
        return ExitCode::Ok;
    });
}

ExitCode finishChange(CommandContext &context, OperatorClient &client, const std::string &commandId,
                      const proto::ApplyAnswer &answer)
{
    const Revision revision(answer.revision());
    nlohmann::json value{{"revision", revision.value()}, {"command_id", commandId}};
    std::string text = "accepted as revision " + std::to_string(revision.value()) + ", command id "
        + commandId + "\n";
    if (!context.options.wait) {
        print(context, value, text);
        return ExitCode::Ok;
    }
    const CallResult last = waitUntilInForce(
        client, revision, RuntimeClock::now() + context.options.waitTimeout, context.pause);
    const bool answered = last.outcome == CallOutcome::Answered;
    const bool inForce = answered && isInForceEverywhere(revision, last.answer.status());
    value["in_force_everywhere"] = inForce;
    value["sites"]
        = answered ? sitesToJson(revision, last.answer.status()) : nlohmann::json::array();
    if (answered)
        text += describeSites(revision, last.answer.status());
    else
        text += "the revision in force is unknown: " + last.message + "\n";
    text += inForce ? "in force at every site\n" : "not seen in force at every site\n";
    print(context, value, text);
    return inForce ? ExitCode::Ok : ExitCode::NotInForce;
}

} // namespace gentianramp
