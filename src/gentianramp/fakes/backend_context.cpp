#include "backend_context.hpp"

#include "names.hpp"

namespace gentianramp {

namespace {

constexpr Duration HangTime = std::chrono::hours(1);

} // namespace

BackendContext::BackendContext(boost::asio::any_io_executor chosen, FakeBackendOptions wanted)
    : executor(std::move(chosen))
    , options(std::move(wanted))
    , host(std::make_shared<EngineHost>(executor, options.engine))
    , runs(options.recordFile)
{
    if (!options.model.empty())
        versions[options.model] = options.version;
}

std::optional<HttpResponse> BackendContext::refusal(const HttpRequest &request)
{
    if (faults.take(FaultKind::Refuse))
        return notRun(503, "refused");
    const BackendPhase phase = host->model().phase();
    if (phase == BackendPhase::Serving)
        return std::nullopt;
    if (phase == BackendPhase::Leaving)
        runs.addLateArrival(runEntry(request));
    HttpResponse response = notRun(503, std::string(phaseName(phase)));
    response.headers.add("Gentianramp-Backend-Phase", std::string(phaseName(phase)));
    return response;
}

HttpResponse jsonResponse(unsigned status, const nlohmann::json &body)
{
    HttpResponse response;
    response.status = status;
    response.headers.add("Content-Type", "application/json");
    response.body = body.dump();
    return response;
}

HttpResponse notRun(unsigned status, const std::string &message)
{
    HttpResponse response = jsonResponse(status, {{"error", {{"message", message}}}});
    response.headers.add("Gentianramp-Verdict", "NotRun");
    return response;
}

RunEntry runEntry(const HttpRequest &request)
{
    RunEntry entry;
    entry.request = RequestId(std::string(request.headers.find("Gentianramp-Request-Id")));
    const std::string attempt(request.headers.find("Gentianramp-Attempt"));
    entry.attempt = Attempt(static_cast<std::uint32_t>(std::strtoul(attempt.c_str(), nullptr, 10)));
    entry.key = IdempotencyKey(std::string(request.headers.find("Idempotency-Key")));
    entry.startedMs = wallClockMs();
    return entry;
}

boost::asio::awaitable<void> hang()
{
    co_await sleepFor(HangTime);
}

} // namespace gentianramp
