#include "header_names.hpp"
#include "relay.hpp"

#include <gentianramp/engine/token_sequence.hpp>
#include <gentianramp/http/sse.hpp>

namespace gentianramp {

namespace asio = boost::asio;

namespace {

constexpr std::string_view DoneText = "data: [DONE]\n\n";
constexpr std::string_view StreamType = "text/event-stream";
constexpr unsigned ServerErrorBegin = 500;

/// How reading one attempt's stream ended, or that it goes on.
enum class StreamStep {
    GoesOn,
    Done,
    Failed,
    CallerGone,
};

/// Why an attempt's stream is no longer read.
struct StreamFailure
{
    AttemptFailure kind = AttemptFailure::Broken;
    std::string name = "broken";
};

/// The caller's side of one streamed answer over all its attempts.
class StreamRelay
{
public:
    StreamRelay(RequestRun &run, ResponseWriter &writer)
        : m_run(run)
        , m_writer(writer)
        , m_sequence(run.caller().ask->resumeAfter)
    { }

    asio::awaitable<RelayEnd> run();

private:
    asio::awaitable<StreamStep> relayAttempt(OpenAnswer &answer);
    asio::awaitable<StreamStep> relayPiece(OpenAnswer &answer);
    StreamStep takeEvents();
    asio::awaitable<std::error_code> pass();
    void noteTokens(OpenAnswer &answer, std::uint32_t before);
    asio::awaitable<RelayEnd> finish();
    asio::awaitable<RelayEnd> stopWith(Exit exit);
    StreamStep failWith(AttemptFailure kind, std::string name);
    HttpResponse head() const;

    RequestRun &m_run;
    ResponseWriter &m_writer;
    TokenSequence m_sequence;
    SseParser m_parser;
    std::string m_text; ///< Events of the piece at hand, to pass on.
    bool m_attemptHasTokens = false;
    StreamFailure m_failure;
};

asio::awaitable<RelayEnd> StreamRelay::run()
{
    for (std::uint32_t attempt = 1;; ++attempt) {
        Opened opened = co_await m_run.open(m_sequence.delivered());
        if (Exit *exit = std::get_if<Exit>(&opened))
            co_return co_await stopWith(std::move(*exit));
        if (std::holds_alternative<CallerLeft>(opened))
            co_return endForGoneCaller(m_run);
        OpenAnswer answer = std::move(std::get<OpenAnswer>(opened));
        const HttpExchange &exchange = answer.exchange->answer();
        const bool stream = exchange.headers().find("Content-Type").starts_with(StreamType);
        if (!stream && exchange.status() < ServerErrorBegin && !m_writer.started())
            co_return co_await finishWhole(m_run, std::move(answer), m_writer);
        if (attempt > 1)
            m_run.tools().telemetry->resumedStreams.add();
        const StreamStep step = stream ? co_await relayAttempt(answer)
                                       : failWith(AttemptFailure::Broken, "no_stream");
        if (step == StreamStep::Done) {
            m_run.succeed(answer, m_sequence.delivered());
            co_return co_await finish();
        }
        m_run.fail(answer, m_failure.kind, m_failure.name);
        if (step == StreamStep::CallerGone)
            co_return endForGoneCaller(m_run);
        if (!m_run.mayRepeat())
            co_return co_await stopWith(m_run.failedExit(m_failure.kind));
    }
}

asio::awaitable<StreamStep> StreamRelay::relayAttempt(OpenAnswer &answer)
{
    m_parser = SseParser();
    m_attemptHasTokens = false;
    answer.exchange->answer().setSilenceTimeout(m_run.firstTokenSilence());
    StreamStep step = StreamStep::GoesOn;
    while (step == StreamStep::GoesOn)
        step = co_await relayPiece(answer);
    co_return step;
}

asio::awaitable<StreamStep> StreamRelay::relayPiece(OpenAnswer &answer)
{
    const Result<std::string_view> piece = co_await answer.exchange->answer().readPiece();
    if (m_run.watch().gone())
        co_return failWith(AttemptFailure::CallerGone, "caller_gone");
    if (!piece) {
        const bool silent = piece.error() == Error::TimedOut;
        co_return failWith(silent ? AttemptFailure::Silent : AttemptFailure::Broken,
                           piece.error().message());
    }
    if (piece->empty())
        co_return failWith(AttemptFailure::Broken, "ended_early");
    m_parser.feed(*piece);
    const std::uint32_t before = m_sequence.delivered();
    const StreamStep step = takeEvents();
    if (!m_text.empty()) {
        noteTokens(answer, before);
        const std::error_code lost = co_await pass();
        if (lost)
            co_return failWith(AttemptFailure::CallerGone, "caller_gone");
    }
    if (step == StreamStep::GoesOn && m_run.deadlinePassed())
        co_return failWith(AttemptFailure::CallerGone, "deadline_expired");
    co_return step;
}

StreamStep StreamRelay::takeEvents()
{
    m_text.clear();
    while (const std::optional<SseEvent> event = m_parser.next()) {
        switch (m_sequence.take(*event)) {
        case TokenEventKind::Next:
            appendSse(m_text, *event);
            break;
        case TokenEventKind::Repeat:
            m_run.tools().telemetry->repeatedTokens.add();
            break;
        case TokenEventKind::Done:
            return StreamStep::Done;
        case TokenEventKind::Gap:
            m_run.tools().telemetry->tokenGaps.add();
            return failWith(AttemptFailure::Broken, "token_gap");
        case TokenEventKind::Malformed:
            return failWith(AttemptFailure::Broken, "malformed_event");
        }
    }
    return m_parser.error() ? failWith(AttemptFailure::Broken, "event_too_large")
                            : StreamStep::GoesOn;
}

void StreamRelay::noteTokens(OpenAnswer &answer, std::uint32_t before)
{
    const RequestTools &tools = m_run.tools();
    const TimePoint now = RuntimeClock::now();
    if (!m_attemptHasTokens) {
        m_attemptHasTokens = true;
        answer.exchange->answer().setSilenceTimeout(m_run.tokenSilence());
        tools.router->firstToken(answer.placement.handle, now);
        tools.telemetry->firstByte(m_run.caller().id, answer.attempt, answer.placement.backend.id,
                                   m_run.sinceArrival());
    }
    tools.router->progress(answer.placement.handle, m_sequence.delivered(), now);
    tools.telemetry->relayedTokens.add(m_sequence.delivered() - before);
}

asio::awaitable<std::error_code> StreamRelay::pass()
{
    if (!m_writer.started()) {
        const std::error_code error = co_await m_writer.startStream(head());
        if (error)
            co_return error;
    }
    co_return co_await m_writer.writePiece(m_text);
}

asio::awaitable<RelayEnd> StreamRelay::finish()
{
    if (m_run.claim())
        m_run.claim()->complete({200, std::string(StreamType), {}, true});
    m_text = DoneText;
    std::error_code error = co_await pass();
    if (!error)
        error = co_await m_writer.finishStream();
    RelayEnd end;
    end.verdict = Verdict::Complete;
    end.how = error ? "undelivered" : "stream";
    end.callerGone = static_cast<bool>(error);
    co_return end;
}

/// Ends a request that got no whole answer; a started stream is told so and then cut.
asio::awaitable<RelayEnd> StreamRelay::stopWith(Exit exit)
{
    if (!m_writer.started())
        co_return endWith(std::move(exit));
    m_text = encodeSse({{}, "error", errorBody(exit)});
    co_await pass();
    RelayEnd end;
    end.verdict = exit.verdict;
    end.how = exit.reason;
    co_return end;
}

StreamStep StreamRelay::failWith(AttemptFailure kind, std::string name)
{
    m_failure = {kind, std::move(name)};
    return kind == AttemptFailure::CallerGone && m_failure.name == "caller_gone"
        ? StreamStep::CallerGone
        : StreamStep::Failed;
}

HttpResponse StreamRelay::head() const
{
    HttpResponse response;
    response.headers.add("Content-Type", std::string(StreamType));
    response.headers.add("Cache-Control", "no-store");
    response.headers.add(header::RequestId, m_run.caller().id.value());
    return response;
}

} // namespace

asio::awaitable<RelayEnd> relayStream(RequestRun &run, ResponseWriter &writer)
{
    StreamRelay relay(run, writer);
    co_return co_await relay.run();
}

} // namespace gentianramp
