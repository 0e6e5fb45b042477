#include "command_support.hpp"

#include <array>
#include <cstdio>
#include <limits>

namespace gentianramp {

namespace {

constexpr std::uint64_t MillisecondsPerSecond = 1000;

ExitCode exitCodeOf(CallOutcome outcome)
{
    switch (outcome) {
    case CallOutcome::Answered:
        return ExitCode::Ok;
    case CallOutcome::Refused:
        return ExitCode::Refused;
    case CallOutcome::Conflict:
        return ExitCode::Conflict;
    case CallOutcome::Unavailable:
        return ExitCode::Unavailable;
    case CallOutcome::UnknownOutcome:
        return ExitCode::UnknownOutcome;
    }
    return ExitCode::Failed;
}

std::string_view meaningOf(CallOutcome outcome)
{
    switch (outcome) {
    case CallOutcome::Answered:
        return "answered";
    case CallOutcome::Refused:
        return "refused, nothing was changed";
    case CallOutcome::Conflict:
        return "another change was accepted first, nothing was changed";
    case CallOutcome::Unavailable:
        return "no answer in time, nothing was changed";
    case CallOutcome::UnknownOutcome:
        return "may have been accepted; see config history, or resend it with the same "
               "--command-id";
    }
    return "failed";
}

} // namespace

ExitCode fail(CommandContext &context, ExitCode code, const std::string &message)
{
    if (context.options.json)
        context.out << nlohmann::json{{"exit_code", static_cast<int>(code)}, {"error", message}}
                    << '\n';
    context.errors << "gentianctl: " << message << '\n';
    return code;
}

ExitCode reportFailure(CommandContext &context, const CallResult &result)
{
    return fail(context, exitCodeOf(result.outcome),
                std::string(meaningOf(result.outcome)) + ": " + result.message);
}

void print(CommandContext &context, const nlohmann::json &value, const std::string &text)
{
    if (context.options.json)
        context.out << value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << '\n';
    else
        context.out << text;
}

std::string describeAge(std::uint64_t ageMs)
{
    if (ageMs == std::numeric_limits<std::uint64_t>::max())
        return "never";
    if (ageMs < MillisecondsPerSecond)
        return std::to_string(ageMs) + " ms";
    std::array<char, 32> buffer{};
    std::snprintf(buffer.data(), buffer.size(), "%.1f s",
                  static_cast<double>(ageMs) / static_cast<double>(MillisecondsPerSecond));
    return buffer.data();
}

nlohmann::json toJson(const SettingsErrors &errors)
{
    nlohmann::json list = nlohmann::json::array();
    for (const SettingsError &error : errors)
        list.push_back({{"file", error.file.string()},
                        {"line", error.line},
                        {"key", error.key},
                        {"problem", error.problem}});
    return list;
}

ExitCode callAndHandle(CommandContext &context, const proto::OperatorRequest &request,
                       const std::function<ExitCode(const proto::OperatorAnswer &)> &handleAnswer)
{
    OperatorClient *client = context.client();
    if (!client)
        return ExitCode::BadSettings;
    const CallResult result = client->call(request);
    if (result.outcome != CallOutcome::Answered)
        return reportFailure(context, result);
    return handleAnswer(result.answer);
}

ExitCode resolveBaseRevision(CommandContext &context, Revision &base)
{
    if (context.options.baseRevision) {
        base = Revision(*context.options.baseRevision);
        return ExitCode::Ok;
    }
    if (!context.options.commandId.empty())
        return fail(
            context, ExitCode::Usage,
            "a resend with --command-id needs --on with the base revision of the first attempt");
    proto::OperatorRequest request;
    request.mutable_status();
    return callAndHandle(context, request, [&base](const proto::OperatorAnswer &answer) {
        base = Revision(answer.status().revision());
        return ExitCode::Ok;
    });
}

} // namespace gentianramp
