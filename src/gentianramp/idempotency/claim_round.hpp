#pragma once

#include <gentianramp/idempotency/key_groups.hpp>
#include <gentianramp/idempotency/messages.hpp>
#include <map>
#include <optional>
#include <set>

namespace gentianramp {

/// One proposal for a key under one ballot: a prepare exchange, then an accept exchange.
class ClaimRound
{
public:
    ClaimRound(KeyScope scope, ReplicaGroups groups, Ballot ballot);

    const std::set<InstanceId> &members() const { return m_groups.members(); }
    const Ballot &ballot() const { return m_ballot; }
    KeyPrepare prepare() const;

    void onPromise(const InstanceId &sender, const KeyPromise &promise);
    /// A quorum promised the ballot.
    bool isPromised() const;
    /// A quorum refused the key as Overloaded, so none of its members has a record of the key.
    bool isOverloaded() const;
    /// Record with the highest accepted ballot among the promises; empty when there is none.
    std::optional<ClaimRecord> record() const;

    /// Starts the accept exchange.
    KeyAccept propose(ClaimRecord record);
    bool isProposed() const { return m_proposal.has_value(); }
    const std::optional<ClaimRecord> &proposal() const { return m_proposal; }
    void onAccepted(const InstanceId &sender, const KeyAccepted &accepted);
    /// A quorum has accepted the proposed record.
    bool isChosen() const;

    /// Highest ballot for which a replica refused this one; round 0 when none did.
    const Ballot &overtakenBy() const { return m_overtakenBy; }

private:
    bool isFromEarlierIncarnation(const InstanceId &member, Incarnation incarnation) const;

    KeyScope m_scope;
    ReplicaGroups m_groups;
    Ballot m_ballot;
    std::map<InstanceId, KeyPromise> m_promises;
    std::map<InstanceId, KeyAccepted> m_acceptances;
    std::set<InstanceId> m_overloaded;
    std::optional<ClaimRecord> m_proposal;
    Ballot m_overtakenBy;
};

} // namespace gentianramp
