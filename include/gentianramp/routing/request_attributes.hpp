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

/// Hash of the prefix that a caller or a cache event names @p name.
PrefixHash prefixHash(std::string_view name);

/// A prefix of a prompt and its length.
struct PromptPrefix
{
    PrefixHash hash = 0;
    std::uint32_t tokens = 0;
    bool operator==(const PromptPrefix &) const = default;
};

/// What routing needs to know of a request.
struct RequestAttributes
{
    ServiceId service;
    CustomerId customer;
    std::uint32_t priority = 0;         ///< Level of the class; smaller goes first.
    std::optional<std::string> version; ///< Version of the model, or any.
    std::string adapter;                ///< Empty: none.
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0;     ///< 0 when the caller gave no bound.
    std::vector<PromptPrefix> prefixes;    ///< Known prefixes of the prompt, shortest first.
    TimePoint deadline = TimePoint::max(); ///< For the whole answer.
    bool idempotent = true;
    Attempt attempt{1};              ///< From the second on it draws on the retry budget.
    std::vector<BackendId> excluded; ///< Backend servers that failed this request before.
    bool operator==(const RequestAttributes &) const = default;
};

/// Why a request is not dispatched.
enum class RefusalReason {
    UnknownService,
    UnknownModel,  ///< No backend server has the model, version or adapter.
    NoBackend,     ///< None is in service.
    CustomerLimit, ///< The customer's share of its limit is used up.
    QueueFull,
    DeadlineUnreachable, ///< It can't be answered in time.
    RetryBudget,         ///< Retries of this customer and service are used up.
    ShuttingDown,
};

/// Name of @p reason for logs, labels and error bodies.
std::string_view toString(RefusalReason reason);

/// A refusal before any byte was sent; the verdict of this attempt is NotRun.
struct Refusal
{
    RefusalReason reason = RefusalReason::NoBackend;
    Duration retryAfter{};
    bool operator==(const Refusal &) const = default;
};

/// Accounting of one dispatched request; its end releases what it holds.
class DispatchRecord;
using DispatchHandle = std::shared_ptr<DispatchRecord>;

/// Where a backend server is reached.
struct BackendAddress
{
    BackendId id;
    std::string host;
    std::uint16_t port = 0;
    bool operator==(const BackendAddress &) const = default;
};

/// Decision to dispatch.
struct Placement
{
    BackendAddress backend; ///< Gives the answer.
    /// Prefills first; its KV cache then moves to `backend`.
    std::optional<BackendAddress> prefillBackend;
    std::uint32_t expectedCachedTokens = 0;
    TimePoint expectedFirstToken{};
    DispatchHandle handle; ///< Keep until the answer is over; dropping it counts as cancelled.
};

using Decision = std::variant<Placement, Refusal>;

} // namespace gentianramp
