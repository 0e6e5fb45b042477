#pragma once

#include <cstdint>
#include <gentianramp/core/error.hpp>
#include <gentianramp/ledger/data_folder.hpp>
#include <optional>
#include <string>

namespace gentianramp {

/// Reads the seat for which the data folder @p dataFolder was prepared; empty if it was not
/// prepared completely.
Result<std::string> readSeat(const DataFolder &dataFolder);

/// Empties the folder and prepares it for @p seat. If @p founding is set, its voter may take part
/// in the first election of a new ledger.
std::error_code prepareSeat(const DataFolder &dataFolder, const std::string &seat, bool founding,
                            std::uint64_t seed);

/// Removes all files of the folder.
std::error_code emptyFolder(const DataFolder &dataFolder);

} // namespace gentianramp
