#pragma once

#include <cstdint>
#include <filesystem>
#include <functional>
#include <gentianramp/core/error.hpp>
#include <gentianramp/ledger/data_folder.hpp>
#include <optional>
#include <string>

namespace gentianramp {

/// Opens and locks a data folder.
using OpenFolderHook = std::function<Result<DataFolder>(const std::filesystem::path &)>;

/// Data folder of a registry process and the seat that it was prepared for. Once opened, the folder
/// stays open and locked while the object lives: a ledger that failed is started again on it,
/// without competing for the lock with its predecessor in the same process.
class SeatStorage
{
public:
    explicit SeatStorage(std::filesystem::path path, OpenFolderHook open = openFolder);

    /// Opens the folder unless it is open and reads its seat, which is empty for a spare.
    Result<std::string> open();
    /// Empties the folder and prepares it for @p seat, see prepareSeat().
    std::error_code prepare(const std::string &seat, bool founding, std::uint64_t seed);
    /// Removes all files, so that the process is a spare.
    std::error_code release();

    /// Empty until open() has succeeded in opening the folder.
    const std::optional<DataFolder> &folder() const { return m_folder; }
    /// False after a failure until the next success: the folder can't take a seat now.
    bool usable() const { return m_usable; }

private:
    std::filesystem::path m_path;
    OpenFolderHook m_open;
    std::optional<DataFolder> m_folder;
    bool m_usable = false;
    bool m_writeFailed = false; ///< The last attempt to prepare or to empty the folder failed.
};

} // namespace gentianramp
