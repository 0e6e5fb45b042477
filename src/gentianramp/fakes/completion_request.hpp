#pragma once

#include <gentianramp/core/error.hpp>
#include <gentianramp/engine/engine_model.hpp>
#include <gentianramp/http/message.hpp>
#include <string>

namespace gentianramp {

/// A completion request as the fake engine reads it.
struct CompletionRequest
{
    EngineRequest work;
    std::string model;
    std::string kvHandle;
    bool chat = false;
    bool stream = false;
    bool operator==(const CompletionRequest &) const = default;
};

/// Reads the JSON body and the headers of a completion request.
Result<CompletionRequest> parseCompletionRequest(const HttpRequest &request);

/// Text of the token at @p offset (from 1) of the answer to @p request.
std::string tokenText(std::uint32_t offset, const RequestId &request);

} // namespace gentianramp
