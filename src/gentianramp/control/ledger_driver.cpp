#include <gentianramp/control/ledger_driver.hpp>

#include <gentianramp/core/log.hpp>
#include <utility>

namespace gentianramp {

namespace {

/// Longer writes delay heartbeats noticeably and are logged.
constexpr Duration SlowWrite = std::chrono::milliseconds(200);

} // namespace

LedgerDriver::LedgerDriver(ReplicaOptions options, DataFolder dataFolder, LedgerHooks hooks,
                           CompactionLimits limits, ConfigurationStoreLimits storeLimits)
    : m_options(std::move(options))
    , m_logStore(std::move(dataFolder))
    , m_hooks(std::move(hooks))
    , m_limits(limits)
    , m_store(storeLimits)
{ }

Result<bool> LedgerDriver::start(TimePoint now)
{
    Result<StoredLog> stored = m_logStore.open(m_options.seed);
    if (!stored)
        return {stored.error(), stored.message()};
    if (stored->snapshot.index() > 0) {
        if (const std::error_code error = m_store.restore(stored->snapshot.state()))
            return {Error::StorageFailed, "the snapshot in the data folder cannot be decoded"};
    }
    m_applied = stored->snapshot.index();
    m_replica = std::make_unique<Replica>(m_options, std::move(stored).value(), now);
    perform(m_replica->tick(now));
    return !m_failed;
}

void LedgerDriver::onMessage(const InstanceId &sender, std::string_view payload, TimePoint now)
{
    proto::LedgerMessage message;
    if (!message.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) {
        ++m_malformed;
        return;
    }
    if (!m_failed)
        perform(m_replica->step(sender, message, now));
}

void LedgerDriver::tick(TimePoint now)
{
    if (!m_failed && now >= m_replica->nextTick())
        perform(m_replica->tick(now));
}

bool LedgerDriver::propose(const ConfigurationProposal &proposal, TimePoint now)
{
    ReplicaOutput output;
    if (m_failed || !m_replica->propose(m_store.encodeCommand(proposal), now, output))
        return false;
    perform(std::move(output));
    return true;
}

void LedgerDriver::confirmLeadership(std::function<void(bool)> done, TimePoint now)
{
    if (m_failed)
        return done(false);
    const std::uint64_t id = m_nextReadId++;
    m_pendingReads.emplace(id, std::move(done));
    perform(m_replica->requestRead(id, now));
}

void LedgerDriver::transferLeadership(TimePoint now)
{
    if (!m_failed)
        perform(m_replica->transferLeadership(now));
}

void LedgerDriver::perform(ReplicaOutput output)
{
    if (output.record) {
        const TimePoint startedAt = RuntimeClock::now();
        if (const std::error_code error = m_logStore.write(output.snapshot, *output.record)) {
            m_failed = true;
            return m_hooks.storageFailed(error.message());
        }
        const Duration took = RuntimeClock::now() - startedAt;
        if (took > SlowWrite)
            logWarning(
                "storage_slow",
                {{"ms", toMilliseconds(took)}, {"snapshot", output.snapshot ? "yes" : "no"}});
    }
    if (output.loadSnapshot) {
        if (const std::error_code error = m_store.restore(output.snapshot->state())) {
            m_failed = true;
            return m_hooks.storageFailed("the snapshot received from the leader cannot be decoded");
        }
        m_applied = output.snapshot->index();
    }
    for (const proto::LogEntry &entry : output.committed)
        applyEntry(entry);
    announceNewest();
    reportLeadershipChange();
    for (OutgoingMessage &outgoing : output.messages)
        m_hooks.send(outgoing.to, outgoing.message.SerializeAsString());
    completeReads(output);
    compactIfNeeded();
}

void LedgerDriver::applyEntry(const proto::LogEntry &entry)
{
    m_applied = entry.index();
    if (entry.kind() != proto::ENTRY_COMMAND)
        return;
    const CommandAnswer answer = m_store.apply(entry.command());
    proto::ConfigurationCommand command;
    if (command.ParseFromString(entry.command()))
        m_hooks.decided(CommandId(command.command_id()), answer);
}

void LedgerDriver::announceNewest()
{
    if (m_store.revision() <= m_announcedRevision)
        return;
    m_announcedRevision = m_store.revision();
    m_hooks.accepted({.revision = m_announcedRevision, .bytes = m_store.configuration()});
}

void LedgerDriver::completeReads(const ReplicaOutput &output)
{
    const auto answer = [this](std::uint64_t id, bool confirmed) {
        if (auto read = m_pendingReads.extract(id))
            read.mapped()(confirmed);
    };
    for (const ConfirmedRead &read : output.confirmedReads)
        answer(read.id, true);
    for (const std::uint64_t id : output.failedReads)
        answer(id, false);
}

void LedgerDriver::compactIfNeeded()
{
    const bool isNeeded = m_applied >= m_replica->snapshotIndex().value() + m_limits.entries
        || m_logStore.logBytes() >= m_limits.bytes;
    if (m_failed || !isNeeded || m_applied <= m_replica->snapshotIndex().value())
        return;
    perform(m_replica->compact(LogIndex(m_applied), m_store.snapshot()));
}

void LedgerDriver::reportLeadershipChange()
{
    if (leads() == m_wasLeader)
        return;
    m_wasLeader = leads();
    m_hooks.leadership(m_wasLeader, m_replica->term());
}

} // namespace gentianramp
