#include "telemetry.hpp"

#include <gentianramp/core/log.hpp>

namespace gentianramp {

namespace {

constexpr const char *VerdictCounter = "gentianramp_requests_total";
constexpr const char *VerdictHelp = "Requests by the verdict that their callers got";

Counter &counterOf(MetricsRegistry &metrics, Verdict verdict)
{
    return metrics.counter(VerdictCounter, VerdictHelp,
                           {{"verdict", std::string(toString(verdict))}});
}

double toSeconds(Duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

Telemetry::Telemetry(MetricsRegistry &metrics, TimelineWriter &timeline)
    : relayedTokens(metrics.counter("gentianramp_relayed_tokens_total",
                                    "Tokens passed on to callers as streams"))
    , resumedStreams(metrics.counter("gentianramp_resumed_streams_total",
                                     "Streams that went on after an engine failed"))
    , mismatchedAnswers(metrics.counter("gentianramp_crossed_answers_total",
                                        "Answers of backend servers that belonged elsewhere"))
    , repeatedTokens(metrics.counter("gentianramp_repeated_tokens_total",
                                     "Tokens of engines dropped since they were delivered before"))
    , tokenGaps(metrics.counter("gentianramp_token_gaps_total",
                                "Streams of engines cut since tokens were missing"))
    , retries(metrics.counter("gentianramp_retries_total", "Attempts after the first"))
    , callersGone(metrics.counter("gentianramp_callers_gone_total",
                                  "Callers that left before their answer ended"))
    , replayedAnswers(metrics.counter("gentianramp_replayed_answers_total",
                                      "Repeats that got the answer of the first attempt"))
    , answerRoomWaits(
          metrics.counter("gentianramp_answer_room_waits_total", "Answers that waited for memory"))
    , m_metrics(&metrics)
    , m_timeline(&timeline)
    , m_accepted(metrics.counter("gentianramp_accepted_total", "Requests that arrived"))
    , m_complete(counterOf(metrics, Verdict::Complete))
    , m_mayHaveRun(counterOf(metrics, Verdict::MayHaveRun))
    , m_notRun(counterOf(metrics, Verdict::NotRun))
    , m_firstByteTime(
          metrics.latency("gentianramp_first_byte_seconds",
                          "From the arrival of a request to the first byte of its answer"))
    , m_answerTime(metrics.latency("gentianramp_answer_seconds",
                                   "From the arrival of a request to the end of its answer"))
{ }

void Telemetry::accepted(const RequestId &request, std::string_view target)
{
    m_accepted.add();
    record(EventKind::RequestAccepted, request, Attempt(0), {}, target);
}

void Telemetry::refused(const RequestId &request, const RequestError &error)
{
    verdictCounter(error.verdict).add();
    m_metrics
        ->counter("gentianramp_refusals_total", "Requests that got no answer of a backend server",
                  {{"reason", error.reason}})
        .add();
    record(EventKind::RequestRefused, request, Attempt(0), {},
           error.reason + ' ' + std::string(toString(error.verdict)));
}

void Telemetry::queued(const RequestId &request, const ServiceId &service)
{
    record(EventKind::RequestQueued, request, Attempt(0), {}, service.value());
}

void Telemetry::attemptStarted(const RequestId &request, Attempt attempt, const BackendId &backend)
{
    record(EventKind::AttemptStarted, request, attempt, backend.value(), {});
}

void Telemetry::firstByte(const RequestId &request, Attempt attempt, const BackendId &backend,
                          Duration sinceArrival)
{
    m_firstByteTime.record(toSeconds(sinceArrival));
    record(EventKind::AttemptFirstByte, request, attempt, backend.value(), {});
}

void Telemetry::attemptEnded(const RequestId &request, Attempt attempt, const BackendId &backend,
                             std::string_view outcome)
{
    record(EventKind::AttemptEnded, request, attempt, backend.value(), outcome);
}

void Telemetry::settled(const RequestId &request, Verdict verdict, std::string_view outcome,
                        Duration sinceArrival)
{
    verdictCounter(verdict).add();
    m_answerTime.record(toSeconds(sinceArrival));
    record(EventKind::RequestSettled, request, Attempt(0), {},
           std::string(toString(verdict)) + ' ' + std::string(outcome));
}

void Telemetry::record(EventKind kind, const RequestId &request, Attempt attempt,
                       std::string_view peer, std::string_view detail)
{
    TimelineEvent event;
    event.kind = kind;
    event.request = request.value();
    event.attempt = attempt.value();
    event.peer = peer;
    event.detail = detail;
    m_timeline->record(std::move(event));
}

Counter &Telemetry::verdictCounter(Verdict verdict)
{
    if (verdict == Verdict::Complete)
        return m_complete;
    return verdict == Verdict::NotRun ? m_notRun : m_mayHaveRun;
}

} // namespace gentianramp
