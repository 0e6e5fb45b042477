#pragma once

#include "request_error.hpp"

#include <cstdint>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/ids.hpp>
#include <gentianramp/http/message.hpp>
#include <gentianramp/routing/request_attributes.hpp>
#include <optional>
#include <string>
#include <vector>

namespace gentianramp {

/// Parsed fields of a completion request.
struct CompletionParameters
{
    std::string model;
    std::string adapter;
    std::optional<std::string> version;
    bool stream = false;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxTokens = 0; ///< 0 when the caller set no limit.
    std::vector<PromptPrefix> prefixes;
    std::uint32_t resumeAfter = 0; ///< Tokens that the caller received on an earlier connection.
    bool operator==(const CompletionParameters &) const = default;
};

/// A well-formed request; output of the accept filter.
struct CallerRequest
{
    RequestId id;
    bool hasCallerId = false; ///< The caller sent a request id or an idempotency key.
    IdempotencyKey key;
    bool firstAttempt = false; ///< The caller states that it has not sent this request before.
    std::string bearerKey;
    std::string method;
    std::string target;
    std::string contentType;
    /// Never empty after acceptRequest(); holds the room of the request as long as it is in use.
    std::shared_ptr<const std::string> body;
    TimePoint arrivedAt{};
    std::optional<Duration> timeout;                ///< Requested by the caller.
    std::optional<CompletionParameters> completion; ///< Set for the completion paths.

    /// The target without its query.
    std::string_view path() const noexcept;
    /// Verdict while this instance has sent nothing to a backend server: MayHaveRun when the
    /// request may repeat one that was sent before.
    Verdict undispatchedVerdict() const noexcept;
};

/// Longest request id and idempotency key, in characters.
constexpr std::size_t MaxIdLength = 128;

/// Checks a request; @p generatedId becomes its id when the caller sent none.
FilterResult<CallerRequest> acceptRequest(HttpRequest request, const RequestId &generatedId,
                                          TimePoint now);

/// Fields that an entry instance sets in the body of a completion for an engine.
struct EngineFields
{
    std::string model;
    std::uint32_t resumeOffset = 0;
    std::string kvHandle;
    bool prefillOnly = false;
    bool operator==(const EngineFields &) const = default;
};

/// Body to send to an engine: the caller's body with @p fields set, or the same one when no field
/// differs.
std::shared_ptr<const std::string> engineBody(const CallerRequest &request,
                                              const EngineFields &fields);

} // namespace gentianramp
