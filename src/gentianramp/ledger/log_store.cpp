#include <gentianramp/ledger/log_store.hpp>

#include "frame.hpp"

#include <algorithm>
#include <charconv>
#include <gentianramp/core/log.hpp>
#include <random>

namespace gentianramp {

namespace {

constexpr std::string_view LogPrefix = "log-";
constexpr std::string_view SnapshotPrefix = "snapshot-";

std::string logName(std::uint64_t generation)
{
    return std::string(LogPrefix) + std::to_string(generation);
}

std::string snapshotName(std::uint64_t index)
{
    return std::string(SnapshotPrefix) + std::to_string(index);
}

/// Returns the number in a name that consists of @p prefix and a number; empty for other names.
std::optional<std::uint64_t> numberIn(std::string_view name, std::string_view prefix)
{
    if (!name.starts_with(prefix))
        return std::nullopt;
    name.remove_prefix(prefix.size());
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(name.data(), name.data() + name.size(), number);
    if (error != std::errc{} || end != name.data() + name.size())
        return std::nullopt;
    return number;
}

void replayRecord(const proto::PersistRecord &record, StoredLog &log)
{
    if (record.has_hard_state())
        log.hardState = record.hard_state();
    const std::uint64_t from = record.truncate_from();
    while (from != 0 && !log.entries.empty() && log.entries.back().index() >= from)
        log.entries.pop_back();
    log.entries.insert(log.entries.end(), record.entries().begin(), record.entries().end());
}

bool isContiguous(const StoredLog &log)
{
    std::uint64_t next = log.snapshot.index() + 1;
    return std::all_of(log.entries.begin(), log.entries.end(),
                       [&](const proto::LogEntry &entry) { return entry.index() == next++; });
}

std::uint64_t newIdentity(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    return random();
}

} // namespace

LogStore::LogStore(DataFolder folder)
    : m_folder(std::move(folder))
{ }

std::error_code LogStore::initialise(std::uint64_t seed)
{
    const Result<std::vector<std::string>> names = m_folder.list();
    if (!names)
        return names.error();
    if (!names->empty())
        return make_error_code(Error::InvalidArgument);
    proto::PersistRecord record;
    record.mutable_hard_state()->set_identity(newIdentity(seed));
    record.mutable_hard_state()->set_founding(true);
    return startLog(record);
}

Result<StoredLog> LogStore::open(std::uint64_t seed)
{
    // The newest log file may have been renamed by a process that ended before it synced the
    // folder. What is written to the file now is lost with its name at a loss of power.
    if (const std::error_code error = m_folder.syncNames())
        return {fail(error), "cannot sync the data folder"};
    Result<StoredLog> loaded = load();
    if (!loaded)
        return {fail(loaded.error()), loaded.message()};
    StoredLog log = std::move(loaded).value();
    const bool empty = m_generation == 0;
    if (empty)
        log.hardState.set_identity(newIdentity(seed));
    log.hardState.set_boot(log.hardState.boot() + 1);
    // Of two writes that were not synced, a loss of power may keep the later one alone, which would
    // look like a corrupt record. What an earlier process wrote is therefore made durable first.
    if (!empty) {
        if (const std::error_code error = m_folder.sync(logName(m_generation)))
            return {fail(error), "cannot sync the log in the data folder"};
    }
    proto::PersistRecord record;
    *record.mutable_hard_state() = log.hardState;
    if (const std::error_code error = empty ? startLog(record) : write(std::nullopt, record))
        return {error, "cannot write the boot counter to the log in the data folder"};
    return log;
}

std::error_code LogStore::write(const std::optional<proto::LedgerSnapshot> &snapshot,
                                const proto::PersistRecord &record)
{
    if (m_failed)
        return make_error_code(Error::StorageFailed);
    if (snapshot) {
        const std::string frame = encodeFrame(FrameKind::Snapshot, snapshot->SerializeAsString());
        if (const std::error_code error = m_folder.replace(snapshotName(snapshot->index()), frame))
            return fail(error);
        if (const std::error_code error = startLog(record))
            return error;
        return removeOld(snapshot->index());
    }
    const std::string frame = encodeFrame(FrameKind::Record, record.SerializeAsString());
    if (const std::error_code error = m_folder.append(logName(m_generation), frame))
        return fail(error);
    if (const std::error_code error = m_folder.sync(logName(m_generation)))
        return fail(error);
    m_logBytes += frame.size();
    return {};
}

Result<StoredLog> LogStore::load()
{
    const Result<std::vector<std::string>> names = m_folder.list();
    if (!names)
        return {names.error(), "cannot list the data folder"};
    for (const std::string &name : names.value())
        m_generation = std::max(m_generation, numberIn(name, LogPrefix).value_or(0));
    StoredLog log;
    if (m_generation == 0) {
        const bool hasSnapshot
            = std::any_of(names->begin(), names->end(), [](const std::string &name) {
                  return numberIn(name, SnapshotPrefix).has_value();
              });
        if (hasSnapshot)
            return {Error::StorageFailed, "the data folder has a snapshot file but no log file"};
        return log;
    }
    const Result<std::string> bytes = m_folder.read(logName(m_generation));
    if (!bytes)
        return {bytes.error(), "cannot read " + logName(m_generation)};
    const Result<std::uint64_t> intactSize = replay(bytes.value(), log);
    if (!intactSize)
        return {intactSize.error(), intactSize.message()};
    if (intactSize.value() < bytes->size()) {
        logWarning("ledger.torn_tail", {{"bytes", bytes->size() - intactSize.value()}});
        if (const std::error_code error
            = m_folder.truncate(logName(m_generation), intactSize.value()))
            return {error, "cannot truncate the incomplete record at the end of the log file"};
    }
    m_logBytes = intactSize.value();
    return log;
}

Result<proto::LedgerSnapshot> LogStore::loadSnapshot(std::uint64_t index)
{
    const Result<std::string> bytes = m_folder.read(snapshotName(index));
    if (!bytes)
        return {Error::StorageFailed, "cannot read " + snapshotName(index)};
    const std::optional<Frame> frame = decodeFrame(FrameKind::Snapshot, bytes.value());
    proto::LedgerSnapshot snapshot;
    if (!frame || frame->size != bytes->size()
        || !snapshot.ParseFromString(std::string(frame->payload)) || snapshot.index() != index)
        return {Error::StorageFailed, "corrupt " + snapshotName(index)};
    return snapshot;
}

/// Adds the intact records at the start of @p bytes to @p log and returns their size in bytes.
Result<std::uint64_t> LogStore::replay(const std::string &bytes, StoredLog &log)
{
    std::size_t at = 0;
    while (at < bytes.size()) {
        const std::string_view rest = std::string_view(bytes).substr(at);
        const std::optional<Frame> frame = decodeFrame(FrameKind::Record, rest);
        if (!frame && (at == 0 || containsFrame(FrameKind::Record, rest.substr(1))))
            return {Error::StorageFailed,
                    "corrupt record at the start or in the middle of the log file"};
        if (!frame)
            break;
        proto::PersistRecord record;
        if (!record.ParseFromString(std::string(frame->payload)))
            return {Error::StorageFailed,
                    "a record of the log file has a valid checksum but cannot be parsed"};
        if (at == 0 && record.base_index() != 0) {
            Result<proto::LedgerSnapshot> snapshot = loadSnapshot(record.base_index());
            if (!snapshot)
                return {snapshot.error(), snapshot.message()};
            log.snapshot = std::move(snapshot).value();
        }
        replayRecord(record, log);
        at += frame->size;
    }
    if (at == 0 || !isContiguous(log))
        return {Error::StorageFailed,
                "the log file is empty or lacks entries between its first and last one"};
    return at;
}

/// Starts a new log file atomically with @p record as its first record.
std::error_code LogStore::startLog(const proto::PersistRecord &record)
{
    const std::string frame = encodeFrame(FrameKind::Record, record.SerializeAsString());
    if (const std::error_code error = m_folder.replace(logName(m_generation + 1), frame))
        return fail(error);
    ++m_generation;
    m_logBytes = frame.size();
    return {};
}

std::error_code LogStore::removeOld(std::uint64_t snapshotIndex)
{
    const Result<std::vector<std::string>> names = m_folder.list();
    if (!names)
        return fail(names.error());
    for (const std::string &name : names.value()) {
        const bool oldLog = numberIn(name, LogPrefix).value_or(m_generation) < m_generation;
        const bool oldSnapshot
            = numberIn(name, SnapshotPrefix).value_or(snapshotIndex) != snapshotIndex;
        if (!oldLog && !oldSnapshot)
            continue;
        if (const std::error_code error = m_folder.remove(name))
            return fail(error);
    }
    return {};
}

std::error_code LogStore::fail(std::error_code error)
{
    m_failed = true;
    logError("ledger.storage_failed", {{"reason", error.message()}});
    return make_error_code(Error::StorageFailed);
}

} // namespace gentianramp
