#pragma once

#include <cstdint>
#include <gentianramp/core/error.hpp>
#include <gentianramp/ledger/data_folder.hpp>
#include <optional>
#include <string>

namespace gentianramp {

/// The seat that the data folder behind @p disk was made for; empty text when the folder holds no
/// usable seat.
Result<std::string> readSeat(const DataFolder &disk);

/// Empties the folder and makes it one for @p seat; one that is @p founding may take part in the
/// first election of a new ledger.
std::error_code prepareSeat(const DataFolder &disk, const std::string &seat, bool founding,
                            std::uint64_t seed);

/// Removes all files.
std::error_code emptyFolder(const DataFolder &disk);

} // namespace gentianramp
