#pragma once

#include <gentianramp/authority/lease_messages.hpp>
#include <gentianramp/membership/replica_groups.hpp>
#include <set>

namespace gentianramp {

/// One attempt to acquire or renew the lease with one ballot.
class LeaseRound
{
public:
    LeaseRound(ReplicaGroups groups, Ballot ballot, TimePoint startedAt);

    const Ballot &ballot() const { return m_ballot; }
    /// Time before the first message was sent; the holder counts the lease length from it.
    TimePoint startedAt() const { return m_startedAt; }
    const std::set<InstanceId> &members() const { return m_groups.members(); }

    void onPromise(const InstanceId &sender, const LeasePromise &promise);
    /// A quorum promised the ballot and has no unexpired grant to another process.
    bool isAvailable() const { return m_groups.isQuorum(m_available); }
    /// A member has an unexpired grant to another process.
    bool isHeldByOther() const { return m_heldByOther; }
    FencingNumber highestFencing() const { return m_highestFencing; }

    void markProposed() { m_proposed = true; }
    bool isProposed() const { return m_proposed; }
    void onAccepted(const InstanceId &sender, const LeaseAccepted &accepted);
    bool isGranted() const { return m_groups.isQuorum(m_accepted); }

    /// Highest ballot that a member promised instead of this one; round 0 when there is none.
    const Ballot &overtakenBy() const { return m_overtakenBy; }

private:
    ReplicaGroups m_groups;
    Ballot m_ballot;
    TimePoint m_startedAt;
    std::set<InstanceId> m_available;
    std::set<InstanceId> m_accepted;
    FencingNumber m_highestFencing;
    bool m_heldByOther = false;
    bool m_proposed = false;
    Ballot m_overtakenBy;
};

} // namespace gentianramp
