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

/// One record with the effect of @p records in their order, which are not the first of a file.
proto::PersistRecord joined(const std::vector<proto::PersistRecord> &records)
{
    proto::PersistRecord all;
    for (const proto::PersistRecord &record : records) {
        if (record.has_hard_state())
            *all.mutable_hard_state() = record.hard_state();
        auto &entries = *all.mutable_entries();
        if (const std::uint64_t from = record.truncate_from(); from != 0) {
            while (!entries.empty() && entries.rbegin()->index() >= from)
                entries.RemoveLast();
            const std::uint64_t earlier = all.truncate_from();
            all.set_truncate_from(earlier == 0 ? from : std::min(earlier, from));
        }
        entries.MergeFrom(record.entries());
    }
    return all;
}

/// The record with which a log file that holds @p log starts.
proto::PersistRecord fullRecord(const StoredLog &log)
{
    proto::PersistRecord record;
    *record.mutable_hard_state() = log.hardState;
    record.set_base_index(log.snapshot.index());
    record.mutable_entries()->Add(log.entries.begin(), log.entries.end());
    return record;
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
    Result<StoredLog> loaded = load();
    if (!loaded)
        return {failOpening(loaded.error()), loaded.message()};
    StoredLog log = std::move(loaded).value();
    if (m_generation == 0)
        log.hardState.set_identity(newIdentity(seed));
    log.hardState.set_boot(log.hardState.boot() + 1);
    // What was read need not be durable: the log file may have got its name without a sync of the
    // folder, and bytes that a failed sync left out can still be read. A new file is durable as a
    // whole.
    if (startLog(fullRecord(log)) || removeOld(log.snapshot.index()))
        return {Error::StorageFailed, "cannot write a new log file in the data folder"};
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
    return write(std::vector{record});
}

std::error_code LogStore::write(const std::vector<proto::PersistRecord> &records)
{
    if (m_failed)
        return make_error_code(Error::StorageFailed);
    // A loss of power may leave any part of a write that was not synced. With one checksum for all
    // of it, such a write can't be taken for damage to what was synced before.
    const std::string frame = encodeFrame(FrameKind::Record, joined(records).SerializeAsString());
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
            return {Error::StorageDamaged, "the data folder has a snapshot file but no log file"};
        return log;
    }
    const Result<std::string> bytes = m_folder.read(logName(m_generation));
    if (!bytes)
        return {bytes.error(), "cannot read " + logName(m_generation)};
    const Result<std::uint64_t> intactSize = replay(bytes.value(), log);
    if (!intactSize)
        return {intactSize.error(), intactSize.message()};
    if (intactSize.value() < bytes->size())
        logWarning("ledger.torn_tail", {{"bytes", bytes->size() - intactSize.value()}});
    return log;
}

Result<proto::LedgerSnapshot> LogStore::loadSnapshot(std::uint64_t index)
{
    const Result<std::string> bytes = m_folder.read(snapshotName(index));
    if (!bytes) {
        const bool missing = bytes.error() == std::errc::no_such_file_or_directory;
        return {missing ? Error::StorageDamaged : Error::StorageFailed,
                "cannot read " + snapshotName(index)};
    }
    const std::optional<Frame> frame = decodeFrame(FrameKind::Snapshot, bytes.value());
    proto::LedgerSnapshot snapshot;
    if (!frame || frame->size != bytes->size()
        || !snapshot.ParseFromString(std::string(frame->payload)) || snapshot.index() != index)
        return {Error::StorageDamaged, "corrupt " + snapshotName(index)};
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
            return {Error::StorageDamaged,
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
        return {Error::StorageDamaged,
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

/// Keeps apart a damaged folder from one that can't be read or written.
std::error_code LogStore::failOpening(std::error_code error)
{
    const std::error_code failed = fail(error);
    return error == Error::StorageDamaged ? error : failed;
}

} // namespace gentianramp
