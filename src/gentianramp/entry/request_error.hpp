#pragma once

#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/ids.hpp>
#include <gentianramp/core/verdict.hpp>
#include <gentianramp/http/message.hpp>
#include <gentianramp/routing/request_attributes.hpp>
#include <string>
#include <variant>

namespace gentianramp {

/// Error answer of the pipeline, sent instead of a backend server's answer.
struct RequestError
{
    unsigned status = 500;
    Verdict verdict = Verdict::MayHaveRun;
    std::string reason;  ///< Error code for metrics, logs and calling programs.
    std::string message; ///< Human-readable.
    Duration retryAfter{};
    bool operator==(const RequestError &) const = default;
};

/// Output of a filter: its value, or the error that ends the request.
template <typename T>
using FilterResult = std::variant<T, RequestError>;

/// Error for a request that cannot have run.
RequestError notRun(unsigned status, std::string reason, std::string message,
                    Duration retryAfter = {});
/// Error for a refusal by the router; @p verdict covers earlier attempts.
RequestError toRequestError(const Refusal &refusal, Verdict verdict);
/// The answer to the caller; @p request may be empty.
HttpResponse toResponse(const RequestError &error, const RequestId &request);
/// Error body in the format of the OpenAI API.
std::string errorBody(const RequestError &error);

} // namespace gentianramp
