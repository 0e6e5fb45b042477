#include "frame.hpp"
#include "memory_data_folder.hpp"

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

std::uint64_t lastIndexOnDisk(const MemoryDataFolder &disk)
{
    MemoryDataFolder copy = disk;
    LogStore store(copy.disk());
    const Result<StoredLog> log = store.open(2);
    cr_assert(log, "%s", log.message().c_str());
    return log->entries.empty() ? log->snapshot.index() : log->entries.back().index();
}

void writeAfterRestart(MemoryDataFolder &disk, std::uint64_t index)
{
    LogStore store(disk.disk());
    cr_assert(store.open(2));
    cr_assert_not(store.write(std::nullopt, recordWith(index, "acknowledged")));
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
        cr_assert(openError(broken) == make_error_code(Error::StorageDamaged), "byte %zu", at);
    }
}

Test(LogStore, RecordsWrittenTogetherAreLostTogether)
{
    // A loss of power may leave out any part of a write that was not synced, also its beginning.
    MemoryDataFolder disk;
    LogStore store(disk.disk());
    cr_assert(store.open(1));
    cr_assert_not(store.write(std::nullopt, recordWith(1, "command")));
    const std::string synced = disk.files.at(FirstLog).bytes;
    cr_assert_not(store.write({recordWith(2, "command"), recordWith(3, "command")}));
    std::string &bytes = disk.files.at(FirstLog).bytes;
    bytes.replace(synced.size(), 24, 24, '\0');
    cr_assert_eq(entriesOnDisk(disk), 1);
}

Test(LogStore, RecordsWrittenTogetherReadAsIfWrittenOneByOne)
{
    proto::PersistRecord overwriting = recordWith(3, "newer");
    overwriting.set_truncate_from(3);
    proto::PersistRecord shortening = recordWith(5, "newest");
    shortening.set_truncate_from(5);
    shortening.mutable_hard_state()->set_term(7);
    const std::vector<proto::PersistRecord> records{recordWith(4, "old"), overwriting,
                                                    recordWith(4, "newer"), recordWith(5, "old"),
                                                    shortening};
    MemoryDataFolder together = filledDisk();
    MemoryDataFolder apart = filledDisk();
    LogStore first(together.disk());
    LogStore second(apart.disk());
    cr_assert(first.open(2) && second.open(2));
    cr_assert_not(first.write(records));
    for (const proto::PersistRecord &record : records)
        cr_assert_not(second.write(std::nullopt, record));
    LogStore third(together.disk());
    LogStore fourth(apart.disk());
    const Result<StoredLog> merged = third.open(3);
    const Result<StoredLog> single = fourth.open(3);
    cr_assert(merged && single);
    cr_assert_eq(merged->entries.size(), 5);
    cr_assert_eq(merged->hardState.term(), 7);
    cr_assert_eq(merged->hardState.SerializeAsString(), single->hardState.SerializeAsString());
    for (std::size_t i = 0; i < single->entries.size(); ++i)
        cr_assert_eq(merged->entries[i].SerializeAsString(),
                     single->entries[i].SerializeAsString());
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
    cr_assert(openError(disk) == make_error_code(Error::StorageDamaged));
    disk.files.erase("snapshot-2");
    cr_assert(openError(disk) == make_error_code(Error::StorageDamaged));
}

Test(LogStore, AFolderThatCannotBeReadOrWrittenIsNotDamaged)
{
    for (const DiskFault fault :
         {DiskFault::FullDisk, DiskFault::FailedReplace, DiskFault::FailedFolderSync}) {
        MemoryDataFolder disk = filledDisk();
        disk.fault = fault;
        cr_assert(openError(disk) == make_error_code(Error::StorageFailed));
    }
    MemoryDataFolder disk = filledDisk();
    DataFolder unreadable = disk.disk();
    unreadable.read = [](const std::string &) -> Result<std::string> {
        return std::make_error_code(std::errc::io_error);
    };
    LogStore store(unreadable);
    cr_assert(store.open(2).error() == make_error_code(Error::StorageFailed));
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

Test(LogStore, EntriesSurviveACrashAfterASnapshotWasNamedWithoutSync)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        MemoryDataFolder disk = filledDisk();
        {
            LogStore store(disk.disk());
            cr_assert(store.open(2));
            disk.fault = DiskFault::FailedFolderSync;
            proto::LedgerSnapshot snapshot;
            snapshot.set_index(3);
            proto::PersistRecord record;
            record.mutable_hard_state()->set_identity(9);
            record.set_base_index(3);
            cr_assert(store.write(snapshot, record));
            disk.kill();
        }
        writeAfterRestart(disk, 4);
        std::mt19937_64 random(seed);
        disk.crash(random);
        cr_assert_eq(lastIndexOnDisk(disk), 4, "seed %lu", static_cast<unsigned long>(seed));
    }
}

// A process was killed between the renaming of a new log and the sync of the folder; its successor
// acknowledged entries that it had appended to that log, whose name a loss of power undid.
Test(LogStore, EntriesSurviveACrashAfterANewLogWasNamedWithoutSync)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        MemoryDataFolder disk = filledDisk();
        proto::LedgerSnapshot snapshot;
        snapshot.set_index(3);
        proto::PersistRecord record;
        record.mutable_hard_state()->set_identity(9);
        record.set_base_index(3);
        DataFolder hooks = disk.disk();
        hooks.replace
            = [&disk, replace = hooks.replace](const std::string &name, std::string_view bytes) {
                  if (name.starts_with("log-") && name != FirstLog)
                      disk.fault = DiskFault::FailedFolderSync;
                  return replace(name, bytes);
              };
        {
            LogStore store(hooks);
            store.open(2);
            store.write(snapshot, record);
            disk.kill();
        }
        const std::size_t last = lastIndexOnDisk(disk);
        writeAfterRestart(disk, last + 1);
        std::mt19937_64 random(seed);
        disk.crash(random);
        cr_assert_eq(lastIndexOnDisk(disk), last + 1, "seed %lu", static_cast<unsigned long>(seed));
    }
}

// A sync failed, the log was opened again and read from memory, and a later sync succeeded without
// the bytes that the first one had left out.
Test(LogStore, EntriesSurviveACrashAfterAnEarlierSyncFailed)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        MemoryDataFolder disk = filledDisk();
        {
            LogStore store(disk.disk());
            cr_assert(store.open(2));
            disk.fault = DiskFault::FailedSync;
            cr_assert(store.write(std::nullopt, recordWith(4, "not synced")));
            disk.kill();
        }
        const std::size_t last = lastIndexOnDisk(disk);
        writeAfterRestart(disk, last + 1);
        std::mt19937_64 random(seed);
        disk.crash(random);
        cr_assert_eq(lastIndexOnDisk(disk), last + 1, "seed %lu", static_cast<unsigned long>(seed));
    }
}

// Records that were written together were torn by a loss of power: the second one was on the disk,
// the first one was not, and the log could not be opened again, although all that had been synced
// was there.
Test(LogStore, OpensAfterACrashThatToreRecordsWrittenTogether)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        MemoryDataFolder disk = filledDisk();
        DataFolder hooks = disk.disk();
        hooks.sync = [](const std::string &) { return std::make_error_code(std::errc::io_error); };
        LogStore store(hooks);
        cr_assert(store.open(2));
        cr_assert(store.write({recordWith(4, "written"), recordWith(5, "together")}));
        std::mt19937_64 random(seed);
        disk.crash(random);
        cr_assert_geq(lastIndexOnDisk(disk), 3, "seed %lu", static_cast<unsigned long>(seed));
    }
}

Test(LogStore, KeepsOneLogAndItsSnapshot)
{
    MemoryDataFolder disk = filledDisk();
    for (int restart = 0; restart < 3; ++restart)
        cr_assert_eq(entriesOnDisk(disk), 3);
    cr_assert_eq(disk.files.size(), 1);
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
