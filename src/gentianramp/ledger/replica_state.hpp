#pragma once

#include "replicated_log.hpp"
#include "witness_table.hpp"

#include <gentianramp/ledger/replica.hpp>
#include <random>
#include <set>

namespace gentianramp {

/// What a replica keeps about another voter.
struct PeerState
{
    Life life;
    std::optional<TimePoint> lastContact;
    std::uint64_t next = 1;
    std::uint64_t match = 0;
    std::uint64_t probe = 0;  ///< Largest probe that was answered.
    TimePoint snapshotSent{}; ///< The snapshot is not sent again before a timeout.
};

/// A read that waits for a majority.
struct PendingRead
{
    std::uint64_t id = 0;
    std::uint64_t probe = 0;
};

/// Implementation of Replica: elections in replica_election.cpp, the leader's side of the log in
/// replica_leader.cpp, the follower's side in replica_follower.cpp.
struct Replica::State
{
    State(ReplicaOptions options, StoredLog stored, TimePoint now);

    // Common
    void receive(const std::string &from, const proto::LedgerMessage &message);
    void dispatch(const std::string &from, const proto::LedgerMessage &message);
    bool isFromEarlierLife(const std::string &from, const proto::LedgerMessage &message) const;
    void checkOwnFolder(const proto::LedgerMessage &message);
    void renewIdentity();
    void notePeer(const std::string &from, const proto::LedgerMessage &message);
    void becomeFollower(std::uint64_t term);
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
    bool isAdmitted(const std::string &instance, std::uint64_t folder) const;
    bool selfAdmitted() const { return isAdmitted(self, hard.identity()); }
    /// True when the voter's present folder is admitted and was heard of within a timeout.
    bool isLive(const std::string &instance) const;
    bool unfounded() const { return log.lastIndex() == 0 && log.identities().empty(); }
    /// The folder may stand for election: it was admitted, or it is founding an empty ledger.
    bool electable() const { return selfAdmitted() || (unfounded() && hard.founding()); }
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
    bool voteCounts(const std::string &from, const proto::LedgerMessage &message) const;
    void countVotes();
    void becomeLeader();

    // Leader
    void appendAsLeader(proto::LogEntry entry);
    void broadcast(bool onlyWaiting);
    void sendAppend(const std::string &to, PeerState &peer);
    void sendSnapshot(const std::string &to, PeerState &peer);
    void receiveAppendResponse(const std::string &from, const proto::LedgerMessage &message);
    void advanceLeaderCommit();
    void answerReads();
    void failReads();
    void checkQuorum();
    std::optional<TimePoint> majorityContact() const;
    void repairVoters();
    void retireFolder(const std::string &instance);
    void admitFolder(const std::string &instance, std::uint64_t folder);
    bool committedOwnTerm() const;

    // Follower
    void receiveAppendRequest(const std::string &from, const proto::LedgerMessage &message);
    void receiveSnapshotRequest(const std::string &from, const proto::LedgerMessage &message);
    bool followLeader(const std::string &from, const proto::LedgerMessage &message);
    bool logsMatchAt(std::uint64_t index, std::uint64_t term) const;
    void appendAsFollower(const proto::LogEntry &entry);
    void answerAppend(const std::string &to, bool accepted, std::uint64_t index,
                      std::uint64_t probe);

    ReplicaOptions options;
    std::string self;
    proto::HardState hard;
    ReplicatedLog log;
    WitnessTable witnesses;
    StartState start;
    std::uint64_t session = 0;
    std::mt19937_64 random;
    std::map<std::string, PeerState> peers;

    ReplicaRole role = ReplicaRole::Follower;
    std::string leader;
    std::uint64_t commit = 0;
    std::uint64_t emitted = 0; ///< Last entry handed out as committed.
    TimePoint now{};
    TimePoint electionDeadline{};
    std::optional<TimePoint> leaderContact;
    std::set<std::string> votes;

    TimePoint heartbeatDue{};
    TimePoint quorumCheckDue{};
    std::uint64_t probe = 0;
    std::vector<PendingRead> reads;
    std::optional<TimePoint> handOverUntil;

    ReplicaOutput output;
};

} // namespace gentianramp
