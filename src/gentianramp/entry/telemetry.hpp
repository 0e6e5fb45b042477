#pragma once

#include "request_error.hpp"

#include <gentianramp/core/metrics.hpp>
#include <gentianramp/core/timeline.hpp>
#include <gentianramp/engine/backend_client.hpp>
#include <string_view>

namespace gentianramp {

/// Metrics and time line of the requests of one entry instance; used from all threads.
class Telemetry
{
public:
    Telemetry(MetricsRegistry &metrics, TimelineWriter &timeline);

    void accepted(const RequestId &request, std::string_view target);
    void refused(const RequestId &request, const RequestError &error);
    void queued(const RequestId &request, const ServiceId &service);
    void attemptStarted(const RequestId &request, Attempt attempt, const BackendId &backend);
    void firstByte(const RequestId &request, Attempt attempt, const BackendId &backend,
                   Duration sinceArrival);
    void attemptEnded(const RequestId &request, Attempt attempt, const BackendId &backend,
                      std::string_view outcome);
    void settled(const RequestId &request, Verdict verdict, std::string_view outcome,
                 Duration sinceArrival);

    Counter &relayedTokens;
    Counter &resumedStreams;
    Counter &mismatchedAnswers;
    Counter &repeatedTokens;
    Counter &tokenGaps;
    Counter &retries;
    Counter &callersGone;
    Counter &replayedAnswers;
    Counter &answerRoomWaits;

private:
    void record(EventKind kind, const RequestId &request, Attempt attempt, std::string_view peer,
                std::string_view detail);
    Counter &verdictCounter(Verdict verdict);

    MetricsRegistry *m_metrics;
    TimelineWriter *m_timeline;
    Counter &m_accepted;
    Counter &m_complete;
    Counter &m_mayHaveRun;
    Counter &m_notRun;
    Distribution &m_firstByteTime;
    Distribution &m_answerTime;
};

} // namespace gentianramp
