#pragma once

#include <compare>
#include <cstdint>
#include <gentianramp/core/ids.hpp>
#include <gentianramp/idempotency/claim.hpp>
#include <gentianramp/membership/replica_groups.hpp>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace gentianramp {

/// Newest known life of instances.
using MemberIncarnations = std::map<InstanceId, Incarnation>;

/// What a replica says to a proposal.
enum class KeyReply {
    Ok,
    Overtaken,  ///< A higher ballot was promised.
    Learning,   ///< The replica can't vouch for the key yet.
    Overloaded, ///< No room for another key.
};

/// Asks a replica to promise a ballot and to tell what it accepted.
struct KeyPrepare
{
    KeyScope scope;
    Ballot ballot;
    bool operator==(const KeyPrepare &) const = default;
};

/// Answer to a KeyPrepare.
struct KeyPromise
{
    KeyScope scope;
    Ballot ballot;
    KeyReply reply = KeyReply::Ok;
    Incarnation incarnation; ///< Life of the replica.
    Ballot promised;         ///< With KeyReply::Overtaken.
    Ballot accepted;         ///< Ballot of the record.
    std::optional<ClaimRecord> record;
    bool operator==(const KeyPromise &) const = default;
};

/// Asks a replica to keep a record.
struct KeyAccept
{
    KeyScope scope;
    Ballot ballot;
    ClaimRecord record;
    MemberIncarnations quorum; ///< Lives whose promises the proposal rests on.
    bool operator==(const KeyAccept &) const = default;
};

/// Answer to a KeyAccept.
struct KeyAccepted
{
    KeyScope scope;
    Ballot ballot;
    KeyReply reply = KeyReply::Ok;
    Incarnation incarnation;
    Ballot promised;
    MemberIncarnations known; ///< Newest lives that the replica knows of.
    bool operator==(const KeyAccepted &) const = default;
};

/// Asks another replica for the keys that both keep, a page at a time.
struct KeyLearnRequest
{
    Incarnation incarnation;       ///< Life that asks.
    std::optional<KeyScope> after; ///< Last key of the page before.
    bool operator==(const KeyLearnRequest &) const = default;
};

/// What a replica keeps of one key.
struct KeyLearnEntry
{
    KeyScope scope;
    Ballot promised;
    Ballot accepted;
    std::optional<ClaimRecord> record;
    bool operator==(const KeyLearnEntry &) const = default;
};

/// Answer to a KeyLearnRequest.
struct KeyLearnPage
{
    Incarnation requester;   ///< Life that asked.
    Incarnation incarnation; ///< Life that answers.
    std::optional<KeyScope> after;
    std::vector<KeyLearnEntry> entries;
    bool last = false;
    std::set<InstanceId> unlearned; ///< Instances that the sender hasn't learned from itself.
    bool operator==(const KeyLearnPage &) const = default;
};

/// Asks a claimant whether it still works on a claim.
struct KeyClaimantQuery
{
    std::uint64_t operation = 0; ///< Number of the asker's operation, repeated in the answer.
    ClaimId claim;
    bool operator==(const KeyClaimantQuery &) const = default;
};

/// Answer to a KeyClaimantQuery.
struct KeyClaimantAnswer
{
    std::uint64_t operation = 0;
    ClaimId claim;
    bool running = false;
    bool operator==(const KeyClaimantAnswer &) const = default;
};

using KeyMessage = std::variant<KeyPrepare, KeyPromise, KeyAccept, KeyAccepted, KeyLearnRequest,
                                KeyLearnPage, KeyClaimantQuery, KeyClaimantAnswer>;

} // namespace gentianramp
