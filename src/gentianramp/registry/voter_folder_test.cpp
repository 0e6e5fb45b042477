#include <gentianramp/registry/voter_folder.hpp>

#include <gentianramp/ledger/log_store.hpp>

#include "gentianramp/ledger/memory_data_folder.hpp"

#include <criterion/criterion.h>

using namespace gentianramp;
using gentianramp::testing::DiskFault;
using gentianramp::testing::MemoryDataFolder;

namespace {

/// A folder of a seat with a log and a snapshot.
MemoryDataFolder folderWithSnapshot()
{
    MemoryDataFolder memory;
    cr_assert_not(prepareSeat(memory.disk(), "seat-2", false, 7));
    LogStore store(memory.disk());
    cr_assert(store.open(8));
    proto::LedgerSnapshot snapshot;
    snapshot.set_index(3);
    proto::PersistRecord record;
    record.set_base_index(3);
    cr_assert_not(store.write(snapshot, record));
    return memory;
}

/// The folder @p memory with operations that fail from the @p count-th removal on.
DataFolder failingAfter(MemoryDataFolder &memory, int count)
{
    DataFolder folder = memory.disk();
    folder.remove = [count, remove = folder.remove](const std::string &name) mutable {
        return --count < 0 ? std::make_error_code(std::errc::io_error) : remove(name);
    };
    return folder;
}

} // namespace

Test(voter_folder, emptyFolderHasNoSeat)
{
    MemoryDataFolder memory;
    cr_assert_eq(readSeat(memory.disk()).value(), "");
}

Test(voter_folder, preparedFolderHasItsSeat)
{
    MemoryDataFolder memory;
    cr_assert_not(prepareSeat(memory.disk(), "seat-2", true, 7));
    cr_assert_eq(readSeat(memory.disk()).value(), "seat-2");
    LogStore store(memory.disk());
    const Result<StoredLog> log = store.open(8);
    cr_assert(log);
    cr_assert(log->hardState.founding());
}

Test(voter_folder, folderPreparedAgainDoesNotInitialiseANewLedger)
{
    MemoryDataFolder memory;
    cr_assert_not(prepareSeat(memory.disk(), "seat-2", true, 7));
    cr_assert_not(prepareSeat(memory.disk(), "seat-3", false, 9));
    cr_assert_eq(readSeat(memory.disk()).value(), "seat-3");
    LogStore store(memory.disk());
    const Result<StoredLog> log = store.open(8);
    cr_assert(log);
    cr_assert_not(log->hardState.founding());
}

Test(voter_folder, preparingFailsOnAFullDisk)
{
    MemoryDataFolder memory;
    memory.fault = DiskFault::FullDisk;
    cr_assert(prepareSeat(memory.disk(), "seat-1", false, 7));
    memory.fault = DiskFault::None;
    cr_assert_eq(readSeat(memory.disk()).value(), "");
}

// A process that was killed while it emptied its folder left a seat whose log or snapshot was gone,
// which no later start could open.
Test(voter_folder, incompletelyEmptiedFolderHasNoSeat)
{
    const MemoryDataFolder prepared = folderWithSnapshot();
    const int names = static_cast<int>(prepared.files.size());
    for (int removed = 1; removed < names; ++removed) {
        MemoryDataFolder memory = prepared;
        cr_assert(emptyFolder(failingAfter(memory, removed)));
        cr_assert_eq(readSeat(memory.disk()).value(), "", "%d names removed", removed);
    }
}
