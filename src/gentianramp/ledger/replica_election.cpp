#include "replica_state.hpp"

#include <gentianramp/core/invariant.hpp>
#include <tuple>

namespace gentianramp {

void Replica::State::startPreVote()
{
    resetPreVoteTimer();
    if (!canStandForElection())
        return;
    role = ReplicaRole::PreCandidate;
    leader.clear();
    votes = {self};
    askForVotes(true, false);
    countVotes();
}

void Replica::State::startElection(bool handedOver)
{
    role = ReplicaRole::Candidate;
    leader.clear();
    hard.set_term(hard.term() + 1);
    hard.set_voted_for(self);
    persistHardState();
    votes = {self};
    resetElectionTimer();
    askForVotes(false, handedOver);
    countVotes();
}

void Replica::State::askForVotes(bool preVote, bool handedOver)
{
    for (const auto &[instance, peer] : peers) {
        if (!isReachable(instance))
            continue;
        proto::LedgerMessage message = newMessage();
        addWitnesses(message);
        proto::VoteRequest &request = *message.mutable_vote_request();
        request.set_pre_vote(preVote);
        request.set_hand_over(handedOver);
        request.set_last_index(log.lastIndex());
        request.set_last_term(log.lastTerm());
        send(instance, std::move(message));
    }
}

void Replica::State::receiveVoteRequest(const std::string &from,
                                        const proto::LedgerMessage &message)
{
    const proto::VoteRequest &request = message.vote_request();
    const bool sameTerm = message.term() == hard.term();
    const bool free = hard.voted_for().empty() || hard.voted_for() == from;
    const bool leaderAlive = heardFromLeader() && !request.hand_over();
    const bool termFits = request.pre_vote() ? message.term() >= hard.term() : sameTerm && free;
    const bool granted = termFits && !leaderAlive && isUpToDate(request);
    if (granted && !request.pre_vote()) {
        hard.set_voted_for(from);
        persistHardState();
        resetElectionTimer();
    }
    proto::LedgerMessage answer = newMessage();
    addWitnesses(answer);
    proto::VoteResponse &response = *answer.mutable_vote_response();
    response.set_pre_vote(request.pre_vote());
    response.set_granted(granted);
    response.set_election_term(message.term());
    response.set_last_index(log.lastIndex());
    response.set_founding(hard.founding());
    send(from, std::move(answer));
}

void Replica::State::receiveVoteResponse(const std::string &from,
                                         const proto::LedgerMessage &message)
{
    const proto::VoteResponse &response = message.vote_response();
    const ReplicaRole wanted
        = response.pre_vote() ? ReplicaRole::PreCandidate : ReplicaRole::Candidate;
    if (role != wanted || response.election_term() != hard.term() || !response.granted())
        return;
    if (!voteCounts(from, message))
        return;
    votes.insert(from);
    countVotes();
}

void Replica::State::receiveHandOver(const proto::LedgerMessage &message)
{
    if (message.term() == hard.term() && role != ReplicaRole::Leader && selfAdmitted())
        startElection(true);
}

bool Replica::State::isUpToDate(const proto::VoteRequest &request) const
{
    return std::tuple(request.last_term(), request.last_index())
        >= std::tuple(log.lastTerm(), log.lastIndex());
}

bool Replica::State::heardFromLeader() const
{
    if (role == ReplicaRole::Leader)
        return true;
    return !leader.empty() && leaderContact && now - *leaderContact < options.electionTimeout;
}

bool Replica::State::voteCounts(const std::string &from, const proto::LedgerMessage &message)
{
    const proto::VoteResponse &response = message.vote_response();
    if (isLedgerEmpty())
        return response.founding() && response.last_index() == 0;
    const VoterIncarnation incarnation{message.identity(), message.boot(), message.session(),
                                       message.term()};
    if (!isAdmitted(from, message.identity()))
        return false;
    PeerState &peer = peers[from];
    peer.rolledBack = witnesses.showsRollback(from, incarnation, response.last_index());
    return !peer.rolledBack;
}

void Replica::State::countVotes()
{
    const bool isElected = isLedgerEmpty()
        ? votes.size() >= majority()
        : reachedByMajority(1, [this](const std::string &name, const PeerState &) {
              return votes.contains(name) ? 1 : 0;
          }) > 0;
    if (!isElected)
        return;
    if (role == ReplicaRole::PreCandidate)
        return startElection(false);
    if (role == ReplicaRole::Candidate)
        becomeLeader();
}

void Replica::State::becomeLeader()
{
    role = ReplicaRole::Leader;
    leader = self;
    round = 0;
    roundTimes.clear();
    handOverDeadline.reset();
    expectedSuccessors.clear();
    nextQuorumCheckAt = now + options.electionTimeout;
    for (auto &[instance, peer] : peers) {
        peer.next = log.lastIndex() + 1;
        peer.match = 0;
        peer.round = 0;
        peer.roundSentAt = {};
        peer.snapshotSentAt = {};
    }
    proto::LogEntry entry;
    entry.set_kind(isLedgerEmpty() ? proto::ENTRY_FOUND : proto::ENTRY_NOOP);
    if (isLedgerEmpty()) {
        for (const std::string &voter : votes) {
            auto *slot = entry.add_identities();
            slot->set_instance(voter);
            slot->set_identity(voter == self ? hard.identity() : peers[voter].incarnation.identity);
        }
    }
    appendAsLeader(std::move(entry));
    broadcast(false);
}

} // namespace gentianramp
