#pragma once

#include "text_table.hpp"

#include <gentianramp/client/commands.hpp>
#include <gentianramp/config/settings_error.hpp>
#include <gentianramp/core/ids.hpp>
#include <nlohmann/json.hpp>

namespace gentianramp {

/// Writes @p message to the errors and returns @p code.
ExitCode fail(CommandContext &context, ExitCode code, const std::string &message);

/// Writes why a call was not answered and returns the code that stands for it.
ExitCode reportFailure(CommandContext &context, const CallResult &result);

/// Writes @p value as JSON on one line, or @p text when JSON was not asked for.
void print(CommandContext &context, const nlohmann::json &value, const std::string &text);

/// "250 ms", "3.2 s" or "never" for all ones.
std::string describeAge(std::uint64_t ageMs);

/// Errors of settings as a list of JSON objects.
nlohmann::json toJson(const SettingsErrors &errors);

/// Calls and, when that is answered, gives the answer to @p use.
ExitCode callAndUse(CommandContext &context, const proto::OperatorRequest &request,
                    const std::function<ExitCode(const proto::OperatorAnswer &)> &use);

/// Revision that a change is made on: that of --on, else the current one. A resend must name it,
/// so that it asks for the same change.
ExitCode chooseBase(CommandContext &context, Revision &base);

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

/// Prints what came of an accepted change, waits when asked to, and gives the exit code.
ExitCode finishChange(CommandContext &context, OperatorClient &client, const std::string &command,
                      const proto::ApplyAnswer &answer);

} // namespace gentianramp
