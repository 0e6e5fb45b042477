#pragma once

#include "text_table.hpp"

#include <gentianramp/client/commands.hpp>
#include <gentianramp/config/settings_error.hpp>
#include <gentianramp/core/ids.hpp>
#include <nlohmann/json.hpp>

namespace gentianramp {

/// Writes @p message to the error output and returns @p code. With --json, also writes both as JSON
/// to the standard output.
ExitCode fail(CommandContext &context, ExitCode code, const std::string &message);

/// Writes why a call failed and returns the exit code of its outcome.
ExitCode reportFailure(CommandContext &context, const CallResult &result);

/// Writes @p value as JSON on one line with --json, else @p text.
void print(CommandContext &context, const nlohmann::json &value, const std::string &text);

/// Formats an age, for example "250 ms" or "3.2 s"; the largest 64-bit value gives "never".
std::string describeAge(std::uint64_t ageMs);

/// Converts errors of settings to a list of JSON objects.
nlohmann::json toJson(const SettingsErrors &errors);

/// Calls a control process. Returns the result of @p handleAnswer for the answer, or the exit code
/// of the failure, which is reported.
ExitCode callAndHandle(CommandContext &context, const proto::OperatorRequest &request,
                       const std::function<ExitCode(const proto::OperatorAnswer &)> &handleAnswer);

/// Sets @p base to the revision that a change is based on: that of --on, else the current one. A
/// resend (--command-id) needs --on, since only the same base makes it the same change.
ExitCode resolveBaseRevision(CommandContext &context, Revision &base);

ExitCode runConfigCheck(CommandContext &context);
ExitCode runConfigDiff(CommandContext &context);
ExitCode runConfigApply(CommandContext &context);
ExitCode runConfigRollback(CommandContext &context);
ExitCode runConfigStatus(CommandContext &context);
ExitCode runConfigHistory(CommandContext &context);
ExitCode runExplain(CommandContext &context);
ExitCode runStatus(CommandContext &context);
ExitCode runDrain(CommandContext &context);
ExitCode runUndrain(CommandContext &context);
ExitCode runEngines(CommandContext &context);
ExitCode runMembers(CommandContext &context);
ExitCode runRoles(CommandContext &context);
ExitCode runKeysMake(CommandContext &context);
ExitCode runKeysShow(CommandContext &context);
ExitCode runKeysRotate(CommandContext &context);
ExitCode runKeysFinish(CommandContext &context);

/// Prints the revision of an accepted change and returns the exit code. With --wait, first waits
/// until the revision is in force at every site.
ExitCode finishChange(CommandContext &context, OperatorClient &client, const std::string &commandId,
                      const proto::ApplyAnswer &answer);

} // namespace gentianramp
