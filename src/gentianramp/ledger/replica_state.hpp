#pragma once

#include "replicated_log.hpp"
#include "witness_table.hpp"

#include <algorithm>
#include <functional>
#include <gentianramp/ledger/replica.hpp>
#include <random>
#include <set>
#include <vector>

namespace gentianramp {

/// State that a replica keeps for another voter.
struct PeerState
{
    VoterIncarnation incarnation;
    std::optional<TimePoint> lastContact;
    TimePoint roundSentAt{};     ///< Time at which `round` was broadcast.
    std::uint64_t next = 1;      ///< Index of the next entry to send.
    std::uint64_t match = 0;     ///< Last index up to which its log is known to agree.
    std::uint64_t round = 0;     ///< Newest broadcast round that it answered.
    TimePoint roundAnsweredAt{}; ///< Time at which that answer was received.
    TimePoint snapshotSentAt{};  ///< Repeated only after an election timeout.
    bool rolledBack = false;     ///< Its last granted vote proved its folder to be rolled back.
    bool knowsReplace = false;   ///< Its build knows ENTRY_REPLACE.
};

/// A read that waits until a majority has answered its broadcast round or a later one.
struct PendingRead
{
    std::uint64_t id = 0;
    std::uint64_t round = 0;
};

/// Implementation of Replica: elections in replica_election.cpp, the leader's side of the log in
/// replica_leader.cpp, the follower's side in replica_follower.cpp.
struct Replica::State
{
    State(ReplicaOptions options, StoredLog stored, TimePoint now);

    // Common
    /// Takes over the time of a call, unless that is earlier than the one of a call before.
    void setTime(TimePoint time);
    void receive(const std::string &from, const proto::LedgerMessage &message);
    void dispatch(const std::string &from, const proto::LedgerMessage &message);
    bool isFromEarlierIncarnation(const std::string &from,
                                  const proto::LedgerMessage &message) const;
    /// Renews the identity if a witness proves that the own folder was rolled back; merges the
    /// others.
    void processWitnesses(const proto::LedgerMessage &message);
    void renewIdentity();
    void notePeer(const std::string &from, const proto::LedgerMessage &message);
    void becomeFollower(std::uint64_t term);
    void resetPreVoteTimer();
    void resetElectionTimer();
    void persistHardState();
    void persistEntry(const proto::LogEntry &entry);
    void persistTruncation(std::uint64_t index);
    void persistSnapshot();
    void advanceCommit(std::uint64_t index);
    proto::LedgerMessage newMessage() const;
    void addWitnesses(proto::LedgerMessage &message) const;
    void send(const std::string &to, proto::LedgerMessage message);
    std::size_t majority() const { return options.voters.size() / 2 + 1; }
    /// Whether the votes and acknowledgements of this folder count.
    bool isAdmitted(const std::string &name, std::uint64_t identity) const;
    /// Admitted identities by the names under which messages of their folders arrive.
    IdentityMap admittedNames() const;
    /// True when there may be messages for this name: not for a second process that nobody expects.
    bool isReachable(const std::string &name) const;
    bool inContact(const PeerState &peer) const;
    bool knowSuccessors() const;
    /// The greatest value that a majority has reached: with the former and with the new folder of
    /// each slot that changes its folder.
    template <typename Value, typename PeerValue>
    Value reachedByMajority(Value own, PeerValue peerValue) const;
    bool selfAdmitted() const { return isAdmitted(self, hard.identity()); }
    /// True when the own folder is replacing another one.
    bool selfSucceeds() const
    {
        const auto slot = log.successors().find(self);
        return slot != log.successors().end() && slot->second == hard.identity();
    }
    /// True when the voter's folder is admitted and it answered a round of this leader that was
    /// broadcast within the election timeout. Other messages do not count: they show that the voter
    /// runs, not that it receives what this leader sends.
    bool isLive(const std::string &instance) const;
    /// True when the own log has no entry and no admitted folder: no ledger was founded as far as
    /// known.
    bool isLedgerEmpty() const { return log.lastIndex() == 0 && log.identities().empty(); }
    /// True when the own folder is admitted or is founding an empty ledger.
    bool canStandForElection() const
    {
        return selfAdmitted() || selfSucceeds() || (isLedgerEmpty() && hard.founding());
    }
    ReplicaOutput takeOutput();

    // Elections
    void startPreVote();
    void startElection(bool handedOver);
    void askForVotes(bool preVote, bool handedOver);
    void receiveVoteRequest(const std::string &from, const proto::LedgerMessage &message);
    void receiveVoteResponse(const std::string &from, const proto::LedgerMessage &message);
    void receiveHandOver(const proto::LedgerMessage &message);
    bool isUpToDate(const proto::VoteRequest &request) const;
    bool heardFromLeader() const;
    bool voteCounts(const std::string &from, const proto::LedgerMessage &message);
    void countVotes();
    void becomeLeader();

    // Leader
    void appendAsLeader(proto::LogEntry entry);
    void broadcast(bool onlyLagging);
    void sendAppend(const std::string &to, PeerState &peer);
    void sendSnapshot(const std::string &to, PeerState &peer);
    void receiveAppendResponse(const std::string &from, const proto::LedgerMessage &message);
    void advanceLeaderCommit();
    void answerReads();
    void failReads();
    void stepDownWithoutQuorum();
    void noteAnsweredRound(PeerState &peer, std::uint64_t answered);
    std::optional<TimePoint> lastConfirmation() const;
    std::optional<TimePoint> currentConfirmation() const;
    /// What followers are told of lastConfirmation(); empty until an entry of the own term is
    /// committed, since earlier leaders may have committed more than this one knows.
    std::optional<proto::Confirmation> confirmationFor(const PeerState &peer) const;
    void replaceFolders();
    void endReplacement();
    bool replaceBySuccessor(std::size_t live);
    void proposeSuccessor(const std::string &instance, std::uint64_t identity);
    void retireFolder(const std::string &instance);
    void admitFolder(const std::string &instance, std::uint64_t identity);
    bool committedOwnTerm() const;

    // Follower
    void receiveAppendRequest(const std::string &from, const proto::LedgerMessage &message);
    void receiveSnapshotRequest(const std::string &from, const proto::LedgerMessage &message);
    bool followLeader(const std::string &from, const proto::LedgerMessage &message,
                      std::uint64_t requestRound);
    void noteAnswer(std::uint64_t requestRound);
    void noteConfirmation(std::uint64_t leaderCommit, const proto::Confirmation &confirmation);
    bool logsMatchAt(std::uint64_t index, std::uint64_t term) const;
    void appendAsFollower(const proto::LogEntry &entry);
    void answerAppend(const std::string &to, bool accepted, std::uint64_t index,
                      std::uint64_t round);

    ReplicaOptions options;
    std::string self;
    proto::HardState hard;
    ReplicatedLog log;
    WitnessTable witnesses;
    StartState stateAtStart;
    std::uint64_t session = 0; ///< Random number of this incarnation, sent with every message.
    std::mt19937_64 random;
    std::map<std::string, PeerState> peers;   ///< By slot, or successorName() of any slot.
    std::set<std::string> expectedSuccessors; ///< Slots, see Replica::setSuccessors().

    ReplicaRole role = ReplicaRole::Follower;
    std::string leader;
    std::uint64_t commit = 0;
    std::uint64_t lastEmitted = 0; ///< Index of the last entry returned as committed.
    TimePoint now{};
    TimePoint electionDeadline{};
    std::optional<TimePoint> leaderContact;
    std::optional<TimePoint> confirmedAt; ///< See Replica::confirmedAt(); updated by followers.
    /// When rounds of the leader of term `answersTerm` were answered, see noteConfirmation().
    std::map<std::uint64_t, TimePoint> answers;
    std::uint64_t answersTerm = 0;
    std::set<std::string> votes;

    TimePoint nextHeartbeatAt{};
    TimePoint nextQuorumCheckAt{};
    /// Number of the last broadcast. A majority of answers to a round confirms the leader for all
    /// reads requested before it.
    std::uint64_t round = 0;
    std::map<std::uint64_t, TimePoint> roundTimes; ///< When each round was broadcast.
    std::vector<PendingRead> reads;
    std::optional<TimePoint> handOverDeadline;

    ReplicaOutput output;
};

template <typename Value, typename PeerValue>
Value Replica::State::reachedByMajority(Value own, PeerValue peerValue) const
{
    const auto reached = [&](bool withSuccessors) {
        std::vector<Value> values;
        for (const InstanceId &voter : options.voters) {
            const std::string &slot = voter.value();
            const auto successor = log.successors().find(slot);
            const bool replaced = withSuccessors && successor != log.successors().end();
            const auto admitted = log.identities().find(slot);
            if (!replaced && admitted == log.identities().end()) {
                values.push_back(Value{});
                continue;
            }
            const std::uint64_t identity = replaced ? successor->second : admitted->second;
            if (slot == self && identity == hard.identity()) {
                values.push_back(own);
                continue;
            }
            const bool isSecond = replaced || slot == self;
            const std::string name = isSecond ? successorName(voter).value() : slot;
            const PeerState &peer = peers.at(name);
            values.push_back(peer.incarnation.identity == identity ? peerValue(name, peer)
                                                                   : Value{});
        }
        std::sort(values.begin(), values.end(), std::greater<>());
        return values[majority() - 1];
    };
    const Value former = reached(false);
    return log.successors().empty() ? former : std::min(former, reached(true));
}

} // namespace gentianramp
