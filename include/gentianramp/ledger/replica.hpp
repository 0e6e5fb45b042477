#pragma once

#include <cstdint>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/ids.hpp>
#include <gentianramp/ledger/stored_log.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gentianramp {

/// Role of a replica in its term.
enum class ReplicaRole {
    Follower,
    PreCandidate, ///< Asks whether an election could be won, without raising the term.
    Candidate,
    Leader,
};

/// Options of a Replica.
struct ReplicaOptions
{
    InstanceId self;
    std::vector<InstanceId> voters; ///< All slots, the own one included: 1, 3, 5 or 7.
    Duration heartbeatInterval = std::chrono::milliseconds(500);
    Duration electionTimeout = std::chrono::milliseconds(1500); ///< Up to twice this, at random.
    std::uint64_t seed = 1;
    std::size_t maxEntriesPerMessage = 256;
    std::size_t maxBytesPerMessage = 1 << 20; ///< A single larger entry still goes alone.
    std::size_t retainedEntries = 256;        ///< Kept in memory behind a snapshot.
};

/// A message to another voter.
struct OutgoingMessage
{
    InstanceId to;
    proto::LedgerMessage message;
};

/// A read of the state machine that a majority has confirmed.
struct ConfirmedRead
{
    std::uint64_t id = 0;
    LogIndex index; ///< The state must include this entry.
    auto operator<=>(const ConfirmedRead &) const = default;
};

/// What the driver has to do after a step, in this order: write `snapshot` and `record` to disk
/// and sync them, load `restored`, apply `committed`, answer reads, send `messages`.
/// When the disk fails, the driver drops the rest and stops.
struct ReplicaOutput
{
    std::optional<proto::LedgerSnapshot> snapshot; ///< Replaces the log up to its index.
    std::optional<proto::PersistRecord> record;    ///< Appended to the log.
    bool loadSnapshot = false;                     ///< The state machine loads `snapshot`.
    std::vector<proto::LogEntry> committed;
    std::vector<ConfirmedRead> confirmedReads;
    std::vector<std::uint64_t> failedReads;
    std::vector<OutgoingMessage> messages;
};

/// What a replica knows of one voter.
struct VoterView
{
    InstanceId instance;
    std::uint64_t identity = 0; ///< Of the admitted data folder; 0 when the slot is empty.
    bool admitted = false;      ///< The folder seen last is the admitted one.
    LogIndex match;
    std::optional<TimePoint> lastContact;
    bool operator==(const VoterView &) const = default;
};

/// One voter of the replicated log, as a pure state machine.
///
/// A majority log in the manner of Raft: terms, one leader a term, pre-vote, a leader that steps
/// down without contact to a majority, entries committed only through an entry of the leader's own
/// term. The set of slots is fixed by the settings; which data folder fills a slot is part of the
/// log. Only votes and acknowledgements of the admitted folder count. An empty, swapped or rolled
/// back folder is a new one: its slot is first emptied, then the folder learns the whole log, then
/// it is admitted, each by a committed entry.
class Replica
{
public:
    /// Continues from @p stored, which LogStore::open() returned in this life of the process.
    Replica(ReplicaOptions options, StoredLog stored, TimePoint now);
    ~Replica();
    Replica(Replica &&) noexcept;
    Replica &operator=(Replica &&) noexcept;

    ReplicaOutput step(const InstanceId &from, const proto::LedgerMessage &message, TimePoint now);
    /// Also hands out, at its first call, what was committed before a restart.
    ReplicaOutput tick(TimePoint now);
    /// Appends @p command; empty index when this replica does not lead.
    std::optional<LogIndex> propose(std::string command, TimePoint now, ReplicaOutput &output);
    /// Asks a majority whether this replica still leads; the answer comes in a later output.
    ReplicaOutput requestRead(std::uint64_t id, TimePoint now);
    /// Replaces all entries up to @p index, which was applied, by @p state.
    ReplicaOutput compact(LogIndex index, std::string state);
    /// A leader asks its most advanced voter to take over.
    ReplicaOutput handOver(TimePoint now);
    /// Time at which tick() has something to do.
    TimePoint nextTick() const;

    ReplicaRole role() const;
    /// Leader of the present term, as far as known.
    std::optional<InstanceId> leader() const;
    /// When the leader was last heard of; for a leader the last time that a majority answered it.
    std::optional<TimePoint> leaderContact() const;
    Term term() const;
    LogIndex commitIndex() const;
    LogIndex lastIndex() const;
    /// Index that the newest snapshot stands for.
    LogIndex snapshotIndex() const;
    std::uint64_t identity() const;
    /// True when the own data folder is admitted according to the own log.
    bool admitted() const;
    std::vector<VoterView> voters() const;
    /// Entries after the snapshot, for checks.
    std::vector<proto::LogEntry> entries() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace gentianramp
