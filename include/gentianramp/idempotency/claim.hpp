#pragma once

#include <compare>
#include <cstdint>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/ids.hpp>
#include <gentianramp/core/verdict.hpp>
#include <string>
#include <string_view>

namespace gentianramp {

/// Full name of an idempotency key; keys of different customers or services never meet.
struct KeyScope
{
    CustomerId customer;
    ServiceId service;
    IdempotencyKey key;
    auto operator<=>(const KeyScope &) const = default;
};

/// Identifies one claim over all its messages; an instance never uses a number twice in one life.
struct ClaimId
{
    InstanceId instance;
    Incarnation incarnation;
    std::uint64_t number = 0;
    auto operator<=>(const ClaimId &) const = default;
};

/// What a caller's answer looked like, kept for repeats of the request.
struct StoredAnswer
{
    std::uint32_t status = 0; ///< HTTP status.
    std::string contentType;
    std::string body;      ///< Empty when the answer was not kept.
    bool tooLarge = false; ///< The answer was complete but exceeded the bound for keeping.
    bool operator==(const StoredAnswer &) const = default;
};

/// State of a claimed key.
enum class ClaimState {
    Claimed,    ///< The claimant may dispatch the request, or has done so.
    Released,   ///< The claimant never sent a byte and never will.
    MayHaveRun, ///< The claimant sent bytes and doesn't know the outcome.
    Complete,   ///< The request ran and its whole answer was delivered to the claimant.
};

std::string_view toString(ClaimState state);

/// The replicated value of one key.
struct ClaimRecord
{
    ClaimId claim;
    std::uint32_t attempt = 0; ///< Number of the claim on this key, from 1.
    std::string fingerprint;   ///< Digest of the request's body.
    ClaimState state = ClaimState::Claimed;
    StoredAnswer answer; ///< For ClaimState::Complete.
    bool operator==(const ClaimRecord &) const = default;
};

/// A caller's wish to run a keyed request.
struct ClaimRequest
{
    KeyScope scope;
    std::string fingerprint;   ///< Digest of the request's body.
    bool firstAttempt = false; ///< The caller stated that it never sent this key before.
    std::int64_t wallMs = 0;   ///< Wall clock at arrival, for keys that carry their own time.
    TimePoint deadline;        ///< The result comes no later than this.
    /// Whether to wait for a claim in progress elsewhere until the deadline.
    bool waitForOther = true;
};

/// Right to dispatch one request once.
struct ClaimTicket
{
    KeyScope scope;
    ClaimId claim;
    std::uint32_t attempt = 0;
    std::string fingerprint;
    TimePoint dispatchUntil; ///< No byte may be sent at or after this time.

    /// Check with RuntimeClock::now() directly before the first byte is sent.
    bool mayDispatch(TimePoint now) const { return now < dispatchUntil; }
    bool operator==(const ClaimTicket &) const = default;
};

/// Result of a claim.
enum class ClaimStatus {
    Granted,         ///< Dispatch the request, then settle the ticket.
    AlreadyComplete, ///< An earlier attempt ran; its answer is attached unless it was too large.
    InProgress,      ///< Another attempt is running; come back later.
    MayHaveRun,      ///< An earlier attempt may have run; it is never run again.
    Conflict,        ///< The key was used before with another body.
    Unavailable,     ///< Too few replicas answered before the deadline.
    Overloaded,      ///< The replicas have no room for another key.
};

std::string_view toString(ClaimStatus status);

/// Answer to a ClaimRequest.
struct ClaimResult
{
    ClaimStatus status = ClaimStatus::Unavailable;
    Verdict verdict = Verdict::MayHaveRun; ///< To tell the caller when the status refuses it.
    ClaimTicket ticket;                    ///< For ClaimStatus::Granted.
    StoredAnswer answer;                   ///< For ClaimStatus::AlreadyComplete.
    bool operator==(const ClaimResult &) const = default;
};

/// How a granted attempt ended.
struct ClaimOutcome
{
    ClaimState state = ClaimState::MayHaveRun; ///< Released only when no byte was sent.
    StoredAnswer answer;                       ///< For ClaimState::Complete.
    bool operator==(const ClaimOutcome &) const = default;
};

} // namespace gentianramp
