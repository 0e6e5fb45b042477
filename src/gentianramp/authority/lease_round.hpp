#pragma once

#include <gentianramp/authority/lease_messages.hpp>
#include <gentianramp/membership/replica_groups.hpp>
#include <set>

namespace gentianramp {

/// One attempt to get or renew the lease under one ballot.
class LeaseRound
{
public:
    LeaseRound(ReplicaGroups groups, Ballot ballot, TimePoint startedAt);

    const Ballot &ballot() const { return m_ballot; }
    /// Taken before the first message left; the lease is reckoned from here.
    TimePoint startedAt() const { return m_startedAt; }
    const std::set<InstanceId> &members() const { return m_groups.members(); }

    void onPromise(const InstanceId &sender, const LeasePromise &promise);
    /// A majority has granted the lease to nobody else.
    bool isOpen() const { return m_groups.isQuorum(m_open); }
    /// Some member granted the lease to another process.
    bool isHeldByOther() const { return m_heldByOther; }
    FencingNumber highestFencing() const { return m_highestFencing; }

    void markProposed() { m_proposed = true; }
    bool isProposed() const { return m_proposed; }
    void onAccepted(const InstanceId &sender, const LeaseAccepted &accepted);
    bool isGranted() const { return m_groups.isQuorum(m_accepted); }

    /// Highest ballot that overtook this one; round 0 when none did.
    const Ballot &overtakenBy() const { return m_overtakenBy; }

private:
    ReplicaGroups m_groups;
    Ballot m_ballot;
    TimePoint m_startedAt;
    std::set<InstanceId> m_open;
    std::set<InstanceId> m_accepted;
    FencingNumber m_highestFencing;
    bool m_heldByOther = false;
    bool m_proposed = false;
    Ballot m_overtakenBy;
};

} // namespace gentianramp
