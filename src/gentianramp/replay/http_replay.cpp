#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <gentianramp/core/verdict.hpp>
#include <gentianramp/http/sse.hpp>
#include <gentianramp/replay/answer_check.hpp>
#include <gentianramp/replay/http_replay.hpp>
#include <nlohmann/json.hpp>
#include <random>

namespace gentianramp {
namespace {

using boost::asio::awaitable;
using nlohmann::json;

constexpr const char *VerdictHeader = "Gentianramp-Verdict";
constexpr unsigned StatusOk = 200;
constexpr Duration ExtraTime = std::chrono::seconds(5); ///< After the deadline, for the answer.
constexpr Duration FullPause = std::chrono::milliseconds(5);
constexpr std::size_t MostAttempts = 3; ///< Entry instances tried while connections are refused.

/// Text of one streamed event.
std::string textOf(const std::string &data)
{
    const json event = json::parse(data, nullptr, false);
    if (!event.is_object() || !event.contains("choices") || event["choices"].empty())
        return {};
    const json &choice = event["choices"][0];
    return choice.is_object() && choice.contains("text") && choice["text"].is_string()
        ? choice["text"].get<std::string>()
        : std::string();
}

/// One replay; everything runs on one thread.
class Run
{
public:
    Run(const Trace &trace, const HttpReplayOptions &options)
        : m_trace(trace)
        , m_options(options)
        , m_random(options.seed)
    {
        m_result.name = trace.name;
        m_result.outcomes.resize(trace.requests.size());
    }

    ReplayResult run()
    {
        boost::asio::co_spawn(m_context, arrivals(), boost::asio::detached);
        m_context.run();
        return std::move(m_result);
    }

private:
    awaitable<void> arrivals();
    awaitable<void> follow(std::size_t number);
    awaitable<void> attempt(std::size_t number);
    awaitable<void> readStream(std::size_t number, HttpExchange &exchange);
    awaitable<void> readWhole(std::size_t number, HttpExchange &exchange);
    void settleRefusal(std::size_t number, const HttpExchange &exchange);
    void end(std::size_t number, OutcomeKind kind);

    HttpCall callFor(std::size_t number);
    std::string requestId(std::size_t number) const;
    TimePoint dueAt(std::size_t number) const;
    const ServiceTarget *targetOf(const ServiceId &service) const;

    const Trace &m_trace;
    const HttpReplayOptions &m_options;
    std::mt19937_64 m_random;
    boost::asio::io_context m_context{1};
    HttpClient m_client;
    TimePoint m_start = RuntimeClock::now();
    std::uint32_t m_open = 0;
    ReplayResult m_result;
};

std::string Run::requestId(std::size_t number) const
{
    return m_options.runName + "." + std::to_string(number);
}

TimePoint Run::dueAt(std::size_t number) const
{
    const auto arrival = static_cast<double>(m_trace.requests[number].arrival.count());
    return m_start + Duration(static_cast<Duration::rep>(arrival / m_options.speed));
}

const ServiceTarget *Run::targetOf(const ServiceId &service) const
{
    const auto found = m_options.targets.find(service);
    return found == m_options.targets.end() ? nullptr : &found->second;
}

HttpCall Run::callFor(std::size_t number)
{
    const TraceRequest &request = m_trace.requests[number];
    const ServiceTarget *target = targetOf(request.service);
    HttpCall call{.address = m_options.entries[m_random() % m_options.entries.size()]};
    call.headTimeout = request.deadline + ExtraTime;
    call.silenceTimeout = request.deadline + ExtraTime;
    call.freshConnection = !request.idempotent;
    HttpRequest &message = call.request;
    message.method = "POST";
    const auto key = m_options.bearerKeys.find(request.customer);
    message.headers.add(
        "Authorization",
        "Bearer " + (key == m_options.bearerKeys.end() ? m_options.defaultBearerKey : key->second));
    message.headers.add("Gentianramp-Request-Id", requestId(number));
    message.headers.add("Gentianramp-Timeout-Ms", std::to_string(toMilliseconds(request.deadline)));
    if (!request.idempotent) {
        message.headers.add("Idempotency-Key", requestId(number));
        message.headers.add("Gentianramp-Attempt", "1");
    }
    if (target != nullptr && !target->path.empty()) {
        message.target = target->path;
        message.body = "{}";
        return call;
    }
    message.target = "/v1/completions";
    message.headers.add("Content-Type", "application/json");
    json body{{"model", target == nullptr ? request.service.value() : target->model},
              {"prompt", "replay"},
              {"stream", true},
              {"max_tokens", request.outputTokens},
              {"gentianramp_prompt_tokens", request.promptTokens}};
    if (!request.prefix.empty()) {
        body["gentianramp_prefix"] = request.prefix;
        body["gentianramp_prefix_tokens"] = request.prefixTokens;
    }
    message.body = body.dump();
    return call;
}

void Run::end(std::size_t number, OutcomeKind kind)
{
    const TimePoint now = RuntimeClock::now();
    RequestOutcome &outcome = m_result.outcomes[number];
    if (kind == OutcomeKind::Timely && now > dueAt(number) + m_trace.requests[number].deadline)
        kind = OutcomeKind::Late;
    outcome.kind = kind;
    outcome.end = now - m_start;
}

/// A refusal with NotRun is one; any other end without a whole answer counts as cut.
void Run::settleRefusal(std::size_t number, const HttpExchange &exchange)
{
    const auto verdict = parseVerdict(exchange.headers().find(VerdictHeader));
    end(number, verdict == Verdict::NotRun ? OutcomeKind::Refused : OutcomeKind::Cut);
}

awaitable<void> Run::readStream(std::size_t number, HttpExchange &exchange)
{
    SseParser parser;
    AnswerCheck check(requestId(number));
    bool done = false;
    for (;;) {
        const Result<std::string_view> piece = co_await exchange.readPiece();
        if (!piece || piece->empty())
            break;
        parser.feed(*piece);
        while (const std::optional<SseEvent> event = parser.next()) {
            done = done || event->data == "[DONE]";
            check.feed(textOf(event->data));
        }
        RequestOutcome &outcome = m_result.outcomes[number];
        if (check.tokens() > 0 && outcome.firstToken == Duration::zero())
            outcome.firstToken = RuntimeClock::now() - dueAt(number);
    }
    const bool whole = check.finish(m_trace.requests[number].outputTokens);
    if (!check.faultless() || (done && !whole))
        end(number, OutcomeKind::Wrong);
    else
        end(number, done ? OutcomeKind::Timely : OutcomeKind::Cut);
}

awaitable<void> Run::readWhole(std::size_t number, HttpExchange &exchange)
{
    const Result<std::string> body = co_await exchange.readAll();
    if (!body) {
        end(number, OutcomeKind::Cut);
        co_return;
    }
    const json answer = json::parse(*body, nullptr, false);
    const bool own = answer.is_object() && answer.value("request_id", "") == requestId(number);
    end(number, own ? OutcomeKind::Timely : OutcomeKind::Wrong);
}

awaitable<void> Run::attempt(std::size_t number)
{
    for (std::size_t tried = 1;; ++tried) {
        const std::shared_ptr<HttpExchange> exchange = m_client.exchange(callFor(number));
        const std::error_code error = co_await exchange->open();
        if (error == make_error_code(Error::ConnectionRefused) && tried < MostAttempts)
            continue;
        if (error) {
            const bool refused = error == make_error_code(Error::ConnectionRefused);
            end(number, refused ? OutcomeKind::Refused : OutcomeKind::Cut);
            co_return;
        }
        if (exchange->status() != StatusOk) {
            settleRefusal(number, *exchange);
            co_return;
        }
        const ServiceTarget *target = targetOf(m_trace.requests[number].service);
        if (target != nullptr && !target->path.empty())
            co_await readWhole(number, *exchange);
        else
            co_await readStream(number, *exchange);
        co_return;
    }
}

awaitable<void> Run::follow(std::size_t number)
{
    co_await attempt(number);
    --m_open;
}

awaitable<void> Run::arrivals()
{
    for (std::size_t number = 0; number < m_trace.requests.size(); ++number) {
        const Duration wait = dueAt(number) - RuntimeClock::now();
        if (wait > Duration::zero())
            co_await sleepFor(wait);
        while (m_open >= m_options.maxOpen)
            co_await sleepFor(FullPause);
        ++m_open;
        boost::asio::co_spawn(m_context, follow(number), boost::asio::detached);
    }
}

} // namespace

ReplayResult replayOverHttp(const Trace &trace, const HttpReplayOptions &options)
{
    return Run(trace, options).run();
}

} // namespace gentianramp
