#pragma once

#include <cstdint>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/ids.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace gentianramp {

/// Hash of a prompt prefix.
using PrefixHash = std::uint64_t;

/// Hash of the prefix that callers and cache events identify by @p name; never 0.
PrefixHash prefixHash(std::string_view name);

/// A prefix of a prompt and its length.
struct PromptPrefix
{
    PrefixHash hash = 0;
    std::uint32_t tokens = 0;
    bool operator==(const PromptPrefix &) const = default;
};

/// Attributes of a request that determine its routing.
struct RequestAttributes
{
    ServiceId service;
    CustomerId customer;
    std::uint32_t priority = 0;         ///< Level of the priority class; a lower level goes first.
    std::optional<std::string> version; ///< Required model version; empty: any.
    std::string adapter;                ///< Empty: none.
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0;     ///< 0: not bounded by the caller.
    std::vector<PromptPrefix> prefixes;    ///< Known prefixes of the prompt, shortest first.
    TimePoint deadline = TimePoint::max(); ///< For the complete answer.
    bool idempotent = true;
    Attempt attempt{1};              ///< Attempts after the first draw on the retry budget.
    std::vector<BackendId> excluded; ///< Backend servers where an earlier attempt failed.
    bool operator==(const RequestAttributes &) const = default;
};

/// Why a request is not dispatched.
enum class RefusalReason {
    UnknownService,
    UnknownModel,  ///< No backend server has the model, version or adapter.
    NoBackend,     ///< No backend server is in service.
    CustomerLimit, ///< This instance's share of the customer's limit is used up.
    QueueFull,
    DeadlineUnreachable, ///< The answer can't be complete by the deadline.
    RetryBudget,         ///< Retries of this customer and service are used up.
    ShuttingDown,
};

/// Name of @p reason for logs, labels and error bodies.
std::string_view toString(RefusalReason reason);

/// Refusal of a request before any byte of it went to a backend server. No engine ran the request,
/// so the verdict for this attempt is NotRun.
struct Refusal
{
    RefusalReason reason = RefusalReason::NoBackend;
    Duration retryAfter{};
    bool operator==(const Refusal &) const = default;
};

/// Accounting of one dispatched request; its destruction releases the outstanding work.
class DispatchRecord;
using DispatchHandle = std::shared_ptr<DispatchRecord>;

/// Network address of a backend server.
struct BackendAddress
{
    BackendId id;
    std::string host;
    std::uint16_t port = 0;
    bool operator==(const BackendAddress &) const = default;
};

/// Decision to dispatch a request.
struct Placement
{
    BackendAddress backend; ///< Sends the answer.
    /// Runs the prefill, then transfers the KV cache to `backend`.
    std::optional<BackendAddress> prefillBackend;
    std::uint32_t expectedCachedTokens = 0;
    TimePoint expectedFirstToken{};
    /// Keep until the answer ends; an earlier release counts as cancelled.
    DispatchHandle handle;
};

using Decision = std::variant<Placement, Refusal>;

} // namespace gentianramp
