#include <gentianramp/registry/seat_storage.hpp>

#include <gentianramp/ledger/log_store.hpp>
#include <memory>

#include "gentianramp/ledger/memory_data_folder.hpp"

#include <criterion/criterion.h>

using namespace gentianramp;
using gentianramp::testing::DiskFault;
using gentianramp::testing::MemoryDataFolder;

namespace {

/// A folder in memory that can be opened only while no copy of an earlier opening exists, as a lock
/// on a real folder has it.
class LockedFolder
{
public:
    OpenFolderHook hook()
    {
        return [this](const std::filesystem::path &) -> Result<DataFolder> {
            if (!m_lock.expired())
                return {make_error_code(std::errc::resource_unavailable_try_again), "locked"};
            const auto lock = std::make_shared<int>();
            m_lock = lock;
            DataFolder folder = memory.disk();
            folder.list = [lock, list = folder.list] { return list(); };
            return folder;
        };
    }

    MemoryDataFolder memory;

private:
    std::weak_ptr<int> m_lock;
};

} // namespace

// A voter whose disk was full when its ledger was opened again never came back: the folder was
// opened a second time while the process still held its lock.
Test(seat_storage, folderIsUsableAgainAfterALedgerFailedToOpen)
{
    LockedFolder disk;
    SeatStorage storage("folder", disk.hook());
    cr_assert_eq(storage.open().value(), "");
    cr_assert_not(storage.prepare("seat-1", true, 7));
    disk.memory.fault = DiskFault::FullDisk;
    for (int attempt = 0; attempt < 3; ++attempt) {
        cr_assert_eq(storage.open().value(), "seat-1");
        LogStore store(*storage.folder());
        cr_assert_not(store.open(8));
    }
    disk.memory.fault = DiskFault::None;
    cr_assert_eq(storage.open().value(), "seat-1");
    LogStore store(*storage.folder());
    cr_assert(store.open(8));
}

Test(seat_storage, folderThatCannotBePreparedIsNotUsableUntilItCan)
{
    LockedFolder disk;
    SeatStorage storage("folder", disk.hook());
    cr_assert_not(storage.usable());
    cr_assert(storage.open());
    cr_assert(storage.usable());
    disk.memory.fault = DiskFault::FailedReplace;
    cr_assert(storage.prepare("seat-2", false, 7));
    cr_assert_not(storage.usable());
    disk.memory.fault = DiskFault::None;
    cr_assert_eq(storage.open().value(), "");
    cr_assert(storage.usable());
    cr_assert_not(storage.prepare("seat-2", false, 7));
    cr_assert_eq(storage.open().value(), "seat-2");
}

// A spare with a full disk was offered the vacant seat again and again, because its folder could be
// read.
Test(seat_storage, folderOnAFullDiskIsNotUsableAfterItIsReadAgain)
{
    LockedFolder disk;
    SeatStorage storage("folder", disk.hook());
    cr_assert(storage.open());
    disk.memory.fault = DiskFault::FullDisk;
    cr_assert(storage.prepare("seat-2", false, 7));
    cr_assert_eq(storage.open().value(), "");
    cr_assert_not(storage.usable());
    disk.memory.fault = DiskFault::None;
    cr_assert_eq(storage.open().value(), "");
    cr_assert(storage.usable());
}

// A voter whose folder was damaged was refused at each start, as long as nobody emptied the folder.
Test(seat_storage, damagedFolderTakesASeatAgain)
{
    LockedFolder disk;
    SeatStorage storage("folder", disk.hook());
    cr_assert(storage.open());
    cr_assert_not(storage.prepare("seat-1", true, 7));
    const std::uint64_t identity = LogStore(*storage.folder()).open(8)->hardState.identity();
    for (auto &[name, file] : disk.memory.files) {
        if (name != "seat")
            file.bytes.front() ^= 1;
    }
    cr_assert_eq(storage.open().value(), "seat-1");
    cr_assert_not(storage.takesSeat(), "the damage is not known yet");
    storage.noteLedger(LogStore(*storage.folder()).open(8).error());
    cr_assert(storage.takesSeat());
    cr_assert_not(storage.prepare("seat-1", false, 9));
    cr_assert_not(storage.takesSeat());
    const Result<StoredLog> log = LogStore(*storage.folder()).open(10);
    cr_assert(log);
    cr_assert_neq(log->hardState.identity(), identity, "the folder counts as a new one");
    cr_assert_not(log->hardState.founding());
}

Test(seat_storage, folderThatCannotBeReadOrWrittenKeepsItsSeat)
{
    for (const DiskFault fault :
         {DiskFault::FullDisk, DiskFault::FailedReplace, DiskFault::FailedFolderSync}) {
        LockedFolder disk;
        SeatStorage storage("folder", disk.hook());
        cr_assert(storage.open());
        cr_assert(storage.takesSeat());
        cr_assert_not(storage.prepare("seat-1", false, 7));
        cr_assert_not(LogStore(*storage.folder()).open(8).error());
        disk.memory.fault = fault;
        cr_assert_eq(storage.open().value(), "seat-1");
        const std::error_code error = LogStore(*storage.folder()).open(9).error();
        cr_assert(error);
        storage.noteLedger(error);
        cr_assert_not(storage.takesSeat());
    }
}

Test(seat_storage, anotherProcessKeepsTheFolder)
{
    LockedFolder disk;
    SeatStorage owner("folder", disk.hook());
    cr_assert(owner.open());
    SeatStorage other("folder", disk.hook());
    cr_assert_not(other.open());
    cr_assert_not(other.usable());
    cr_assert(other.prepare("seat-1", false, 7));
}
