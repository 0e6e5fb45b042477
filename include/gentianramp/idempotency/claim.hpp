#pragma once

#include <compare>
#include <cstdint>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/ids.hpp>
#include <gentianramp/core/verdict.hpp>
#include <string>
#include <string_view>

namespace gentianramp {

/// Identifies an idempotency key; equal keys of different customers or services are distinct.
struct KeyScope
{
    CustomerId customer;
    ServiceId service;
    IdempotencyKey key;
    auto operator<=>(const KeyScope &) const = default;
};

/// Identifies one claim in all its messages; an instance uses a number once per incarnation.
struct ClaimId
{
    InstanceId instance;
    Incarnation incarnation;
    std::uint64_t number = 0;
    auto operator<=>(const ClaimId &) const = default;
};

/// Answer to a caller, stored for repeats of the request.
struct StoredAnswer
{
    std::uint32_t status = 0; ///< HTTP status.
    std::string contentType;
    std::string body;      ///< Empty when the body was not stored.
    bool tooLarge = false; ///< The body was not stored because it exceeded a size limit.
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
    std::string fingerprint;   ///< Digest of the request's method, target and body.
    ClaimState state = ClaimState::Claimed;
    StoredAnswer answer; ///< For ClaimState::Complete.
    bool operator==(const ClaimRecord &) const = default;
};

/// Claim of an idempotency key for one attempt of a caller's request.
struct ClaimRequest
{
    KeyScope scope;
    std::string fingerprint;   ///< Digest of the request's method, target and body.
    bool firstAttempt = false; ///< The caller stated that it has not sent this key before.
    std::int64_t wallMs = 0;   ///< Wall clock at arrival; compared with the time in a UUID v7 key.
    TimePoint deadline;        ///< Latest time at which the result is reported.
    /// Whether to wait until the deadline while another claim holds the key.
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
    AlreadyComplete, ///< An earlier attempt ran; its answer is attached if it was stored.
    InProgress,      ///< Another attempt is running; the caller may repeat later.
    MayHaveRun,      ///< An earlier attempt may have run; it is never run again.
    Conflict,        ///< The key was used before for a request with another fingerprint.
    Unavailable,     ///< Too few replicas answered before the deadline.
    Overloaded,      ///< The replicas have no room for another key.
};

std::string_view toString(ClaimStatus status);

/// Answer to a ClaimRequest.
struct ClaimResult
{
    ClaimStatus status = ClaimStatus::Unavailable;
    Verdict verdict = Verdict::MayHaveRun; ///< For the caller, unless the status is Granted.
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
