#pragma once

#include <gentianramp/ledger/data_folder.hpp>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace gentianramp::testing {

/// A file with the part of it that would survive a crash.
struct MemoryFile
{
    std::string bytes;
    std::size_t synced = 0;
    bool operator==(const MemoryFile &) const = default;
};

using MemoryFiles = std::map<std::string, MemoryFile>;

/// Faults that the next calls bring about.
enum class DiskFault {
    None,
    FailedSync,
    FullDisk, ///< Half of the bytes are written before the error.
    FailedReplace,
};

/// A data folder in memory that outlives the processes on it.
class MemoryDisk
{
public:
    DataFolder disk();
    /// Forgets what was not synced, but for a random torn part of it.
    void crash(std::mt19937_64 &random);

    MemoryFiles files;
    DiskFault fault = DiskFault::None;
};

} // namespace gentianramp::testing
