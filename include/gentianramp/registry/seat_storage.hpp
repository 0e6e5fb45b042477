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

    /// Notes how starting a ledger on the folder ended.
    void noteLedger(const std::error_code &error);
    /// True when the leader may offer a seat and prepare() may follow: the folder was prepared for
    /// no seat, or what it holds is damaged. Such a folder is of no use to its seat; a leader, who
    /// alone makes offers, has a majority without it. A folder that is full or can't be read now
    /// keeps its seat.
    bool takesSeat() const { return m_usable && (m_seat.empty() || m_damaged); }

    /// Empty until open() has succeeded in opening the folder.
    const std::optional<DataFolder> &folder() const { return m_folder; }
    /// False after a failure until the next success: the folder can't take a seat now.
    bool usable() const { return m_usable; }

private:
    std::filesystem::path m_path;
    OpenFolderHook m_open;
    std::optional<DataFolder> m_folder;
    std::string m_seat;
    bool m_usable = false;
    bool m_writeFailed = false; ///< The last attempt to prepare or to empty the folder failed.
    bool m_damaged = false;
};

} // namespace gentianramp
