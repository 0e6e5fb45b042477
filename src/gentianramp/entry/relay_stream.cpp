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

/// State of the stream of one attempt.
enum class StreamStep {
    Continue,
    Done,
    Failed,
    CallerGone,
};

/// Reason why reading an attempt's stream stopped.
struct StreamFailure
{
    AttemptFailure kind = AttemptFailure::Broken;
    std::string name = "broken";
};

/// Writes one streamed answer to the caller across all attempts that produce it.
class StreamRelay
{
public:
    StreamRelay(RequestAttempts &attempts, ResponseWriter &writer)
        : m_attempts(attempts)
        , m_writer(writer)
        , m_sequence(attempts.caller().completion->resumeAfter)
    { }

    asio::awaitable<PipelineOutcome> run();

private:
    asio::awaitable<StreamStep> relayAttempt(StartedAnswer &answer);
    asio::awaitable<StreamStep> relayPiece(StartedAnswer &answer);
    StreamStep processEvents();
    asio::awaitable<std::error_code> writeToCaller();
    void recordTokens(StartedAnswer &answer, std::uint32_t before);
    asio::awaitable<PipelineOutcome> finish();
    asio::awaitable<PipelineOutcome> stopWith(RequestError error);
    StreamStep failWith(AttemptFailure kind, std::string name);
    HttpResponse head() const;

    RequestAttempts &m_attempts;
    ResponseWriter &m_writer;
    TokenSequence m_sequence;
    SseParser m_parser;
    std::string m_text; ///< Encoded events of the current piece, to be written to the caller.
    bool m_attemptHasTokens = false;
    StreamFailure m_failure;
};

asio::awaitable<PipelineOutcome> StreamRelay::run()
{
    for (std::uint32_t attempt = 1;; ++attempt) {
        OpenResult opened = co_await m_attempts.open(m_sequence.delivered());
        if (RequestError *error = std::get_if<RequestError>(&opened))
            co_return co_await stopWith(std::move(*error));
        if (std::holds_alternative<CallerLeft>(opened))
            co_return callerGoneOutcome(m_attempts);
        StartedAnswer answer = std::move(std::get<StartedAnswer>(opened));
        const HttpExchange &exchange = answer.exchange->answer();
        const bool stream = exchange.headers().find("Content-Type").starts_with(StreamType);
        if (!stream && exchange.status() < ServerErrorBegin && !m_writer.started())
            co_return co_await finishBuffered(m_attempts, std::move(answer), m_writer);
        if (attempt > 1)
            m_attempts.context().telemetry->resumedStreams.add();
        const StreamStep step = stream ? co_await relayAttempt(answer)
                                       : failWith(AttemptFailure::Broken, "no_stream");
        if (step == StreamStep::Done) {
            m_attempts.succeed(answer, m_sequence.delivered());
            co_return co_await finish();
        }
        m_attempts.fail(answer, m_failure.kind, m_failure.name);
        if (step == StreamStep::CallerGone)
            co_return callerGoneOutcome(m_attempts);
        if (!m_attempts.mayRepeat())
            co_return co_await stopWith(m_attempts.backendError(m_failure.kind));
    }
}

asio::awaitable<StreamStep> StreamRelay::relayAttempt(StartedAnswer &answer)
{
    m_parser = SseParser();
    m_attemptHasTokens = false;
    answer.exchange->answer().setSilenceTimeout(m_attempts.firstTokenTimeout());
    StreamStep step = StreamStep::Continue;
    while (step == StreamStep::Continue)
        step = co_await relayPiece(answer);
    co_return step;
}

asio::awaitable<StreamStep> StreamRelay::relayPiece(StartedAnswer &answer)
{
    const Result<std::string_view> piece = co_await answer.exchange->answer().readPiece();
    if (m_attempts.watch().gone())
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
    const StreamStep step = processEvents();
    if (!m_text.empty()) {
        recordTokens(answer, before);
        const std::error_code lost = co_await writeToCaller();
        if (lost)
            co_return failWith(AttemptFailure::CallerGone, "caller_gone");
    }
    if (step == StreamStep::Continue && m_attempts.deadlinePassed())
        // CallerGone is not counted against the backend server. The next open() ends the request
        // with an error, since the deadline has passed.
        co_return failWith(AttemptFailure::CallerGone, "deadline_expired");
    co_return step;
}

StreamStep StreamRelay::processEvents()
{
    m_text.clear();
    while (const std::optional<SseEvent> event = m_parser.next()) {
        switch (m_sequence.take(*event)) {
        case TokenEventKind::Next:
            appendSse(m_text, *event);
            break;
        case TokenEventKind::Repeat:
            m_attempts.context().telemetry->repeatedTokens.add();
            break;
        case TokenEventKind::Done:
            return StreamStep::Done;
        case TokenEventKind::Gap:
            m_attempts.context().telemetry->tokenGaps.add();
            return failWith(AttemptFailure::Broken, "token_gap");
        case TokenEventKind::Malformed:
            return failWith(AttemptFailure::Broken, "malformed_event");
        }
    }
    return m_parser.error() ? failWith(AttemptFailure::Broken, "event_too_large")
                            : StreamStep::Continue;
}

void StreamRelay::recordTokens(StartedAnswer &answer, std::uint32_t before)
{
    const RequestContext &context = m_attempts.context();
    const TimePoint now = RuntimeClock::now();
    if (!m_attemptHasTokens) {
        m_attemptHasTokens = true;
        answer.exchange->answer().setSilenceTimeout(m_attempts.tokenTimeout());
        context.router->firstToken(answer.placement.handle, now);
        context.telemetry->firstByte(m_attempts.caller().id, answer.attempt,
                                     answer.placement.backend.id, m_attempts.sinceArrival());
    }
    context.router->progress(answer.placement.handle, m_sequence.delivered(), now);
    context.telemetry->relayedTokens.add(m_sequence.delivered() - before);
}

asio::awaitable<std::error_code> StreamRelay::writeToCaller()
{
    if (!m_writer.started()) {
        const std::error_code error = co_await m_writer.startStream(head());
        if (error)
            co_return error;
    }
    co_return co_await m_writer.writePiece(m_text);
}

asio::awaitable<PipelineOutcome> StreamRelay::finish()
{
    if (m_attempts.claim())
        m_attempts.claim()->complete({200, std::string(StreamType), {}, true});
    m_text = DoneText;
    std::error_code error = co_await writeToCaller();
    if (!error)
        error = co_await m_writer.finishStream();
    PipelineOutcome outcome;
    outcome.verdict = Verdict::Complete;
    outcome.label = error ? "undelivered" : "stream";
    outcome.callerGone = static_cast<bool>(error);
    co_return outcome;
}

/// Ends a request without a complete answer. A stream that has started gets an error event and is
/// then aborted.
asio::awaitable<PipelineOutcome> StreamRelay::stopWith(RequestError error)
{
    if (!m_writer.started())
        co_return errorOutcome(std::move(error));
    m_text = encodeSse({{}, "error", errorBody(error)});
    co_await writeToCaller();
    PipelineOutcome outcome;
    outcome.verdict = error.verdict;
    outcome.label = error.reason;
    co_return outcome;
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
    response.headers.add(header::RequestId, m_attempts.caller().id.value());
    return response;
}

} // namespace

asio::awaitable<PipelineOutcome> relayStream(RequestAttempts &attempts, ResponseWriter &writer)
{
    StreamRelay relay(attempts, writer);
    co_return co_await relay.run();
}

} // namespace gentianramp
