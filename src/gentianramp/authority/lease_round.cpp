#include <gentianramp/authority/lease_round.hpp>

#include <algorithm>
#include <utility>

namespace gentianramp {

namespace {

bool isOwn(const LeaseGrant &grant, const Ballot &ballot)
{
    return grant.ballot.instance == ballot.instance
        && grant.ballot.incarnation == ballot.incarnation;
}

} // namespace

LeaseRound::LeaseRound(ReplicaGroups groups, Ballot ballot, TimePoint startedAt)
    : m_groups(std::move(groups))
    , m_ballot(std::move(ballot))
    , m_startedAt(startedAt)
{ }

void LeaseRound::onPromise(const InstanceId &sender, const LeasePromise &promise)
{
    if (promise.ballot != m_ballot)
        return;
    m_highestFencing = std::max(m_highestFencing, promise.highestFencing);
    if (promise.reply == LeaseReply::Overtaken)
        m_overtakenBy = std::max(m_overtakenBy, promise.promised);
    if (promise.reply != LeaseReply::Ok)
        return;
    if (!promise.grant || isOwn(*promise.grant, m_ballot))
        m_available.insert(sender);
    else
        m_heldByOther = true;
}

void LeaseRound::onAccepted(const InstanceId &sender, const LeaseAccepted &accepted)
{
    if (accepted.ballot != m_ballot || !m_proposed)
        return;
    if (accepted.reply == LeaseReply::Overtaken)
        m_overtakenBy = std::max(m_overtakenBy, accepted.promised);
    if (accepted.reply == LeaseReply::Ok)
        m_accepted.insert(sender);
}

} // namespace gentianramp
