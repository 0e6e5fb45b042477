#include <gentianramp/authority/lease_member.hpp>

#include <algorithm>

namespace gentianramp {

LeaseMember::LeaseMember(TimePoint grantsAllowedAt)
    : m_grantsAllowedAt(grantsAllowedAt)
{ }

LeasePromise LeaseMember::onPrepare(const LeasePrepare &prepare, TimePoint now)
{
    LeasePromise promise{.ballot = prepare.ballot,
                         .reply = LeaseReply::Restarted,
                         .promised = {},
                         .grant = std::nullopt,
                         .highestFencing = m_highestFencing};
    if (now < m_grantsAllowedAt)
        return promise;
    if (prepare.ballot < m_promised) {
        promise.reply = LeaseReply::Overtaken;
        promise.promised = m_promised;
        return promise;
    }
    m_promised = prepare.ballot;
    promise.reply = LeaseReply::Ok;
    if (m_grant && m_grant->expiresAt <= now)
        m_grant.reset();
    if (m_grant) {
        promise.grant = LeaseGrant{.ballot = m_grant->ballot,
                                   .fencing = m_grant->fencing,
                                   .remaining = m_grant->expiresAt - now};
    }
    return promise;
}

LeaseAccepted LeaseMember::onPropose(const LeasePropose &propose, TimePoint now)
{
    LeaseAccepted answer{
        .ballot = propose.ballot, .reply = LeaseReply::Restarted, .promised = m_promised};
    if (now < m_grantsAllowedAt)
        return answer;
    if (propose.ballot < m_promised) {
        answer.reply = LeaseReply::Overtaken;
        return answer;
    }
    m_promised = propose.ballot;
    m_highestFencing = std::max(m_highestFencing, propose.fencing);
    m_grant = Grant{
        .ballot = propose.ballot, .fencing = propose.fencing, .expiresAt = now + propose.length};
    answer.reply = LeaseReply::Ok;
    return answer;
}

void LeaseMember::onRelease(const LeaseRelease &release)
{
    const bool fromHolder = m_grant && m_grant->ballot.instance == release.ballot.instance
        && m_grant->ballot.incarnation == release.ballot.incarnation;
    if (fromHolder && m_grant->ballot <= release.ballot)
        m_grant.reset();
    // A delayed proposal of the former holder must not renew the released grant.
    m_promised = std::max(m_promised, release.ballot);
}

} // namespace gentianramp
