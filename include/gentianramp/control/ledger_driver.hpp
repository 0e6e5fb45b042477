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

/// Bounds of the log on a voter; beyond either one a snapshot replaces it.
struct CompactionLimits
{
    std::uint64_t entries = 512;
    std::uint64_t bytes = 4 * 1024 * 1024;
};

/// What a LedgerDriver tells its surroundings.
struct LedgerHooks
{
    std::function<void(const InstanceId &to, std::string payload)> send;
    /// A command was decided.
    std::function<void(const CommandId &, const CommandAnswer &)> decided;
    /// The newest accepted configuration changed.
    std::function<void(const AcceptedConfiguration &)> accepted;
    /// This replica became leader, or stopped being it.
    std::function<void(bool leads, Term term)> leadership;
    /// The data folder cannot be trusted any more; the process must end.
    std::function<void(const std::string &reason)> storageFailed;
};

/// Runs a Replica on a data folder: syncs records, then applies entries, then sends messages.
class LedgerDriver
{
public:
    LedgerDriver(ReplicaOptions options, DataFolder disk, LedgerHooks hooks,
                 CompactionLimits limits = {}, ConfigurationStoreLimits storeLimits = {});

    /// Reads the data folder; the caller must not go on after an error.
    Result<bool> start(TimePoint now);
    void onMessage(const InstanceId &sender, std::string_view payload, TimePoint now);
    void tick(TimePoint now);
    /// False when this replica does not lead; else the outcome comes through `decided`.
    bool propose(const ConfigurationProposal &proposal, TimePoint now);
    /// Calls @p done with true once a majority confirmed that this replica leads and all
    /// earlier changes are applied; with false when it does not lead.
    void confirmLeadership(std::function<void(bool)> done, TimePoint now);
    void handOver(TimePoint now);

    const Replica &replica() const { return *m_replica; }
    const ConfigurationStore &store() const { return m_store; }
    std::uint64_t logBytes() const { return m_logStore.logBytes(); }
    bool leads() const { return m_replica && m_replica->role() == ReplicaRole::Leader; }
    std::uint64_t malformed() const { return m_malformed; }

private:
    void perform(ReplicaOutput output);
    void applyEntry(const proto::LogEntry &entry);
    void offerNewest();
    void answerReads(const ReplicaOutput &output);
    void compactWhenLong();
    void noteLeadership();

    ReplicaOptions m_options;
    LogStore m_logStore;
    LedgerHooks m_hooks;
    CompactionLimits m_limits;
    ConfigurationStore m_store;
    std::unique_ptr<Replica> m_replica;
    std::map<std::uint64_t, std::function<void(bool)>> m_reads;
    std::uint64_t m_nextRead = 1;
    std::uint64_t m_applied = 0;
    Revision m_offered;
    bool m_led = false;
    bool m_failed = false;
    std::uint64_t m_malformed = 0;
};

} // namespace gentianramp
