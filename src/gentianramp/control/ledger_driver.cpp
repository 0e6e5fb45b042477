#include <gentianramp/control/ledger_driver.hpp>

#include <algorithm>
#include <gentianramp/core/log.hpp>
#include <utility>

namespace gentianramp {

namespace {

/// Longer writes delay heartbeats noticeably and are logged.
constexpr Duration SlowWrite = std::chrono::milliseconds(200);
constexpr Duration RefusalLogInterval = std::chrono::seconds(1);
/// While more outputs wait for the disk, the replica gets no messages, which may be lost anyway.
constexpr std::size_t MaxWaitingOutputs = 64;

} // namespace

LedgerDriver::LedgerDriver(ReplicaOptions options, DataFolder dataFolder, LedgerHooks hooks,
                           CompactionLimits limits, ConfigurationStoreLimits storeLimits)
    : m_options(std::move(options))
    , m_logStore(std::make_shared<LogStore>(std::move(dataFolder)))
    , m_hooks(std::move(hooks))
    , m_limits(limits)
    , m_store(storeLimits)
{ }

Result<bool> LedgerDriver::start(TimePoint now)
{
    Result<StoredLog> stored = m_logStore->open(m_options.seed);
    if (!stored)
        return {stored.error(), stored.message()};
    if (stored->snapshot.index() > 0) {
        if (const std::error_code error = m_store.restore(stored->snapshot.state()))
            return {Error::StorageFailed, "the snapshot in the data folder cannot be decoded"};
    }
    m_applied = stored->snapshot.index();
    m_logBytes = m_logStore->logBytes();
    m_synced = stored->hardState;
    m_syncedIndex
        = stored->entries.empty() ? stored->snapshot.index() : stored->entries.back().index();
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
    if (!m_failed && !overloaded())
        perform(m_replica->step(sender, message, now));
}

void LedgerDriver::tick(TimePoint now)
{
    if (!m_failed && !overloaded() && now >= m_replica->nextTick())
        perform(m_replica->tick(now));
}

bool LedgerDriver::propose(const ConfigurationProposal &proposal, TimePoint now)
{
    ReplicaOutput output;
    if (m_failed || overloaded()
        || !m_replica->propose(m_store.encodeCommand(proposal), now, output))
        return false;
    perform(std::move(output));
    return true;
}

void LedgerDriver::confirmLeadership(std::function<void(bool)> done, TimePoint now)
{
    if (m_failed || overloaded())
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

void LedgerDriver::setSuccessors(const std::set<InstanceId> &slots)
{
    m_replica->setSuccessors(slots);
}

bool LedgerDriver::overloaded() const
{
    return m_waiting.size() > MaxWaitingOutputs;
}

void LedgerDriver::noteRefused(const RefusedConfirmation &refused)
{
    ++m_refusedConfirmations;
    const TimePoint now = RuntimeClock::now();
    if (m_refusalLoggedAt && now - *m_refusalLoggedAt < RefusalLogInterval)
        return;
    m_refusalLoggedAt = now;
    logWarning("confirmation_refused",
               {{"leader", refused.leader.value()},
                {"claimed_ms", toMilliseconds(refused.claimedAge)},
                {"answered_ms", toMilliseconds(refused.answerAge)},
                {"refused", m_refusedConfirmations}});
}

void LedgerDriver::perform(ReplicaOutput output)
{
    if (output.refusedConfirmation)
        noteRefused(*output.refusedConfirmation);
    if (m_writing && !output.record && answersMayPass())
        sendAnswers(output);
    m_waiting.push_back({std::move(output), m_replica->confirmedAt()});
    processQueue();
}

/// True while nothing waits for the disk that an answer to the leader rests on, except entries:
/// those are left out of the answer. Without it a slow disk would look like a lost voter.
bool LedgerDriver::answersMayPass() const
{
    return std::all_of(m_waiting.begin(), m_waiting.end(), [this](const WaitingOutput &waiting) {
        const ReplicaOutput &output = waiting.output;
        if (!output.record)
            return true;
        const proto::HardState &state = output.record->hard_state();
        return !output.snapshot && output.record->truncate_from() == 0
            && state.term() == m_synced.term() && state.voted_for() == m_synced.voted_for()
            && state.identity() == m_synced.identity();
    });
}

void LedgerDriver::sendAnswers(ReplicaOutput &output)
{
    std::erase_if(output.messages, [this](OutgoingMessage &outgoing) {
        if (!outgoing.message.has_append_response())
            return false;
        proto::AppendResponse &response = *outgoing.message.mutable_append_response();
        if (response.accepted())
            response.set_match_index(std::min(response.match_index(), m_syncedIndex));
        m_hooks.send(outgoing.to, outgoing.message.SerializeAsString());
        return true;
    });
}

/// Finishes outputs in order until one has to wait for the disk. Hooks may call the driver again.
void LedgerDriver::processQueue()
{
    if (m_processing)
        return;
    m_processing = true;
    while (!m_waiting.empty() && !m_writing && !m_failed) {
        if (m_waiting.front().output.record) {
            writeFirst();
            continue;
        }
        WaitingOutput waiting = std::move(m_waiting.front());
        m_waiting.pop_front();
        finish(std::move(waiting));
    }
    m_processing = false;
}

/// Writes the record of the first output, together with those behind it that need no snapshot.
void LedgerDriver::writeFirst()
{
    std::size_t outputs = 1;
    std::function<std::error_code()> write;
    const ReplicaOutput &first = m_waiting.front().output;
    if (first.snapshot) {
        write = [store = m_logStore, snapshot = first.snapshot, record = *first.record] {
            return store->write(snapshot, record);
        };
    } else {
        std::vector<proto::PersistRecord> records{*first.record};
        for (; outputs < m_waiting.size() && !m_waiting[outputs].output.snapshot; ++outputs) {
            if (m_waiting[outputs].output.record)
                records.push_back(*m_waiting[outputs].output.record);
        }
        write
            = [store = m_logStore, records = std::move(records)] { return store->write(records); };
    }
    m_writing = true;
    const TimePoint startedAt = RuntimeClock::now();
    if (!m_hooks.persist)
        return onWritten(outputs, write(), startedAt);
    m_hooks.persist(
        std::move(write),
        [this, outputs, startedAt, alive = std::weak_ptr(m_alive)](std::error_code error) {
            if (!alive.expired())
                onWritten(outputs, error, startedAt);
        });
}

void LedgerDriver::onWritten(std::size_t outputs, std::error_code error, TimePoint startedAt)
{
    m_writing = false;
    if (error) {
        m_failed = true;
        m_waiting.clear();
        return m_hooks.storageFailed(error.message());
    }
    m_logBytes = m_logStore->logBytes();
    const Duration took = RuntimeClock::now() - startedAt;
    if (took > SlowWrite)
        logWarning("storage_slow", {{"ms", toMilliseconds(took)}, {"outputs", outputs}});
    for (std::size_t i = 0; i < outputs; ++i) {
        noteSynced(m_waiting[i].output);
        m_waiting[i].output.record.reset();
    }
    processQueue();
}

void LedgerDriver::noteSynced(const ReplicaOutput &output)
{
    if (!output.record)
        return;
    const proto::PersistRecord &record = *output.record;
    if (record.has_hard_state())
        m_synced = record.hard_state();
    if (output.snapshot)
        m_syncedIndex = output.snapshot->index();
    else if (record.truncate_from() != 0)
        m_syncedIndex = std::min(m_syncedIndex, record.truncate_from() - 1);
    if (!record.entries().empty())
        m_syncedIndex = record.entries().rbegin()->index();
}

void LedgerDriver::finish(WaitingOutput waiting)
{
    ReplicaOutput &output = waiting.output;
    if (output.loadSnapshot) {
        if (const std::error_code error = m_store.restore(output.snapshot->state())) {
            m_failed = true;
            m_waiting.clear();
            return m_hooks.storageFailed("the snapshot received from the leader cannot be decoded");
        }
        m_applied = output.snapshot->index();
    }
    for (const proto::LogEntry &entry : output.committed)
        applyEntry(entry);
    announceNewest();
    m_confirmedAt = waiting.confirmedAt;
    reportLeadershipChange();
    for (const OutgoingMessage &outgoing : output.messages)
        m_hooks.send(outgoing.to, outgoing.message.SerializeAsString());
    completeReads(output);
    compactIfNeeded();
}

void LedgerDriver::applyEntry(const proto::LogEntry &entry)
{
    m_applied = entry.index();
    if (entry.kind() == proto::ENTRY_ADMIT && m_replica->role() == ReplicaRole::Leader) {
        for (const proto::SlotIdentity &slot : entry.identities())
            logInfo("voter_admitted", {{"seat", slot.instance()}, {"index", entry.index()}});
    }
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
        || m_logBytes >= m_limits.bytes;
    if (m_failed || !isNeeded || m_applied <= m_replica->snapshotIndex().value())
        return;
    perform(m_replica->compact(LogIndex(m_applied), m_store.snapshot()));
}

void LedgerDriver::reportLeadershipChange()
{
    const Term term = m_replica->term();
    const bool isLeader = m_replica->role() == ReplicaRole::Leader;
    if (isLeader == m_wasLeader && (!m_wasLeader || term == m_reportedTerm))
        return;
    // Leadership may be lost and gained again while outputs wait for the disk.
    if (std::exchange(m_wasLeader, false))
        m_hooks.leadership(false, m_reportedTerm);
    m_wasLeader = isLeader;
    m_reportedTerm = term;
    if (isLeader)
        m_hooks.leadership(true, term);
}

} // namespace gentianramp
