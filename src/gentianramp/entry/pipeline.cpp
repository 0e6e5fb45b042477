#include "pipeline.hpp"

#include "header_names.hpp"

#include <array>
#include <charconv>

namespace gentianramp {

namespace asio = boost::asio;

namespace {

/// Attempt numbers are a prefix of 23 bits for each request and 8 bits for its attempts, so that
/// attempts of a repeated request id get different numbers.
constexpr std::uint32_t AttemptPrefixMask = (1U << 23U) - 1;
constexpr std::uint32_t AttemptPrefixStep = 0x9e3779b1; // odd, so that it runs through all prefixes
constexpr Duration UnconfiguredRetryDelay = std::chrono::seconds(2);
constexpr Duration ShutdownRetryDelay = std::chrono::seconds(1);

std::string hexText(std::uint64_t value)
{
    std::array<char, 17> text{};
    const auto end = std::to_chars(text.data(), text.data() + text.size(), value, 16).ptr;
    return {text.data(), end};
}

} // namespace

Pipeline::Pipeline(PipelineOptions options)
    : m_options(std::move(options))
    , m_idPrefix(m_options.instance.value() + '-' + hexText(m_options.incarnation.value()) + '-')
    , m_lastAttemptPrefix(static_cast<std::uint32_t>(std::hash<std::string>{}(m_idPrefix)))
{ }

RequestId Pipeline::nextRequestId()
{
    return RequestId(m_idPrefix + hexText(m_lastRequest.fetch_add(1) + 1));
}

std::uint32_t Pipeline::nextAttemptPrefix()
{
    return m_lastAttemptPrefix.fetch_add(AttemptPrefixStep) & AttemptPrefixMask;
}

asio::awaitable<void> Pipeline::serve(HttpRequest request, ResponseWriter &writer)
{
    const TimePoint now = RuntimeClock::now();
    const RequestId generated = nextRequestId();
    FilterResult<CallerRequest> accepted = acceptRequest(std::move(request), generated, now);
    if (RequestError *error = std::get_if<RequestError>(&accepted)) {
        m_options.context.telemetry->accepted(generated, "");
        PipelineOutcome outcome = errorOutcome(std::move(*error));
        co_await settle(generated, now, std::move(outcome), writer);
        co_return;
    }
    CallerRequest caller = std::move(std::get<CallerRequest>(accepted));
    const RequestId id = caller.id;
    const Verdict verdict = caller.undispatchedVerdict();
    m_options.context.telemetry->accepted(id, caller.target);
    PipelineOutcome outcome;
    if (m_options.shuttingDown()) {
        writer.closeAfterResponse();
        outcome = errorOutcome(
            {503, verdict, "shutting_down", "this instance is shutting down", ShutdownRetryDelay});
    } else {
        outcome = co_await process(std::move(caller), writer);
    }
    co_await settle(id, now, std::move(outcome), writer);
}

asio::awaitable<PipelineOutcome> Pipeline::process(CallerRequest request, ResponseWriter &writer)
{
    const RequestId id = request.id;
    const bool stream = request.completion && request.completion->stream;
    CallerWatch watch(writer);
    if (m_options.directory()->isEmpty())
        co_return errorOutcome(RequestError{503, request.undispatchedVerdict(), "no_configuration",
                                            "this instance has not received a configuration yet",
                                            UnconfiguredRetryDelay});
    FilterResult<IdentifiedRequest> identified
        = identify(std::move(request), m_options.directory());
    if (RequestError *error = std::get_if<RequestError>(&identified))
        co_return errorOutcome(std::move(*error));
    Deduplicated deduplicated = co_await deduplicate(
        std::move(std::get<IdentifiedRequest>(identified)), m_options.keyService);
    if (RequestError *error = std::get_if<RequestError>(&deduplicated))
        co_return errorOutcome(std::move(*error));
    if (EarlierAnswer *earlier = std::get_if<EarlierAnswer>(&deduplicated))
        co_return co_await sendStoredAnswer(id, std::move(earlier->answer), writer);
    RequestAttempts attempts(m_options.context,
                             std::move(std::get<AdmissibleRequest>(deduplicated)), watch,
                             nextAttemptPrefix());
    if (stream)
        co_return co_await relayStream(attempts, writer);
    co_return co_await relayBuffered(attempts, writer);
}

asio::awaitable<PipelineOutcome>
Pipeline::sendStoredAnswer(const RequestId &request, StoredAnswer answer, ResponseWriter &writer)
{
    m_options.context.telemetry->replayedAnswers.add();
    HttpResponse response;
    response.status = answer.status;
    if (!answer.contentType.empty())
        response.headers.add("Content-Type", std::move(answer.contentType));
    response.headers.add(header::Verdict, std::string(toString(Verdict::Complete)));
    response.headers.add(header::RequestId, request.value());
    response.body = std::move(answer.body);
    const std::error_code error = co_await writer.send(std::move(response));
    PipelineOutcome outcome;
    outcome.verdict = Verdict::Complete;
    outcome.label = "replayed";
    outcome.callerGone = static_cast<bool>(error);
    co_return outcome;
}

asio::awaitable<void> Pipeline::settle(RequestId request, TimePoint arrivedAt,
                                       PipelineOutcome outcome, ResponseWriter &writer)
{
    Telemetry &telemetry = *m_options.context.telemetry;
    if (outcome.callerGone)
        telemetry.callersGone.add();
    if (!outcome.error) {
        telemetry.settled(request, outcome.verdict, outcome.label, RuntimeClock::now() - arrivedAt);
        co_return;
    }
    telemetry.refused(request, *outcome.error);
    HttpResponse response = toResponse(*outcome.error, request);
    co_await writer.send(std::move(response));
}

} // namespace gentianramp
