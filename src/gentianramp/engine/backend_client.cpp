#include <gentianramp/engine/backend_client.hpp>

#include <array>
#include <gentianramp/core/verdict.hpp>
#include <nlohmann/json.hpp>

namespace gentianramp {

namespace asio = boost::asio;

namespace {

constexpr std::string_view RequestIdHeader = "Gentianramp-Request-Id";
constexpr std::string_view AttemptHeader = "Gentianramp-Attempt";
constexpr std::string_view VerdictHeader = "Gentianramp-Verdict";
constexpr std::string_view PhaseHeader = "Gentianramp-Backend-Phase";
constexpr unsigned NotFound = 404;
constexpr unsigned ServiceUnavailable = 503;
constexpr Duration CancelTimeout = std::chrono::seconds(2);

struct PhaseName
{
    BackendPhase phase;
    std::string_view name;
};

constexpr std::array<PhaseName, 5> PhaseNames{{
    {BackendPhase::Serving, "serving"},
    {BackendPhase::Draining, "draining"},
    {BackendPhase::Changing, "changing"},
    {BackendPhase::Leaving, "leaving"},
    {BackendPhase::Unreachable, "unreachable"},
}};

HttpCall toHttpCall(BackendCall &&call)
{
    HttpCall http;
    http.address = std::move(call.address);
    http.request.method = std::move(call.method);
    http.request.target = std::move(call.target);
    HttpHeaders &headers = http.request.headers;
    headers.add(std::string(RequestIdHeader), call.request.value());
    headers.add(std::string(AttemptHeader), std::to_string(call.attempt.value()));
    headers.add("Gentianramp-Priority", std::to_string(call.priority));
    if (!call.key.value().empty())
        headers.add("Idempotency-Key", call.key.value());
    if (!call.contentType.empty())
        headers.add("Content-Type", std::move(call.contentType));
    http.request.body = std::move(call.body);
    http.sharedBody = std::move(call.sharedBody);
    http.headTimeout = call.headTimeout;
    http.silenceTimeout = call.silenceTimeout;
    http.freshConnection = !call.mayReuseConnection;
    http.mayStart = std::move(call.mayStart);
    return http;
}

} // namespace

std::string_view toString(StartOutcome outcome)
{
    switch (outcome) {
    case StartOutcome::Answering:
        return "answering";
    case StartOutcome::NotSent:
        return "not_sent";
    case StartOutcome::Refused:
        return "refused";
    case StartOutcome::Mismatched:
        return "crossed";
    case StartOutcome::Broken:
        return "broken";
    case StartOutcome::Silent:
        return "silent";
    case StartOutcome::Cancelled:
        return "cancelled";
    }
    return "unknown";
}

std::string_view toString(BackendPhase phase)
{
    for (const PhaseName &entry : PhaseNames) {
        if (entry.phase == phase)
            return entry.name;
    }
    return "unknown";
}

std::optional<BackendPhase> parseBackendPhase(std::string_view text)
{
    for (const PhaseName &entry : PhaseNames) {
        if (entry.name == text)
            return entry.phase;
    }
    return std::nullopt;
}

BackendExchange::BackendExchange(HttpClient &client, BackendCall call)
    : m_request(call.request)
    , m_attempt(call.attempt)
{
    m_exchange = client.exchange(toHttpCall(std::move(call)));
}

asio::awaitable<StartOutcome> BackendExchange::start()
{
    const std::shared_ptr<HttpExchange> exchange = m_exchange;
    const std::error_code error = co_await exchange->open();
    m_mayHaveRun = exchange->anyBytesWritten();
    if (!error)
        co_return classifyAnswer();
    if (error == Error::ConnectionRefused)
        co_return StartOutcome::NotSent;
    if (error == Error::Cancelled)
        co_return StartOutcome::Cancelled;
    co_return error == Error::TimedOut ? StartOutcome::Silent : StartOutcome::Broken;
}

StartOutcome BackendExchange::classifyAnswer()
{
    const HttpHeaders &headers = m_exchange->headers();
    const bool refusal = m_exchange->status() >= 400
        && parseVerdict(headers.find(VerdictHeader)) == Verdict::NotRun;
    if (!matchesRequest(refusal))
        return StartOutcome::Mismatched;
    if (!refusal)
        return StartOutcome::Answering;
    m_mayHaveRun = false;
    m_statedPhase = parseBackendPhase(headers.find(PhaseHeader));
    const unsigned status = m_exchange->status();
    // Other refusals, such as 400, are the final answer: every backend server would refuse.
    const bool mayServeElsewhere = status == ServiceUnavailable || status == NotFound;
    return mayServeElsewhere ? StartOutcome::Refused : StartOutcome::Answering;
}

bool BackendExchange::matchesRequest(bool refusal) const
{
    const HttpHeaders &headers = m_exchange->headers();
    const std::string_view request = headers.find(RequestIdHeader);
    const std::string_view attempt = headers.find(AttemptHeader);
    if (refusal && request.empty() && attempt.empty())
        return true; // refused before the request was read
    return request == m_request.value() && attempt == std::to_string(m_attempt.value());
}

void BackendExchange::cancel()
{
    m_exchange->cancel();
}

asio::awaitable<void> cancelAttempt(HttpClient &client, HttpAddress address, RequestId request,
                                    Attempt attempt)
{
    HttpCall call;
    call.address = std::move(address);
    call.request.method = "POST";
    call.request.target = "/engine/cancel";
    call.request.headers.add("Content-Type", "application/json");
    call.request.body
        = nlohmann::json{{"request_id", request.value()}, {"attempt", attempt.value()}}.dump();
    call.headTimeout = CancelTimeout;
    call.silenceTimeout = CancelTimeout;
    co_await client.request(std::move(call));
}

} // namespace gentianramp
