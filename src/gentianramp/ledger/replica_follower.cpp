#include "replica_state.hpp"

#include <algorithm>
#include <gentianramp/core/invariant.hpp>

namespace gentianramp {

void Replica::State::receiveAppendRequest(const std::string &from,
                                          const proto::LedgerMessage &message)
{
    const proto::AppendRequest &request = message.append_request();
    if (!followLeader(from, message))
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
    noteConfirmation(request.commit(),
                     request.has_confirmed_ms() ? std::optional(request.confirmed_ms())
                                                : std::nullopt);
    answerAppend(from, true, match, request.probe());
}

void Replica::State::receiveSnapshotRequest(const std::string &from,
                                            const proto::LedgerMessage &message)
{
    const proto::SnapshotRequest &request = message.snapshot_request();
    if (!followLeader(from, message))
        return answerAppend(from, false, log.lastIndex(), request.probe());
    if (request.snapshot().index() > commit) {
        log.install(request.snapshot());
        commit = lastEmitted = request.snapshot().index();
        hard.set_commit(commit);
        persistSnapshot();
        output.loadSnapshot = true;
        output.committed.clear();
    }
    noteConfirmation(request.commit(),
                     request.has_confirmed_ms() ? std::optional(request.confirmed_ms())
                                                : std::nullopt);
    answerAppend(from, true, request.snapshot().index(), request.probe());
}

/// Notes when a majority confirmed the leader, unless entries that it had committed are missing
/// here: the leader's message alone does not show that this voter is up to date.
void Replica::State::noteConfirmation(std::uint64_t leaderCommit,
                                      std::optional<std::uint32_t> ageMs)
{
    if (!ageMs || commit < leaderCommit)
        return;
    const TimePoint at = now - std::chrono::milliseconds(*ageMs);
    confirmedAt = std::max(confirmedAt.value_or(at), at);
}

/// Accepts @p from as leader of the current term; false when the message is from an older term.
bool Replica::State::followLeader(const std::string &from, const proto::LedgerMessage &message)
{
    if (message.term() < hard.term())
        return false;
    checkInvariant(role != ReplicaRole::Leader, "ledger.one_leader_a_term", from);
    checkInvariant(leader.empty() || leader == from, "ledger.one_leader_a_term", from);
    if (role != ReplicaRole::Follower)
        becomeFollower(message.term());
    leader = from;
    leaderContact = now;
    resetElectionTimer();
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
