#include "merged_timeline.hpp"

#include <map>
#include <nlohmann/json.hpp>

namespace gentianramp {

namespace {

using nlohmann::json;

constexpr double NanosecondsPerMicrosecond = 1000;

/// Phase of the trace-event format that an event stands for.
struct TracePhase
{
    const char *phase = "i";
    const char *category = "event";
    const char *name = nullptr; ///< Null: the kind of the event.
};

TracePhase phaseOf(EventKind kind)
{
    switch (kind) {
    case EventKind::RequestAccepted:
        return {"b", "request", "request"};
    case EventKind::RequestRefused:
    case EventKind::RequestSettled:
        return {"e", "request", "request"};
    case EventKind::AttemptStarted:
        return {"b", "attempt", "attempt"};
    case EventKind::AttemptEnded:
        return {"e", "attempt", "attempt"};
    case EventKind::RoleChangeStarted:
        return {"b", "role_change", "role_change"};
    case EventKind::RoleChangeEnded:
        return {"e", "role_change", "role_change"};
    case EventKind::MessageSent:
        return {"s", "message", "message"};
    case EventKind::MessageReceived:
        return {"f", "message", "message"};
    default:
        return {};
    }
}

/// What ties the two ends of a span or flow together.
std::string spanId(const TimelineEvent &event)
{
    switch (event.kind) {
    case EventKind::AttemptStarted:
    case EventKind::AttemptEnded:
        return event.request + "/" + std::to_string(event.attempt);
    case EventKind::RoleChangeStarted:
    case EventKind::RoleChangeEnded:
        return event.peer.empty() ? event.request : event.peer;
    default:
        return event.request;
    }
}

json argumentsOf(const TimelineEvent &event)
{
    json arguments = json::object();
    if (!event.request.empty())
        arguments["request"] = event.request;
    if (event.attempt != 0)
        arguments["attempt"] = event.attempt;
    if (event.term != 0)
        arguments["term"] = event.term;
    if (!event.peer.empty())
        arguments["peer"] = event.peer;
    if (!event.detail.empty())
        arguments["detail"] = event.detail;
    return arguments;
}

json traceEvent(const MergedEvent &merged, int process)
{
    const TracePhase phase = phaseOf(merged.event.kind);
    json event{
        {"ph", phase.phase},
        {"cat", phase.category},
        {"name", phase.name ? phase.name : toString(merged.event.kind)},
        {"ts", static_cast<double>(merged.timeNs) / NanosecondsPerMicrosecond},
        {"pid", process},
        {"tid", 0},
        {"args", argumentsOf(merged.event)},
    };
    const std::string_view kind = phase.phase;
    if (kind == "i")
        event["s"] = "t";
    else
        event["id"] = spanId(merged.event);
    if (kind == "f")
        event["bp"] = "e";
    return event;
}

json processName(const std::string &instance, int process)
{
    return {{"ph", "M"},
            {"name", "process_name"},
            {"pid", process},
            {"tid", 0},
            {"args", {{"name", instance}}}};
}

} // namespace

std::string chromeTrace(const MergedTimeline &timeline, const EventFilter &filter)
{
    std::map<std::string, int> processes;
    json events = json::array();
    for (const MergedEvent &each : timeline.events) {
        if (!filter.matches(each))
            continue;
        const int number = static_cast<int>(processes.size()) + 1;
        const auto [entry, isNew] = processes.try_emplace(each.event.instance, number);
        if (isNew)
            events.push_back(processName(each.event.instance, number));
        events.push_back(traceEvent(each, entry->second));
    }
    const json trace{{"traceEvents", std::move(events)}, {"displayTimeUnit", "ms"}};
    return trace.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace gentianramp
