#include "exit.hpp"

#include "header_names.hpp"

#include <nlohmann/json.hpp>

namespace gentianramp {

namespace {

constexpr unsigned ClientErrorEnd = 500;

unsigned statusOf(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::UnknownService:
    case RefusalReason::UnknownModel:
        return 404;
    case RefusalReason::CustomerLimit:
        return 429;
    case RefusalReason::NoBackend:
    case RefusalReason::QueueFull:
    case RefusalReason::DeadlineUnreachable:
    case RefusalReason::RetryBudget:
    case RefusalReason::ShuttingDown:
        break;
    }
    return 503;
}

std::string retryAfterSeconds(Duration delay)
{
    return std::to_string(std::chrono::ceil<std::chrono::seconds>(delay).count());
}

} // namespace

Exit notRun(unsigned status, std::string reason, std::string message, Duration retryAfter)
{
    return {status, Verdict::NotRun, std::move(reason), std::move(message), retryAfter};
}

Exit toExit(const Refusal &refusal, Verdict verdict)
{
    const std::string reason(toString(refusal.reason));
    return {statusOf(refusal.reason), verdict, reason, "refused: " + reason, refusal.retryAfter};
}

std::string errorBody(const Exit &exit)
{
    const bool callersFault = exit.status < ClientErrorEnd;
    const nlohmann::json body{{"error",
                               {{"message", exit.message},
                                {"type", callersFault ? "invalid_request_error" : "server_error"},
                                {"code", exit.reason},
                                {"verdict", toString(exit.verdict)}}}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

HttpResponse toResponse(const Exit &exit, const RequestId &request)
{
    HttpResponse response;
    response.status = exit.status;
    response.headers.add("Content-Type", "application/json");
    response.headers.add(header::Verdict, std::string(toString(exit.verdict)));
    if (!request.value().empty())
        response.headers.add(header::RequestId, request.value());
    if (exit.retryAfter > Duration::zero())
        response.headers.add("Retry-After", retryAfterSeconds(exit.retryAfter));
    response.body = errorBody(exit);
    return response;
}

} // namespace gentianramp
