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

/// Access to the files of one data folder; names are relative to it. Tests replace the hooks to
/// bring about faults. All calls block.
struct DataFolder
{
    /// Names of all files in the folder.
    std::function<Result<std::vector<std::string>>()> list;
    std::function<Result<std::string>(const std::string &name)> read;
    /// Appends to an existing file; the bytes last only after sync().
    std::function<std::error_code(const std::string &name, std::string_view bytes)> append;
    std::function<std::error_code(const std::string &name)> sync;
    /// Cuts the file to @p size bytes and syncs it.
    std::function<std::error_code(const std::string &name, std::uint64_t size)> truncate;
    /// Puts a whole synced file in place: temporary file, sync, rename, sync of the folder.
    std::function<std::error_code(const std::string &name, std::string_view bytes)> replace;
    std::function<std::error_code(const std::string &name)> remove;
};

/// Files under @p folder, which is made when it is missing and locked against other processes.
Result<DataFolder> openFolder(const std::filesystem::path &folder);

} // namespace gentianramp
