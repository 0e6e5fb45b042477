#include "frame.hpp"
#include "memory_data_folder.hpp"

#include <algorithm>
#include <filesystem>
#include <gentianramp/ledger/log_store.hpp>
#include <unistd.h>

#include <criterion/criterion.h>

using namespace gentianramp;
using namespace gentianramp::testing;

namespace {

constexpr const char *FirstLog = "log-1";

proto::PersistRecord recordWith(std::uint64_t index, const std::string &command)
{
    proto::PersistRecord record;
    record.mutable_hard_state()->set_identity(9);
    proto::LogEntry &entry = *record.add_entries();
    entry.set_index(index);
    entry.set_term(1);
    entry.set_command(command);
    return record;
}

/// A folder whose log holds the entries 1 to 3.
MemoryDataFolder filledDisk()
{
    MemoryDataFolder disk;
    LogStore store(disk.disk());
    cr_assert(store.open(1));
    for (std::uint64_t index = 1; index <= 3; ++index)
        cr_assert_not(store.write(std::nullopt, recordWith(index, "command")));
    return disk;
}

std::size_t entriesOnDisk(MemoryDataFolder &disk)
{
    LogStore store(disk.disk());
    const Result<StoredLog> log = store.open(2);
    cr_assert(log, "%s", log.message().c_str());
    return log->entries.size();
}

std::error_code openError(MemoryDataFolder &disk)
{
    LogStore store(disk.disk());
    return store.open(2).error();
}

} // namespace

Test(LogStore, EmptyFolderGetsAPersistentIdentity)
{
    MemoryDataFolder disk;
    LogStore store(disk.disk());
    const Result<StoredLog> first = store.open(1);
    LogStore again(disk.disk());
    const Result<StoredLog> second = again.open(2);
    cr_assert_neq(first->hardState.identity(), 0);
    cr_assert_eq(first->hardState.identity(), second->hardState.identity());
    cr_assert_eq(second->hardState.boot(), first->hardState.boot() + 1);
    cr_assert_not(second->hardState.founding());
}

Test(LogStore, InitialisesOnlyAnEmptyFolder)
{
    MemoryDataFolder disk = filledDisk();
    LogStore store(disk.disk());
    cr_assert(store.initialise(1) == make_error_code(Error::InvalidArgument));
}

Test(LogStore, TruncatesAnIncompleteLastRecord)
{
    for (std::size_t lost = 1; lost < 20; ++lost) {
        MemoryDataFolder disk = filledDisk();
        disk.files[FirstLog].bytes.resize(disk.files[FirstLog].bytes.size() - lost);
        cr_assert_eq(entriesOnDisk(disk), 2);
        cr_assert_eq(entriesOnDisk(disk), 2, "the truncation is persistent");
    }
}

Test(LogStore, FailsOnACorruptRecordBeforeTheLastOne)
{
    MemoryDataFolder disk = filledDisk();
    std::string &bytes = disk.files[FirstLog].bytes;
    // Every 7th byte. The last 64 bytes belong to the last record, where damage counts as an
    // incomplete write.
    for (std::size_t at = 0; at + 64 < bytes.size(); at += 7) {
        MemoryDataFolder broken = disk;
        broken.files[FirstLog].bytes[at] ^= 0x20;
        cr_assert(openError(broken) == make_error_code(Error::StorageFailed), "byte %zu", at);
    }
}

Test(LogStore, FailedSyncStopsTheStore)
{
    MemoryDataFolder disk = filledDisk();
    LogStore store(disk.disk());
    cr_assert(store.open(2));
    disk.fault = DiskFault::FailedSync;
    cr_assert(store.write(std::nullopt, recordWith(4, "lost")) == Error::StorageFailed);
    disk.fault = DiskFault::None;
    cr_assert(store.write(std::nullopt, recordWith(4, "late")) == Error::StorageFailed,
              "a store refuses writes after a failed one");
    cr_assert(store.failed());
}

Test(LogStore, FullDiskStopsTheStore)
{
    MemoryDataFolder disk = filledDisk();
    LogStore store(disk.disk());
    cr_assert(store.open(2));
    disk.fault = DiskFault::FullDisk;
    cr_assert(store.write(std::nullopt, recordWith(4, "lost")) == Error::StorageFailed);
    disk.fault = DiskFault::None;
    cr_assert_eq(entriesOnDisk(disk), 3);
}

Test(LogStore, SnapshotReplacesTheLog)
{
    MemoryDataFolder disk = filledDisk();
    LogStore store(disk.disk());
    cr_assert(store.open(2));
    proto::LedgerSnapshot snapshot;
    snapshot.set_index(2);
    snapshot.set_state("state");
    proto::PersistRecord record = recordWith(3, "after");
    record.set_base_index(2);
    cr_assert_not(store.write(snapshot, record));
    cr_assert_eq(disk.files.size(), 2);
    LogStore again(disk.disk());
    const Result<StoredLog> log = again.open(3);
    cr_assert(log, "%s", log.message().c_str());
    cr_assert_eq(log->snapshot.state(), "state");
    cr_assert_eq(log->entries.size(), 1);
    disk.files["snapshot-2"].bytes.back() ^= 1;
    cr_assert(openError(disk) == make_error_code(Error::StorageFailed));
}

Test(LogStore, KeepsTheLogWhenWritingASnapshotFails)
{
    MemoryDataFolder disk = filledDisk();
    LogStore store(disk.disk());
    cr_assert(store.open(2));
    disk.fault = DiskFault::FailedReplace;
    proto::LedgerSnapshot snapshot;
    snapshot.set_index(3);
    proto::PersistRecord record;
    record.set_base_index(3);
    cr_assert(store.write(snapshot, record) == Error::StorageFailed);
    disk.fault = DiskFault::None;
    cr_assert_eq(entriesOnDisk(disk), 3);
}

Test(LogStore, OpensARealFolderOnlyOnce)
{
    const std::filesystem::path folder = std::filesystem::temp_directory_path()
        / ("gentianramp-log-store-test-" + std::to_string(::getpid()));
    {
        Result<DataFolder> dataFolder = openFolder(folder);
        cr_assert(dataFolder);
        cr_assert_not(openFolder(folder));
        LogStore store(dataFolder.value());
        cr_assert(store.open(1));
        cr_assert_not(store.write(std::nullopt, recordWith(1, "kept")));
    }
    Result<DataFolder> dataFolder = openFolder(folder);
    cr_assert(dataFolder, "%s", dataFolder.message().c_str());
    LogStore store(dataFolder.value());
    const Result<StoredLog> log = store.open(1);
    cr_assert(log, "%s", log.message().c_str());
    cr_assert_eq(log->entries.size(), 1);
    std::filesystem::remove_all(folder);
}

// A process that ended, or whose disk failed, between the renaming of a new log file and the sync
// of the folder left a name that was not durable. The next one wrote to that file and lost all of
// it, and what it had acknowledged, at a loss of power.
Test(LogStore, KeepsRecordsOfALogFileWhoseNameWasNotDurable)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        MemoryDataFolder disk = filledDisk();
        DataFolder folder = disk.disk();
        folder.replace = [&disk, replace = folder.replace](const std::string &name,
                                                           std::string_view bytes) {
            disk.fault = name.starts_with("log-") ? DiskFault::FailedFolderSync : DiskFault::None;
            return replace(name, bytes);
        };
        LogStore store(folder);
        cr_assert(store.open(2));
        proto::LedgerSnapshot snapshot;
        snapshot.set_index(3);
        proto::PersistRecord record;
        record.set_base_index(3);
        cr_assert(store.write(snapshot, record));
        disk.fault = DiskFault::None;
        LogStore next(disk.disk());
        cr_assert(next.open(3));
        cr_assert_not(next.write(std::nullopt, recordWith(4, "acknowledged")));
        std::mt19937_64 random(seed);
        disk.crash(random);
        LogStore last(disk.disk());
        const Result<StoredLog> log = last.open(4);
        cr_assert(log, "seed %zu: %s", static_cast<std::size_t>(seed), log.message().c_str());
        cr_assert_not(log->entries.empty());
        cr_assert_eq(log->entries.back().command(), "acknowledged");
    }
}

Test(LogStore, DoesNotOpenWhileTheFolderCannotBeSynced)
{
    MemoryDataFolder disk = filledDisk();
    disk.fault = DiskFault::FailedFolderSync;
    cr_assert(openError(disk));
    disk.fault = DiskFault::None;
    cr_assert_eq(entriesOnDisk(disk), 3);
}

// After a sync that failed, or a process that ended during one, the next process wrote its record
// behind bytes that were not durable. A loss of power may keep the later of two such writes alone,
// which looks like a corrupt record in the middle, and the folder could not be opened any more.
Test(LogStore, WritesNothingBehindBytesThatAreNotDurable)
{
    MemoryDataFolder disk = filledDisk();
    disk.fault = DiskFault::FailedSync;
    cr_assert(openError(disk));
    disk.fault = DiskFault::None;
    DataFolder folder = disk.disk();
    folder.append
        = [&disk, append = folder.append](const std::string &name, std::string_view bytes) {
              MemoryFile &file = disk.files[name];
              std::fill(file.bytes.begin() + static_cast<std::ptrdiff_t>(file.synced),
                        file.bytes.end(), '\0');
              cr_assert_not(append(name, bytes));
              file.synced = file.bytes.size();
              return std::make_error_code(std::errc::io_error);
          };
    LogStore interrupted(folder);
    cr_assert_not(interrupted.open(3));
    cr_assert_eq(entriesOnDisk(disk), 3);
}
