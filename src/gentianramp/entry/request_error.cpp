#include "request_error.hpp"

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

RequestError notRun(unsigned status, std::string reason, std::string message, Duration retryAfter)
{
    return {status, Verdict::NotRun, std::move(reason), std::move(message), retryAfter};
}

RequestError toRequestError(const Refusal &refusal, Verdict verdict)
{
    const std::string reason(toString(refusal.reason));
    return {statusOf(refusal.reason), verdict, reason, "the router refused the request: " + reason,
            refusal.retryAfter};
}

std::string errorBody(const RequestError &error)
{
    const bool callersFault = error.status < ClientErrorEnd;
    const nlohmann::json body{{"error",
                               {{"message", error.message},
                                {"type", callersFault ? "invalid_request_error" : "server_error"},
                                {"code", error.reason},
                                {"verdict", toString(error.verdict)}}}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

HttpResponse toResponse(const RequestError &error, const RequestId &request)
{
    HttpResponse response;
    response.status = error.status;
    response.headers.add("Content-Type", "application/json");
    response.headers.add(header::Verdict, std::string(toString(error.verdict)));
    if (!request.value().empty())
        response.headers.add(header::RequestId, request.value());
    if (error.retryAfter > Duration::zero())
        response.headers.add("Retry-After", retryAfterSeconds(error.retryAfter));
    response.body = errorBody(error);
    return response;
}

} // namespace gentianramp
