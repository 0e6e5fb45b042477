#include <gentianramp/logbook/request_explanation.hpp>

#include <algorithm>
#include <set>

namespace gentianramp {

namespace {

/// Events of an involved process that replace its previous state. The last one before the end of
/// the time range is included however old it is.
const std::set<std::string_view> LatestStateEvents{"declaration_in_force", "backend_list",
                                                   "registry_source", "start", "ready"};
/// Events of an involved process that are included when they lie within the time range.
const std::set<std::string_view> EntryEvents{"registry_silent", "leaving", "signal", "reload"};
/// Events that concern one backend server.
const std::set<std::string_view> BackendEvents{
    "backend_lost", "backend_regained", "backend_misdirected", "engine_silent", "stage_ordered"};
/// Events of registry processes that affect all requests.
const std::set<std::string_view> RegistryEvents{"leadership_gained", "leadership_lost",
                                                "storage_failed", "backend_list_unavailable"};

struct TimeRange
{
    std::int64_t first = 0;
    std::int64_t last = 0;

    bool contains(std::int64_t time) const { return first <= time && time <= last; }
};

/// Collects an explanation in two passes over the logs: first the lines of the request, then the
/// context lines of the time, processes and backend servers that they determine.
class ExplanationBuilder
{
public:
    ExplanationBuilder(std::string_view request, const ExplainOptions &options)
        : m_options(options)
    {
        m_explanation.request = request;
    }

    void addRequestLine(const LogLine &line)
    {
        if (line.field("request") == m_explanation.request)
            m_explanation.lines.push_back(line);
    }

    /// Determines time range, processes and backend servers from the lines of the request. Returns
    /// false when there are none.
    bool determineScope()
    {
        if (m_explanation.lines.empty())
            return false;
        sortByTime(m_explanation.lines);
        const std::int64_t requestStart = m_explanation.lines.back().timeMs
            - std::max<std::int64_t>(m_explanation.lines.back().number("total_ms").value_or(0), 0);
        m_timeRange = {std::min(requestStart, m_explanation.lines.front().timeMs)
                           - m_options.lookback.count(),
                       m_explanation.lines.back().timeMs + m_options.maxClockSkew.count()};
        for (const LogLine &line : m_explanation.lines) {
            m_processes.insert(line.process);
            if (!line.field("backend").empty())
                m_backends.insert(std::string(line.field("backend")));
        }
        return true;
    }

    void addContextLine(const LogLine &line)
    {
        const bool fromInvolvedProcess = m_processes.contains(line.process);
        if (fromInvolvedProcess && LatestStateEvents.contains(line.event)
            && line.timeMs <= m_timeRange.last)
            keepLatest(line);
        if (!m_timeRange.contains(line.timeMs))
            return;
        if (line.event == "log_lines_dropped")
            m_explanation.linesDropped = true;
        const bool concernsInvolvedBackend = BackendEvents.contains(line.event)
            && (m_backends.empty() || m_backends.contains(std::string(line.field("backend"))));
        // An entry process acts on its own observations of a server and on those of the registry,
        // but not on those of other entry processes.
        const bool fromOtherEntryProcess
            = line.event.starts_with("backend_") && !fromInvolvedProcess;
        if ((concernsInvolvedBackend && !fromOtherEntryProcess)
            || (fromInvolvedProcess && EntryEvents.contains(line.event))
            || RegistryEvents.contains(line.event))
            m_explanation.contextLines.push_back(line);
    }

    RequestExplanation build()
    {
        for (auto &[key, line] : m_latestStates)
            m_explanation.contextLines.push_back(std::move(line));
        sortByTime(m_explanation.contextLines);
        m_explanation.cause = likelyCause(m_explanation.lines, m_explanation.contextLines);
        return std::move(m_explanation);
    }

private:
    static void sortByTime(std::vector<LogLine> &lines)
    {
        std::stable_sort(lines.begin(), lines.end(), [](const LogLine &left, const LogLine &right) {
            return left.timeMs < right.timeMs;
        });
    }

    void keepLatest(const LogLine &line)
    {
        LogLine &latest = m_latestStates[{line.process, line.event}];
        if (latest.event.empty() || latest.timeMs <= line.timeMs)
            latest = line;
    }

    ExplainOptions m_options;
    RequestExplanation m_explanation;
    TimeRange m_timeRange;
    std::set<std::string> m_processes;
    std::set<std::string> m_backends;
    std::map<std::pair<std::string, std::string>, LogLine> m_latestStates;
};

} // namespace

std::optional<RequestExplanation> explainRequest(const LogSource &source, std::string_view request,
                                                 const ExplainOptions &options)
{
    ExplanationBuilder builder(request, options);
    source([&builder](const LogLine &line) { builder.addRequestLine(line); });
    if (!builder.determineScope())
        return std::nullopt;
    source([&builder](const LogLine &line) { builder.addContextLine(line); });
    return builder.build();
}

} // namespace gentianramp
