#include <gentianramp/registry/voter_folder.hpp>

#include <gentianramp/ledger/log_store.hpp>

#include "gentianramp/ledger/memory_data_folder.hpp"

#include <criterion/criterion.h>

using namespace gentianramp;
using gentianramp::testing::DiskFault;
using gentianramp::testing::MemoryDataFolder;

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
