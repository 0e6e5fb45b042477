#pragma once

#include "request_attempts.hpp"

#include <gentianramp/http/server.hpp>

namespace gentianramp {

/// Outcome of a request in the pipeline; input of the settle filter.
struct PipelineOutcome
{
    Verdict verdict = Verdict::MayHaveRun;
    std::string label;                 ///< Of the outcome, for the time line.
    std::optional<RequestError> error; ///< Still to be sent to the caller.
    bool callerGone = false;
};

/// Outcome of a request that ended with @p error.
PipelineOutcome errorOutcome(RequestError error);
PipelineOutcome callerGoneOutcome(const RequestAttempts &attempts);

/// Receives the whole answer and forwards it only when it is known to be complete.
boost::asio::awaitable<PipelineOutcome> relayBuffered(RequestAttempts &attempts,
                                                      ResponseWriter &writer);

/// Receives the rest of @p answer and forwards it as relayBuffered() does; also used when an engine
/// answers a streaming request without a stream.
boost::asio::awaitable<PipelineOutcome>
finishBuffered(RequestAttempts &attempts, StartedAnswer answer, ResponseWriter &writer);

/// Forwards a stream token by token; resumes it at another engine when one fails.
boost::asio::awaitable<PipelineOutcome> relayStream(RequestAttempts &attempts,
                                                    ResponseWriter &writer);

} // namespace gentianramp
