#pragma once

#include <cstdint>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/ids.hpp>
#include <gentianramp/ledger/stored_log.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace gentianramp {

/// Name by which a replica knows the second process on a slot: the one that is to replace the
/// slot's holder; for both of these, the other one.
InstanceId successorName(const InstanceId &slot);
/// The slot of a name, which may be a slot or the second process on it.
InstanceId slotOf(const InstanceId &name);

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
    std::vector<InstanceId> voters; ///< All slots, including the own one: 1, 3, 5 or 7.
    Duration heartbeatInterval = std::chrono::milliseconds(500);
    /// The time-out of an election is drawn at random between this and twice this.
    Duration electionTimeout = std::chrono::milliseconds(1500);
    std::uint64_t seed = 1;
    std::size_t maxEntriesPerMessage = 256;
    std::size_t maxBytesPerMessage = 1 << 20; ///< A larger entry is sent in a message of its own.
    std::size_t retainedEntries = 256;        ///< Entries before a snapshot that stay in memory.
    /// Messages of a folder that is not admitted arrive under the slot's successorName().
    bool namesSuccessors = false;
};

/// A message to another voter.
struct OutgoingMessage
{
    InstanceId to;
    proto::LedgerMessage message;
};

/// A read of the state machine for which a majority has confirmed the leader.
struct ConfirmedRead
{
    std::uint64_t id = 0;
    LogIndex index; ///< The state must include this entry.
    auto operator<=>(const ConfirmedRead &) const = default;
};

/// A leader's confirmation that can't be: it says that an answer of this voter was received before
/// it was sent.
struct RefusedConfirmation
{
    InstanceId leader;
    Duration claimedAge{}; ///< Of the receipt of the answer, as the leader says.
    Duration answerAge{};  ///< Time since the answer was sent from here.
    auto operator<=>(const RefusedConfirmation &) const = default;
};

/// What the driver has to do after a step, in this order: write `snapshot` and `record` to disk
/// and sync them, load `snapshot` into the state machine if `loadSnapshot` is set, apply
/// `committed`, answer reads, send `messages`. When writing fails, the driver discards the rest and
/// stops.
struct ReplicaOutput
{
    std::optional<proto::LedgerSnapshot> snapshot; ///< Replaces the log up to its index.
    std::optional<proto::PersistRecord> record;    ///< Appended to the log.
    bool loadSnapshot = false;                     ///< The state machine loads `snapshot`.
    std::vector<proto::LogEntry> committed;
    std::vector<ConfirmedRead> confirmedReads;
    std::vector<std::uint64_t> failedReads;
    std::optional<RefusedConfirmation> refusedConfirmation;
    std::vector<OutgoingMessage> messages;
};

/// State of one voter as seen by a replica.
struct VoterView
{
    InstanceId instance;
    std::uint64_t identity = 0;  ///< Of the admitted data folder; 0 when the slot is empty.
    std::uint64_t successor = 0; ///< Of the data folder that is replacing it; 0: there is none.
    bool admitted = false;       ///< The data folder in its last message is the admitted one.
    /// Its last vote did not count because its folder was found to be rolled back.
    bool rolledBack = false;
    LogIndex match;
    std::optional<TimePoint> lastContact;
    bool operator==(const VoterView &) const = default;
};

/// One voter of the replicated log, as a pure state machine.
///
/// Follows Raft: terms with one leader each, pre-vote, a leader that steps down without contact to
/// a majority, entries committed only through an entry of the leader's own term. The set of slots
/// is fixed by the settings; which data folder fills a slot is part of the log. Only votes and
/// acknowledgements of the admitted folder count. An empty, swapped or rolled back folder is
/// treated as a new one.
///
/// A folder replaces another one of the same slot, which may be in use or lost, in two entries.
/// Once the new folder has all committed entries, the first one makes it the slot's successor: from
/// then on each majority has to hold both with the former folder and with the new one. When that
/// entry is committed, the second one admits the new folder alone. At no moment does the loss of
/// one folder cost more than before. While a voter may run an earlier build, which knows no
/// successors, a committed entry retires the former folder first, and another one admits the new
/// folder.
class Replica
{
public:
    /// Continues from @p stored, which LogStore::open() returned in this incarnation of the
    /// process.
    Replica(ReplicaOptions options, StoredLog stored, TimePoint now);
    ~Replica();
    Replica(Replica &&) noexcept;
    Replica &operator=(Replica &&) noexcept;

    ReplicaOutput step(const InstanceId &from, const proto::LedgerMessage &message, TimePoint now);
    /// The first call also returns the entries committed before a restart.
    ReplicaOutput tick(TimePoint now);
    /// Appends @p command; empty when this replica is not the leader or is transferring leadership.
    std::optional<LogIndex> propose(std::string command, TimePoint now, ReplicaOutput &output);
    /// Asks a majority whether this replica still leads; a later output confirms or fails the read.
    ReplicaOutput requestRead(std::uint64_t id, TimePoint now);
    /// Replaces the entries up to @p index by the snapshot @p state, which has all of them applied.
    ReplicaOutput compact(LogIndex index, std::string state);
    /// Transfers leadership to the live voter whose log is the most advanced.
    ReplicaOutput transferLeadership(TimePoint now);
    /// Slots whose folder the leader replaces by that of their second process once that has all
    /// committed entries. Does not undo a replacement that has begun.
    void setSuccessors(const std::set<InstanceId> &slots);
    /// False when an admitted folder was heard whose build knows no successors.
    bool knowsSuccessors() const;
    /// On a leader: true when the last change of a slot's folder is committed, so that folders that
    /// were replaced are needed no more.
    bool foldersSettled() const;
    /// Time at which tick() must be called next.
    TimePoint nextTick() const;

    ReplicaRole role() const;
    /// Leader of the current term; empty when it is not known.
    std::optional<InstanceId> leader() const;
    /// Time at which all committed entries were committed here too: a majority confirmed the leader
    /// then, and this voter has all that the leader had committed. Empty: never.
    std::optional<TimePoint> confirmedAt() const;
    Term term() const;
    LogIndex commitIndex() const;
    LogIndex lastIndex() const;
    /// Index of the last entry in the newest snapshot.
    LogIndex snapshotIndex() const;
    /// Identity of the own data folder.
    std::uint64_t identity() const;
    /// True when the own log admits the own data folder.
    bool admitted() const;
    std::vector<VoterView> voters() const;
    /// Size of the commands in memory, those before the snapshot included.
    std::uint64_t logBytes() const;
    /// Entries after the snapshot, for checks.
    std::vector<proto::LogEntry> entries() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace gentianramp
