#include <algorithm>
#include <gentianramp/logbook/request_explanation.hpp>

namespace gentianramp {

namespace {

using Lines = std::vector<LogLine>;

/// An engine may reject requests for this long after an order to change its role (prefill, decode).
constexpr std::int64_t MaxRoleChangeMs = 5'000;

std::string millisecondsField(const LogLine &line, std::string_view name)
{
    return std::string(line.field(name)) + " ms";
}

std::string backendField(const LogLine &line)
{
    return std::string(line.field("backend"));
}

/// Returns the last context line with @p event and the backend server of @p line that is at most
/// @p withinMs older than @p line; null when there is none.
const LogLine *findContextLineBefore(const Lines &contextLines, const LogLine &line,
                                     std::string_view event, std::int64_t withinMs)
{
    const LogLine *found = nullptr;
    for (const LogLine &contextLine : contextLines) {
        const bool matches
            = contextLine.event == event && contextLine.field("backend") == line.field("backend");
        if (matches && contextLine.timeMs <= line.timeMs
            && contextLine.timeMs + withinMs >= line.timeMs)
            found = &contextLine;
    }
    return found;
}

bool hasEvent(const Lines &contextLines, std::string_view event, std::string_view backend)
{
    return std::any_of(contextLines.begin(), contextLines.end(), [&](const LogLine &contextLine) {
        return contextLine.event == event && contextLine.field("backend") == backend;
    });
}

std::string describeRejection(const LogLine &attempt, const Lines &contextLines)
{
    std::string text = backendField(attempt)
        + " rejected the request before running it, with status "
        + std::string(attempt.field("status")) + " after " + millisecondsField(attempt, "after_ms");
    if (const LogLine *order
        = findContextLineBefore(contextLines, attempt, "stage_ordered", MaxRoleChangeMs))
        text += "; " + order->process + " had ordered it to change to "
            + std::string(order->field("stage")) + " "
            + std::to_string(attempt.timeMs - order->timeMs) + " ms before";
    else if (attempt.field("status") == "421")
        text += "; another server now has its address";
    else
        text += "; the server was full";
    return text;
}

std::string describeFailedAttempt(const LogLine &attempt, const Lines &contextLines)
{
    std::string text = backendField(attempt);
    if (attempt.field("error") == "answer")
        text += " answered " + std::string(attempt.field("status")) + " and then failed";
    else
        text += " failed (" + std::string(attempt.field("error")) + ")";
    text += " after " + millisecondsField(attempt, "after_ms") + ", expected wait "
        + millisecondsField(attempt, "expected_ms");
    if (hasEvent(contextLines, "engine_silent", attempt.field("backend")))
        text += "; the registry leader also found it silent";
    else if (hasEvent(contextLines, "backend_lost", attempt.field("backend")))
        text += "; the entry process marked it as lost";
    return text;
}

std::string describeUnsuccessfulAttempts(const Lines &lines, const Lines &contextLines)
{
    std::string text;
    for (const LogLine &line : lines) {
        if (line.event != "send_failed" && line.event != "read_failed")
            continue;
        text += text.empty() ? "" : "; then ";
        text += line.event == "read_failed" ? "prefill: " : "";
        text += line.field("step") == "not_run" && line.field("error") == "answer"
            ? describeRejection(line, contextLines)
            : describeFailedAttempt(line, contextLines);
    }
    return text;
}

std::string describeRefusal(const LogLine &resultLine, const std::string &attemptSummary,
                            const Lines &contextLines)
{
    const std::string_view reason = resultLine.field("reason");
    if (reason == "no_declaration")
        return "refused: " + resultLine.process
            + " had received no message from a registry process since its start";
    if (reason == "leaving")
        return "refused: " + resultLine.process + " was leaving";
    if (reason == "too_late")
        return "refused at once: the expected wait for an answer to begin was "
            + millisecondsField(resultLine, "expected_ms") + ", more than twice the "
            + millisecondsField(resultLine, "left_ms") + " left until the deadline";
    if (reason == "no_backend") {
        const auto lost
            = std::count_if(contextLines.begin(), contextLines.end(),
                            [](const LogLine &line) { return line.event == "backend_lost"; });
        return "refused: no backend server of " + std::string(resultLine.field("service"))
            + " was in the backend list, reachable and not avoided (list "
            + millisecondsField(resultLine, "list_age_ms") + " old, " + std::to_string(lost)
            + " marked as lost in the seconds before)";
    }
    return "refused without being run after " + millisecondsField(resultLine, "total_ms") + " ("
        + std::string(reason) + (attemptSummary.empty() ? ")" : "): " + attemptSummary);
}

std::string describeFailure(const LogLine &resultLine, const std::string &attemptSummary)
{
    const std::string_view reason = resultLine.field("reason");
    const std::string summarySuffix = attemptSummary.empty() ? "" : ": " + attemptSummary;
    if (reason == "no_route")
        return "no route in declaration " + std::string(resultLine.field("declaration")) + " ("
            + millisecondsField(resultLine, "declaration_age_ms") + " old) matches the request";
    if (reason == "internal_error")
        return "an exception in " + resultLine.process + " ended the request, which may have run"
            + summarySuffix;
    if (reason == "deadline" && resultLine.field("first_ms") == "-1")
        return "no answer began before the deadline, after "
            + millisecondsField(resultLine, "total_ms")
            + "; the chosen server had an expected wait of "
            + millisecondsField(resultLine, "expected_ms") + " when it was chosen" + summarySuffix;
    if (reason == "deadline")
        return "the answer began after " + millisecondsField(resultLine, "first_ms")
            + " and was not complete at the deadline" + summarySuffix;
    if (resultLine.event == "stream_broken")
        return "the stream began after " + millisecondsField(resultLine, "first_ms")
            + " and was interrupted" + summarySuffix;
    return "the server that had received the request failed; the request may have run"
        + summarySuffix;
}

std::string describeCallerDisconnect(const LogLine &resultLine)
{
    std::string text = "the caller disconnected after " + millisecondsField(resultLine, "total_ms");
    if (resultLine.field("first_ms") != "-1")
        return text;
    if (!resultLine.field("reader").empty() && resultLine.field("sends") == "0")
        return text + ", while " + std::string(resultLine.field("reader"))
            + " ran its prefill, expected wait " + millisecondsField(resultLine, "expected_ms");
    return text + ", before an answer began";
}

} // namespace

std::string likelyCause(const Lines &lines, const Lines &contextLines)
{
    const auto last = std::find_if(lines.rbegin(), lines.rend(), [](const LogLine &line) {
        return !line.field("verdict").empty();
    });
    const std::string attemptSummary = describeUnsuccessfulAttempts(lines, contextLines);
    if (last == lines.rend())
        return "the result of the request is not in these logs"
            + (attemptSummary.empty() ? "" : ": " + attemptSummary);
    const LogLine &resultLine = *last;
    if (resultLine.event == "request_refused")
        return describeRefusal(resultLine, attemptSummary, contextLines);
    if (resultLine.event == "caller_gone")
        return describeCallerDisconnect(resultLine)
            + (attemptSummary.empty() ? "" : ": " + attemptSummary);
    if (resultLine.event == "request_answered")
        return "answered with " + std::string(resultLine.field("status")) + " by "
            + backendField(resultLine) + " after " + millisecondsField(resultLine, "total_ms")
            + (attemptSummary.empty() ? "" : "; before that, " + attemptSummary);
    return describeFailure(resultLine, attemptSummary);
}

} // namespace gentianramp
