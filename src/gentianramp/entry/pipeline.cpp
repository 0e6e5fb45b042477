#include "pipeline.hpp"

#include "header_names.hpp"

#include <array>
#include <charconv>

namespace gentianramp {

namespace asio = boost::asio;

namespace {

constexpr std::uint32_t AttemptSaltMask = (1U << 23U) - 1;
constexpr std::uint32_t AttemptSaltStep = 0x9e3779b1; // odd, so that all salts are used
constexpr Duration UnconfiguredRetryDelay = std::chrono::seconds(2);
constexpr Duration ShutdownRetryDelay = std::chrono::seconds(1);

std::string hexText(std::uint64_t value)
{
    std::array<char, 17> text{};
    const auto end = std::to_chars(text.data(), text.data() + text.size(), value, 16).ptr;
    return {text.data(), end};
}

} // namespace

Pipeline::Pipeline(PipelineParts parts)
    : m_parts(std::move(parts))
    , m_idPrefix(m_parts.instance.value() + '-' + hexText(m_parts.incarnation.value()) + '-')
    , m_lastSalt(static_cast<std::uint32_t>(std::hash<std::string>{}(m_idPrefix)))
{ }

RequestId Pipeline::nextRequestId()
{
    return RequestId(m_idPrefix + hexText(m_lastRequest.fetch_add(1) + 1));
}

std::uint32_t Pipeline::nextAttemptSalt()
{
    return m_lastSalt.fetch_add(AttemptSaltStep) & AttemptSaltMask;
}

asio::awaitable<void> Pipeline::serve(HttpRequest request, ResponseWriter &writer)
{
    const TimePoint now = RuntimeClock::now();
    const RequestId generated = nextRequestId();
    Passed<CallerRequest> accepted = acceptRequest(std::move(request), generated, now);
    if (Exit *exit = std::get_if<Exit>(&accepted)) {
        m_parts.tools.telemetry->accepted(generated, "");
        RelayEnd end = endWith(std::move(*exit));
        co_await settle(generated, now, std::move(end), writer);
        co_return;
    }
    CallerRequest caller = std::move(std::get<CallerRequest>(accepted));
    const RequestId id = caller.id;
    const Verdict prior = caller.priorVerdict();
    m_parts.tools.telemetry->accepted(id, caller.target);
    RelayEnd end;
    if (m_parts.shuttingDown()) {
        writer.closeAfterResponse();
        end = endWith(
            {503, prior, "shutting_down", "this instance is shutting down", ShutdownRetryDelay});
    } else {
        end = co_await process(std::move(caller), writer);
    }
    co_await settle(id, now, std::move(end), writer);
}

asio::awaitable<RelayEnd> Pipeline::process(CallerRequest request, ResponseWriter &writer)
{
    const RequestId id = request.id;
    const bool stream = request.ask && request.ask->stream;
    CallerWatch watch(writer);
    if (m_parts.directory()->isEmpty())
        co_return endWith(Exit{503, request.priorVerdict(), "no_configuration",
                               "no configuration has reached this instance",
                               UnconfiguredRetryDelay});
    Passed<IdentifiedRequest> identified = identify(std::move(request), m_parts.directory());
    if (Exit *exit = std::get_if<Exit>(&identified))
        co_return endWith(std::move(*exit));
    Deduplicated deduplicated
        = co_await deduplicate(std::move(std::get<IdentifiedRequest>(identified)), m_parts.keys);
    if (Exit *exit = std::get_if<Exit>(&deduplicated))
        co_return endWith(std::move(*exit));
    if (EarlierAnswer *earlier = std::get_if<EarlierAnswer>(&deduplicated))
        co_return co_await sendEarlier(id, std::move(earlier->answer), writer);
    RequestRun run(m_parts.tools, std::move(std::get<AdmissibleRequest>(deduplicated)), watch,
                   nextAttemptSalt());
    if (stream)
        co_return co_await relayStream(run, writer);
    co_return co_await relayWhole(run, writer);
}

asio::awaitable<RelayEnd> Pipeline::sendEarlier(const RequestId &request, StoredAnswer answer,
                                                ResponseWriter &writer)
{
    m_parts.tools.telemetry->replayedAnswers.add();
    HttpResponse response;
    response.status = answer.status;
    if (!answer.contentType.empty())
        response.headers.add("Content-Type", std::move(answer.contentType));
    response.headers.add(header::Verdict, std::string(toString(Verdict::Complete)));
    response.headers.add(header::RequestId, request.value());
    response.body = std::move(answer.body);
    const std::error_code error = co_await writer.send(std::move(response));
    RelayEnd end;
    end.verdict = Verdict::Complete;
    end.how = "replayed";
    end.callerGone = static_cast<bool>(error);
    co_return end;
}

asio::awaitable<void> Pipeline::settle(RequestId request, TimePoint arrivedAt, RelayEnd end,
                                       ResponseWriter &writer)
{
    Telemetry &telemetry = *m_parts.tools.telemetry;
    if (end.callerGone)
        telemetry.callersGone.add();
    if (!end.exit) {
        telemetry.settled(request, end.verdict, end.how, RuntimeClock::now() - arrivedAt);
        co_return;
    }
    telemetry.refused(request, *end.exit);
    HttpResponse response = toResponse(*end.exit, request);
    co_await writer.send(std::move(response));
}

} // namespace gentianramp
