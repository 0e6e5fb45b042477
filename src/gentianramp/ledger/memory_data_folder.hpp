#pragma once

#include <gentianramp/ledger/data_folder.hpp>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace gentianramp::testing {

/// A file and the size of its synced part, which survives a crash.
struct MemoryFile
{
    std::string bytes;
    std::size_t synced = 0;
    bool operator==(const MemoryFile &) const = default;
};

using MemoryFiles = std::map<std::string, MemoryFile>;

/// Fault that all following calls simulate.
enum class DiskFault {
    None,
    FailedSync,
    FullDisk, ///< Half of the bytes are written before the error.
    FailedReplace,
};

/// A data folder in memory that outlives the simulated processes that use it.
class MemoryDataFolder
{
public:
    DataFolder disk();
    /// Simulates a crash: truncates each file at a random offset in its unsynced part.
    void crash(std::mt19937_64 &random);

    MemoryFiles files;
    DiskFault fault = DiskFault::None;
};

} // namespace gentianramp::testing
