#include <gentianramp/idempotency/claim_round.hpp>

#include <algorithm>

namespace gentianramp {

ClaimRound::ClaimRound(KeyScope scope, ReplicaGroups groups, Ballot ballot)
    : m_scope(std::move(scope))
    , m_groups(std::move(groups))
    , m_ballot(std::move(ballot))
{ }

KeyPrepare ClaimRound::prepare() const
{
    return {.scope = m_scope, .ballot = m_ballot};
}

void ClaimRound::onPromise(const InstanceId &sender, const KeyPromise &promise)
{
    if (promise.ballot != m_ballot || isProposed())
        return;
    if (promise.reply == KeyReply::Ok)
        m_promises.try_emplace(sender, promise);
    else if (promise.reply == KeyReply::Overloaded)
        m_overloaded.insert(sender);
    else if (promise.reply == KeyReply::Overtaken)
        m_overtakenBy = std::max(m_overtakenBy, promise.promised);
}

bool ClaimRound::isPromised() const
{
    std::set<InstanceId> members;
    for (const auto &[member, promise] : m_promises)
        members.insert(member);
    return m_groups.isQuorum(members);
}

bool ClaimRound::isOverloaded() const
{
    return m_groups.isQuorum(m_overloaded);
}

std::optional<ClaimRecord> ClaimRound::record() const
{
    const KeyPromise *newest = nullptr;
    for (const auto &[member, promise] : m_promises) {
        if (promise.record && (newest == nullptr || newest->accepted < promise.accepted))
            newest = &promise;
    }
    if (newest == nullptr)
        return std::nullopt;
    // A replica at its byte limit keeps the record without the answer; another may have both.
    for (const auto &[member, promise] : m_promises) {
        if (promise.accepted == newest->accepted && !promise.record->answer.tooLarge)
            return promise.record;
    }
    return newest->record;
}

KeyAccept ClaimRound::propose(ClaimRecord record)
{
    m_proposal = std::move(record);
    KeyAccept accept{.scope = m_scope, .ballot = m_ballot, .record = *m_proposal, .quorum = {}};
    for (const auto &[member, promise] : m_promises)
        accept.quorum[member] = promise.incarnation;
    return accept;
}

void ClaimRound::onAccepted(const InstanceId &sender, const KeyAccepted &accepted)
{
    if (accepted.ballot != m_ballot || !isProposed())
        return;
    if (accepted.reply == KeyReply::Overtaken)
        m_overtakenBy = std::max({m_overtakenBy, accepted.promised, m_ballot});
    if (accepted.reply == KeyReply::Ok)
        m_acceptances[sender] = accepted;
}

bool ClaimRound::isFromEarlierIncarnation(const InstanceId &member, Incarnation incarnation) const
{
    return std::any_of(m_acceptances.begin(), m_acceptances.end(), [&](const auto &acceptance) {
        const auto known = acceptance.second.known.find(member);
        return known != acceptance.second.known.end() && incarnation < known->second;
    });
}

bool ClaimRound::isChosen() const
{
    // A member that restarted after it accepted has lost the record: its acceptance doesn't count
    // when another acceptance reports a later incarnation of that member.
    std::set<InstanceId> members;
    for (const auto &[member, acceptance] : m_acceptances) {
        if (!isFromEarlierIncarnation(member, acceptance.incarnation))
            members.insert(member);
    }
    return m_groups.isQuorum(members);
}

} // namespace gentianramp
