#pragma once

#include <deque>
#include <functional>
#include <gentianramp/ledger/configuration_distribution.hpp>
#include <gentianramp/ledger/configuration_store.hpp>
#include <gentianramp/ledger/log_store.hpp>
#include <gentianramp/ledger/replica.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace gentianramp {

/// Limits of the log of a voter; a log that reaches either one is replaced by a snapshot.
struct CompactionLimits
{
    std::uint64_t entries = 512;
    std::uint64_t bytes = 4 * 1024 * 1024;
};

/// Runs `write`, which blocks until the disk has synced, and then calls `done` with its result on
/// the thread of the driver.
using PersistHook = std::function<void(std::function<std::error_code()> write,
                                       std::function<void(std::error_code)> done)>;

/// Callbacks of a LedgerDriver.
struct LedgerHooks
{
    std::function<void(const InstanceId &to, std::string payload)> send;
    /// A command was decided.
    std::function<void(const CommandId &, const CommandAnswer &)> decided;
    /// The newest accepted configuration changed.
    std::function<void(const AcceptedConfiguration &)> accepted;
    /// This replica became the leader in @p term, or is no longer the leader.
    std::function<void(bool leads, Term term)> leadership;
    /// The data folder cannot be trusted any more; the process must end.
    std::function<void(const std::string &reason)> storageFailed;
    /// Empty: the driver writes on its own thread and is blocked by the disk.
    PersistHook persist;
};

/// Runs a Replica on a data folder: syncs records, then applies entries, then sends messages.
///
/// The replica goes on while a write is in progress. Its outputs wait in order until everything
/// that was recorded before them is synced, so that nothing leaves the process, is applied or is
/// answered on the strength of a record that a loss of power may undo. Records that wait together
/// are synced together.
class LedgerDriver
{
public:
    LedgerDriver(ReplicaOptions options, DataFolder dataFolder, LedgerHooks hooks,
                 CompactionLimits limits = {}, ConfigurationStoreLimits storeLimits = {});

    /// Reads the data folder. Returns an error when it cannot be read; the driver must then not be
    /// used. Returns false when writing to the folder failed, after LedgerHooks::storageFailed was
    /// called.
    Result<bool> start(TimePoint now);
    void onMessage(const InstanceId &sender, std::string_view payload, TimePoint now);
    void tick(TimePoint now);
    /// Returns false when this replica does not lead; else LedgerHooks::decided gets the outcome.
    bool propose(const ConfigurationProposal &proposal, TimePoint now);
    /// Calls @p done with true once a majority has confirmed that this replica leads and all
    /// earlier changes are applied; with false when it does not lead.
    void confirmLeadership(std::function<void(bool)> done, TimePoint now);
    /// Starts to transfer the leadership to another voter, if this replica leads.
    void transferLeadership(TimePoint now);

    /// See Replica::setSuccessors().
    void setSuccessors(const std::set<InstanceId> &slots);

    /// The replica, which is ahead of store() while outputs wait for the disk.
    const Replica &replica() const { return *m_replica; }
    const ConfigurationStore &store() const { return m_store; }
    /// Replica::confirmedAt() for what is applied to store().
    std::optional<TimePoint> confirmedAt() const { return m_confirmedAt; }
    /// A write is in progress; the data folder must not be used otherwise.
    bool writing() const { return m_writing; }
    std::uint64_t logBytes() const { return m_logBytes; }
    /// True between the reports of LedgerHooks::leadership, as long as the replica leads.
    bool leads() const
    {
        return m_wasLeader && m_replica->role() == ReplicaRole::Leader
            && m_replica->term() == m_reportedTerm;
    }
    std::uint64_t malformed() const { return m_malformed; }
    /// Confirmations of leaders with an age that can't be.
    std::uint64_t refusedConfirmations() const { return m_refusedConfirmations; }

private:
    /// An output of the replica that waits for the disk.
    struct WaitingOutput
    {
        ReplicaOutput output;
        std::optional<TimePoint> confirmedAt; ///< Replica::confirmedAt() at this output.
    };

    void perform(ReplicaOutput output);
    void noteRefused(const RefusedConfirmation &refused);
    bool answersMayPass() const;
    void sendAnswers(ReplicaOutput &output);
    bool overloaded() const;
    void processQueue();
    void writeFirst();
    void onWritten(std::size_t outputs, std::error_code error, TimePoint startedAt);
    void noteSynced(const ReplicaOutput &output);
    void finish(WaitingOutput waiting);
    void applyEntry(const proto::LogEntry &entry);
    void announceNewest();
    void completeReads(const ReplicaOutput &output);
    void compactIfNeeded();
    void reportLeadershipChange();

    ReplicaOptions m_options;
    std::shared_ptr<LogStore> m_logStore; ///< Shared with a write that outlasts the driver.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    std::deque<WaitingOutput> m_waiting;
    bool m_writing = false;
    bool m_processing = false;
    std::uint64_t m_logBytes = 0;
    proto::HardState m_synced;       ///< Last one that reached the disk.
    std::uint64_t m_syncedIndex = 0; ///< Last index of the log on the disk.
    std::optional<TimePoint> m_confirmedAt;
    LedgerHooks m_hooks;
    CompactionLimits m_limits;
    ConfigurationStore m_store;
    std::unique_ptr<Replica> m_replica;
    std::map<std::uint64_t, std::function<void(bool)>> m_pendingReads;
    std::uint64_t m_nextReadId = 1;
    std::uint64_t m_applied = 0;
    Revision m_announcedRevision;
    bool m_wasLeader = false;
    Term m_reportedTerm;
    bool m_failed = false;
    std::uint64_t m_malformed = 0;
    std::uint64_t m_refusedConfirmations = 0;
    std::optional<TimePoint> m_refusalLoggedAt;
};

} // namespace gentianramp
