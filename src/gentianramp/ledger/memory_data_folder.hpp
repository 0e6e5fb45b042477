#pragma once

#include <gentianramp/ledger/data_folder.hpp>
#include <map>
#include <memory>
#include <optional>
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
    FailedFolderSync, ///< Files are renamed and removed, but their names are not durable.
};

/// A data folder in memory that outlives the simulated processes that use it.
class MemoryDataFolder
{
public:
    DataFolder disk();
    /// Simulates a loss of power: truncates each file at a random offset in its unsynced part;
    /// names that were not synced are kept or lost at random.
    void crash(std::mt19937_64 &random);

    MemoryFiles files;
    DiskFault fault = DiskFault::None;

private:
    /// Returns the result of a folder sync after @p name was changed, which had @p before.
    std::error_code finishNameChange(const std::string &name,
                                     const std::optional<MemoryFile> &before);
    std::error_code syncNames();

    /// What names that were changed since the last sync of the folder durably refer to.
    std::map<std::string, std::optional<MemoryFile>> m_durableNames;
};

} // namespace gentianramp::testing
