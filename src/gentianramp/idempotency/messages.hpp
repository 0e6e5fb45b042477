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

/// Newest known incarnation of each instance.
using MemberIncarnations = std::map<InstanceId, Incarnation>;

/// Reply of a replica to a KeyPrepare or KeyAccept.
enum class KeyReply {
    Ok,
    Overtaken,  ///< A higher ballot was promised.
    Learning,   ///< The replica may have lost the key in a restart and is not ready for it.
    Overloaded, ///< No room for another key.
};

/// Asks a replica to promise a ballot and to report the record that it accepted.
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
    Incarnation incarnation; ///< Of the replica.
    Ballot promised;         ///< With KeyReply::Overtaken.
    Ballot accepted;         ///< Ballot of the record.
    std::optional<ClaimRecord> record;
    bool operator==(const KeyPromise &) const = default;
};

/// Asks a replica to accept a record.
struct KeyAccept
{
    KeyScope scope;
    Ballot ballot;
    ClaimRecord record;
    MemberIncarnations quorum; ///< Incarnations of the replicas that promised the ballot.
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
    MemberIncarnations known; ///< Newest that the replica knows for the key's members.
    bool operator==(const KeyAccepted &) const = default;
};

/// Asks another replica for the keys that both keep, a page at a time.
struct KeyLearnRequest
{
    Incarnation incarnation;       ///< Of the requester.
    std::optional<KeyScope> after; ///< Last key of the previous page; empty for the first page.
    bool operator==(const KeyLearnRequest &) const = default;
};

/// Ballots and record that a replica keeps for one key.
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
    Incarnation requester;   ///< Incarnation of the requester.
    Incarnation incarnation; ///< Incarnation of the sender.
    std::optional<KeyScope> after;
    std::vector<KeyLearnEntry> entries;
    bool last = false;
    std::set<InstanceId> unlearned; ///< Instances that the sender itself has not learned from.
    bool operator==(const KeyLearnPage &) const = default;
};

/// Asks a claimant whether a claim is still in progress.
struct KeyClaimantQuery
{
    std::uint64_t operation = 0; ///< Id of the requester's operation; repeated in the answer.
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
