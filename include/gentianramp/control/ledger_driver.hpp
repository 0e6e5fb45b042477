#pragma once

#include <functional>
#include <gentianramp/ledger/configuration_distribution.hpp>
#include <gentianramp/ledger/configuration_store.hpp>
#include <gentianramp/ledger/log_store.hpp>
#include <gentianramp/ledger/replica.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace gentianramp {

/// Limits of the log of a voter; a log that reaches either one is replaced by a snapshot.
struct CompactionLimits
{
    std::uint64_t entries = 512;
    std::uint64_t bytes = 4 * 1024 * 1024;
};

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
};

/// Runs a Replica on a data folder: syncs records, then applies entries, then sends messages.
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

    const Replica &replica() const { return *m_replica; }
    const ConfigurationStore &store() const { return m_store; }
    std::uint64_t logBytes() const { return m_logStore.logBytes(); }
    bool leads() const { return m_replica && m_replica->role() == ReplicaRole::Leader; }
    std::uint64_t malformed() const { return m_malformed; }

private:
    void perform(ReplicaOutput output);
    void applyEntry(const proto::LogEntry &entry);
    void announceNewest();
    void completeReads(const ReplicaOutput &output);
    void compactIfNeeded();
    void reportLeadershipChange();

    ReplicaOptions m_options;
    LogStore m_logStore;
    LedgerHooks m_hooks;
    CompactionLimits m_limits;
    ConfigurationStore m_store;
    std::unique_ptr<Replica> m_replica;
    std::map<std::uint64_t, std::function<void(bool)>> m_pendingReads;
    std::uint64_t m_nextReadId = 1;
    std::uint64_t m_applied = 0;
    Revision m_announcedRevision;
    bool m_wasLeader = false;
    bool m_failed = false;
    std::uint64_t m_malformed = 0;
};

} // namespace gentianramp
