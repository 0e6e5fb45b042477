#include <algorithm>
#include <gentianramp/logbook/request_story.hpp>

namespace gentianramp {

namespace {

using Lines = std::vector<LogLine>;

/// An order concerns requests for as long as an engine may take to change its stage.
constexpr std::int64_t StageChangeMs = 5'000;

std::string ms(const LogLine &line, std::string_view name)
{
    return std::string(line.field(name)) + " ms";
}

std::string backendOf(const LogLine &line)
{
    return std::string(line.field("backend"));
}

/// Newest belief of @p event about the backend server of @p line, from before it.
const LogLine *beliefBefore(const Lines &beliefs, const LogLine &line, std::string_view event,
                            std::int64_t withinMs)
{
    const LogLine *found = nullptr;
    for (const LogLine &belief : beliefs) {
        const bool same = belief.event == event && belief.field("backend") == line.field("backend");
        if (same && belief.timeMs <= line.timeMs && belief.timeMs + withinMs >= line.timeMs)
            found = &belief;
    }
    return found;
}

bool seen(const Lines &beliefs, std::string_view event, std::string_view backend)
{
    return std::any_of(beliefs.begin(), beliefs.end(), [&](const LogLine &belief) {
        return belief.event == event && belief.field("backend") == backend;
    });
}

std::string describeRejection(const LogLine &send, const Lines &beliefs)
{
    std::string text = backendOf(send) + " rejected it unrun with "
        + std::string(send.field("status")) + " after " + ms(send, "after_ms");
    if (const LogLine *order = beliefBefore(beliefs, send, "stage_ordered", StageChangeMs))
        text += "; " + order->process + " had ordered it to change to "
            + std::string(order->field("stage")) + " " + std::to_string(send.timeMs - order->timeMs)
            + " ms before";
    else if (send.field("status") == "421")
        text += "; another server has its address now";
    else
        text += "; it was full";
    return text;
}

std::string describeBreak(const LogLine &send, const Lines &beliefs)
{
    std::string text = backendOf(send);
    if (send.field("error") == "answer")
        text += " answered " + std::string(send.field("status")) + " and then failed";
    else
        text += " failed (" + std::string(send.field("error")) + ")";
    text += " after " + ms(send, "after_ms") + ", expected " + ms(send, "expected_ms");
    if (seen(beliefs, "engine_silent", send.field("backend")))
        text += "; the registry's leader found it silent too";
    else if (seen(beliefs, "backend_lost", send.field("backend")))
        text += "; it was given up as lost";
    return text;
}

std::string describeSends(const Lines &lines, const Lines &beliefs)
{
    std::string text;
    for (const LogLine &line : lines) {
        if (line.event != "send_failed" && line.event != "read_failed")
            continue;
        text += text.empty() ? "" : "; then ";
        text += line.event == "read_failed" ? "reading the prompt: " : "";
        text += line.field("step") == "not_run" && line.field("error") == "answer"
            ? describeRejection(line, beliefs)
            : describeBreak(line, beliefs);
    }
    return text;
}

std::string refusal(const LogLine &end, const std::string &sends, const Lines &beliefs)
{
    const std::string_view reason = end.field("reason");
    if (reason == "no_declaration")
        return "refused: " + end.process + " had heard no registry process since its start";
    if (reason == "leaving")
        return "refused: " + end.process + " was leaving";
    if (reason == "too_late")
        return "refused at once: the engines were " + ms(end, "expected_ms")
            + " behind, more than twice the " + ms(end, "left_ms") + " that the caller had left";
    if (reason == "no_backend") {
        const auto lost = std::count_if(beliefs.begin(), beliefs.end(), [](const LogLine &line) {
            return line.event == "backend_lost";
        });
        return "refused: no backend server of " + std::string(end.field("service"))
            + " was listed, reachable and not avoided (list " + ms(end, "list_age_ms") + " old, "
            + std::to_string(lost) + " given up as lost in the seconds before)";
    }
    return "refused unrun after " + ms(end, "total_ms") + " (" + std::string(reason)
        + (sends.empty() ? ")" : "): " + sends);
}

std::string failure(const LogLine &end, const std::string &sends)
{
    const std::string_view reason = end.field("reason");
    const std::string why = sends.empty() ? "" : ": " + sends;
    if (reason == "no_route")
        return "no route of declaration " + std::string(end.field("declaration")) + " ("
            + ms(end, "declaration_age_ms") + " old) fits it";
    if (reason == "deadline" && end.field("first_ms") == "-1")
        return "no answer began before the deadline, after " + ms(end, "total_ms")
            + "; the chosen server was " + ms(end, "expected_ms") + " behind" + why;
    if (reason == "deadline")
        return "the answer began after " + ms(end, "first_ms")
            + " and was not complete at the deadline" + why;
    if (end.event == "stream_broken")
        return "the stream began after " + ms(end, "first_ms") + " and broke" + why;
    return "the server that had it failed, and it may have run" + why;
}

std::string departure(const LogLine &end)
{
    std::string text = "the caller left after " + ms(end, "total_ms");
    if (end.field("first_ms") != "-1")
        return text;
    if (!end.field("reader").empty() && end.field("sends") == "0")
        return text + ", while " + std::string(end.field("reader")) + " read its prompt, expected "
            + ms(end, "expected_ms");
    return text + ", before an answer began";
}

} // namespace

std::string likelyCause(const Lines &lines, const Lines &beliefs)
{
    const auto last = std::find_if(lines.rbegin(), lines.rend(), [](const LogLine &line) {
        return !line.field("verdict").empty();
    });
    const std::string sends = describeSends(lines, beliefs);
    if (last == lines.rend())
        return "its end is not in these logs" + (sends.empty() ? "" : ": " + sends);
    const LogLine &end = *last;
    if (end.event == "request_refused")
        return refusal(end, sends, beliefs);
    if (end.event == "caller_gone")
        return departure(end) + (sends.empty() ? "" : ": " + sends);
    if (end.event == "request_answered")
        return "answered with " + std::string(end.field("status")) + " by " + backendOf(end)
            + " after " + ms(end, "total_ms") + (sends.empty() ? "" : ": before, " + sends);
    return failure(end, sends);
}

} // namespace gentianramp
