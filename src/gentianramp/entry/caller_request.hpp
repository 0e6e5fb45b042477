#pragma once

#include "exit.hpp"

#include <cstdint>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/ids.hpp>
#include <gentianramp/http/message.hpp>
#include <gentianramp/routing/request_attributes.hpp>
#include <optional>
#include <string>
#include <vector>

namespace gentianramp {

/// What a completion request asks of a model.
struct ModelAsk
{
    std::string model;
    std::string adapter;
    std::optional<std::string> version;
    bool stream = false;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxTokens = 0; ///< 0 when the caller gave no bound.
    std::vector<PromptPrefix> prefixes;
    std::uint32_t resumeAfter = 0; ///< Tokens that the caller has from an earlier connection.
    bool operator==(const ModelAsk &) const = default;
};

/// A request that is well-formed; output of the accept filter.
struct CallerRequest
{
    RequestId id;
    bool named = false; ///< The caller gave a request id or an idempotency key.
    IdempotencyKey key;
    bool firstAttempt = false; ///< The caller states that it never sent this request before.
    std::string bearerKey;
    std::string method;
    std::string target;
    std::string contentType;
    std::string body;
    TimePoint arrivedAt{};
    std::optional<Duration> timeout; ///< Wanted by the caller.
    std::optional<ModelAsk> ask;     ///< For the paths of models.

    /// The target without its query.
    std::string_view path() const noexcept;
    /// What may be said of the whole request as long as this exchange sent nothing.
    Verdict priorVerdict() const noexcept;
};

/// Longest request id and idempotency key, in characters.
constexpr std::size_t MaxNameLength = 128;

/// Checks a request; @p generatedId stands in when the caller names none.
Passed<CallerRequest> acceptRequest(HttpRequest request, const RequestId &generatedId,
                                    TimePoint now);

/// The body of a completion with the engine's extension fields set.
struct EngineFields
{
    std::string model;
    std::uint32_t resumeOffset = 0;
    std::string kvHandle;
    bool prefillOnly = false;
    bool operator==(const EngineFields &) const = default;
};

/// The caller's body as an engine gets it; the same bytes when nothing has to change.
std::string engineBody(const CallerRequest &request, const EngineFields &fields);

} // namespace gentianramp
