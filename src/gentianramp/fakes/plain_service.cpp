#include "plain_service.hpp"

namespace gentianramp {

namespace {

constexpr int SlowFactor = 20;

} // namespace

boost::asio::awaitable<void> answerPlain(std::shared_ptr<BackendContext> context,
                                         const HttpRequest &request, ResponseWriter &writer)
{
    if (auto refused = context->refusal(request)) {
        co_await writer.send(std::move(*refused));
        co_return;
    }
    if (context->plainRunning >= context->options.plainSlots) {
        co_await writer.send(notRun(503, "busy"));
        co_return;
    }
    const std::uint32_t runCount = context->runs.add(runEntry(request));
    ++context->plainRunning;
    if (context->faults.take(FaultKind::Hang))
        co_await hang();
    const bool slow = context->faults.take(FaultKind::Slow);
    co_await sleepFor(slow ? context->options.serviceTime * SlowFactor
                           : context->options.serviceTime);
    --context->plainRunning;
    if (context->faults.take(FaultKind::LoseAnswer))
        co_return;
    const std::string requestId(request.headers.find("Gentianramp-Request-Id"));
    const std::string key(request.headers.find("Idempotency-Key"));
    HttpResponse response
        = jsonResponse(200,
                       {{"request_id", requestId},
                        {"key", key},
                        {"runs", runCount},
                        {"result", "done " + std::string(request.path()) + " for " + requestId}});
    response.headers.add("Gentianramp-Request-Id", requestId);
    response.headers.add("Gentianramp-Attempt",
                         std::string(request.headers.find("Gentianramp-Attempt")));
    co_await writer.send(std::move(response));
}

} // namespace gentianramp
