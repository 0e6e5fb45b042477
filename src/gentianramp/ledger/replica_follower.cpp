#include "replica_state.hpp"

#include <algorithm>
#include <gentianramp/core/invariant.hpp>

namespace gentianramp {

void Replica::State::receiveAppendRequest(const std::string &from,
                                          const proto::LedgerMessage &message)
{
    const proto::AppendRequest &request = message.append_request();
    if (!followLeader(from, message, request.probe()))
        return answerAppend(from, false, log.lastIndex(), request.probe());
    if (!logsMatchAt(request.prev_index(), request.prev_term())) {
        const bool beyond = request.prev_index() > log.lastIndex();
        return answerAppend(from, false, beyond ? log.lastIndex() : commit, request.probe());
    }
    for (const proto::LogEntry &entry : request.entries())
        appendAsFollower(entry);
    const std::uint64_t match = request.prev_index() + request.entries_size();
    if (isAdmitted(from, message.identity()))
        witnesses.recordAcknowledgement(from, peers[from].incarnation, hard.term(), match,
                                        request.commit());
    advanceCommit(std::min(request.commit(), match));
    if (request.has_confirmation())
        noteConfirmation(request.commit(), request.confirmation());
    answerAppend(from, true, match, request.probe());
}

void Replica::State::receiveSnapshotRequest(const std::string &from,
                                            const proto::LedgerMessage &message)
{
    const proto::SnapshotRequest &request = message.snapshot_request();
    if (!followLeader(from, message, request.probe()))
        return answerAppend(from, false, log.lastIndex(), request.probe());
    if (request.snapshot().index() > commit) {
        log.install(request.snapshot());
        commit = lastEmitted = request.snapshot().index();
        hard.set_commit(commit);
        persistSnapshot();
        output.loadSnapshot = true;
        output.committed.clear();
    }
    if (request.has_confirmation())
        noteConfirmation(request.commit(), request.confirmation());
    answerAppend(from, true, request.snapshot().index(), request.probe());
}

/// Remembers when a round was first answered, until the leader has answers to newer ones.
void Replica::State::noteAnswer(std::uint64_t requestRound)
{
    if (answersTerm != hard.term()) {
        answersTerm = hard.term();
        answers.clear();
    }
    // A request that was delayed may be answered a second time.
    if (answers.empty() || requestRound > answers.rbegin()->first)
        answers.emplace(requestRound, now);
}

/// Notes when a majority confirmed the leader, unless entries that it had committed are missing
/// here: the leader's message alone does not show that this voter is up to date. The time that the
/// message needed is unknown, so that its arrival says nothing: the leader sent it `answered_ms` or
/// more after the answer that it names had been sent from here. A confirmation that says otherwise
/// is refused as a whole: its leader's ages can't be trusted.
void Replica::State::noteConfirmation(std::uint64_t leaderCommit,
                                      const proto::Confirmation &confirmation)
{
    const auto answer = answers.find(confirmation.answered_probe());
    if (answer == answers.end() || confirmation.answered_session() != session)
        return;
    const Duration claimedAge = std::chrono::milliseconds(confirmation.answered_ms());
    if (claimedAge > now - answer->second) {
        output.refusedConfirmation = {.leader = InstanceId(leader),
                                      .claimedAge = claimedAge,
                                      .answerAge = now - answer->second};
        return;
    }
    answers.erase(answers.begin(), answer);
    std::erase_if(answers, [&](const auto &each) {
        return each.first != answer->first && each.first != answers.rbegin()->first
            && now - each.second > options.electionTimeout;
    });
    if (commit < leaderCommit)
        return;
    const TimePoint at
        = answer->second + claimedAge - std::chrono::milliseconds(confirmation.age_ms());
    confirmedAt = std::max(confirmedAt.value_or(at), at);
}

/// Accepts @p from as leader of the current term; false when the message is from an older term.
bool Replica::State::followLeader(const std::string &from, const proto::LedgerMessage &message,
                                  std::uint64_t requestRound)
{
    if (message.term() < hard.term())
        return false;
    checkInvariant(role != ReplicaRole::Leader, "ledger.one_leader_a_term", from);
    // The name of a leader whose slot changes its folder may change within a term.
    checkInvariant(leader.empty() || slotOf(InstanceId(leader)) == slotOf(InstanceId(from)),
                   "ledger.one_leader_a_term", from);
    if (role != ReplicaRole::Follower)
        becomeFollower(message.term());
    leader = from;
    leaderContact = now;
    resetElectionTimer();
    noteAnswer(requestRound);
    return true;
}

bool Replica::State::logsMatchAt(std::uint64_t index, std::uint64_t term) const
{
    // Committed entries are the same in the log of every later leader.
    return index <= commit || log.termAt(index) == term;
}

void Replica::State::appendAsFollower(const proto::LogEntry &entry)
{
    if (entry.index() <= commit)
        return;
    if (entry.index() <= log.lastIndex()) {
        if (log.termAt(entry.index()) == entry.term())
            return;
        checkInvariant(entry.index() > commit, "ledger.committed_never_lost");
        log.truncateFrom(entry.index());
        persistTruncation(entry.index());
    }
    log.append(entry);
    persistEntry(entry);
}

void Replica::State::answerAppend(const std::string &to, bool accepted, std::uint64_t index,
                                  std::uint64_t requestRound)
{
    proto::LedgerMessage message = newMessage();
    proto::AppendResponse &response = *message.mutable_append_response();
    response.set_accepted(accepted);
    response.set_match_index(index);
    response.set_probe(requestRound);
    send(to, std::move(message));
}

} // namespace gentianramp
