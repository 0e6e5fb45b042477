#pragma once

#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/ids.hpp>
#include <gentianramp/core/verdict.hpp>
#include <gentianramp/http/message.hpp>
#include <gentianramp/routing/request_attributes.hpp>
#include <string>
#include <variant>

namespace gentianramp {

/// Way out of the pipeline without the backend server's answer.
struct Exit
{
    unsigned status = 500;
    Verdict verdict = Verdict::MayHaveRun;
    std::string reason;  ///< Short name for metrics, logs and programs of callers.
    std::string message; ///< For people.
    Duration retryAfter{};
    bool operator==(const Exit &) const = default;
};

/// Output of a filter: its value, or the way out.
template <typename T>
using Passed = std::variant<T, Exit>;

/// Refusal of something that cannot have run.
Exit notRun(unsigned status, std::string reason, std::string message, Duration retryAfter = {});
/// Way out for a refusal by routing; @p verdict covers earlier attempts.
Exit toExit(const Refusal &refusal, Verdict verdict);
/// The answer to the caller; @p request may be empty.
HttpResponse toResponse(const Exit &exit, const RequestId &request);
/// Body that tells the error in the manner of the OpenAI API.
std::string errorBody(const Exit &exit);

} // namespace gentianramp
