#pragma once

#include <gentianramp/ledger/data_folder.hpp>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace gentianramp::testing {

/// Bytes of a file from `begin` to before `end`.
struct ByteRange
{
    std::size_t begin = 0;
    std::size_t end = 0;
    bool operator==(const ByteRange &) const = default;
};

/// A file and the size of its synced part, which survives a crash.
struct MemoryFile
{
    std::string bytes;
    std::size_t synced = 0;
    /// What a failed sync left out. It can be read until the crash; no later sync writes it.
    std::vector<ByteRange> lost;
    bool operator==(const MemoryFile &) const = default;
};

using MemoryFiles = std::map<std::string, MemoryFile>;

/// A name that was added, replaced or removed since the last sync of the folder.
struct UnsyncedName
{
    std::string name;
    std::optional<MemoryFile> before;
    bool operator==(const UnsyncedName &) const = default;
};

/// Fault that all following calls simulate.
enum class DiskFault {
    None,
    FailedSync,
    FullDisk, ///< Half of the bytes are written before the error.
    FailedReplace,
    /// A name is changed but the folder is not synced: the sync failed, or the process was killed
    /// before it.
    FailedFolderSync,
};

/// A data folder in memory that outlives the simulated processes that use it.
class MemoryDataFolder
{
public:
    DataFolder disk();
    /// Simulates a crash of the machine: undoes a random number of the newest unsynced changes of
    /// names, truncates each file at a random offset in its unsynced part and clears some of the
    /// ranges that a failed sync left out.
    void crash(std::mt19937_64 &random);
    /// Simulates that the process is killed while the machine runs on: unsynced data stays as it
    /// is.
    void kill() { fault = DiskFault::None; }

    MemoryFiles files;
    std::vector<UnsyncedName> unsyncedNames;
    DiskFault fault = DiskFault::None;
};

} // namespace gentianramp::testing
