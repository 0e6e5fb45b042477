#pragma once

#include <cstdint>
#include <filesystem>
#include <functional>
#include <gentianramp/core/error.hpp>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace gentianramp {

/// Operations on the files of one data folder; names are relative to it. Tests replace the
/// functions to inject faults. All calls block.
struct DataFolder
{
    /// Names of all files in the folder.
    std::function<Result<std::vector<std::string>>()> list;
    std::function<Result<std::string>(const std::string &name)> read;
    /// Appends to an existing file; the bytes are durable only after sync().
    std::function<std::error_code(const std::string &name, std::string_view bytes)> append;
    /// Makes all bytes of an existing file durable, also those that an earlier process wrote.
    std::function<std::error_code(const std::string &name)> sync;
    /// Truncates the file to @p size bytes and syncs it.
    std::function<std::error_code(const std::string &name, std::uint64_t size)> truncate;
    /// Replaces the file atomically: temporary file, sync, rename, sync of the folder.
    std::function<std::error_code(const std::string &name, std::string_view bytes)> replace;
    std::function<std::error_code(const std::string &name)> remove;
    /// Makes all names durable as list() returns them, including those of files that an earlier
    /// process renamed or removed without getting to the sync of the folder.
    std::function<std::error_code()> syncNames;
};

/// Opens @p folder, which is created when it is missing, and locks it against other processes.
Result<DataFolder> openFolder(const std::filesystem::path &folder);

} // namespace gentianramp
