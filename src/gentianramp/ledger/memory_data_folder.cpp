#include "memory_data_folder.hpp"

#include <algorithm>

namespace gentianramp::testing {

namespace {

std::error_code ioError()
{
    return std::make_error_code(std::errc::io_error);
}

std::error_code appendTo(MemoryDataFolder &disk, const std::string &name, std::string_view bytes)
{
    const auto file = disk.files.find(name);
    if (file == disk.files.end())
        return std::make_error_code(std::errc::no_such_file_or_directory);
    if (disk.fault == DiskFault::FullDisk) {
        file->second.bytes += bytes.substr(0, bytes.size() / 2);
        return std::make_error_code(std::errc::no_space_on_device);
    }
    file->second.bytes += bytes;
    return {};
}

std::error_code syncFile(MemoryDataFolder &disk, const std::string &name)
{
    MemoryFile &file = disk.files.at(name);
    if (disk.fault == DiskFault::FailedSync) {
        file.lost.push_back({file.synced, file.bytes.size()});
        return ioError();
    }
    file.synced = file.bytes.size();
    return {};
}

/// Gives @p name the content @p file, or removes it, and syncs the folder.
std::error_code changeName(MemoryDataFolder &disk, const std::string &name,
                           std::optional<MemoryFile> file)
{
    const auto found = disk.files.find(name);
    UnsyncedName change{.name = name};
    if (found != disk.files.end())
        change.before = found->second;
    disk.unsyncedNames.push_back(std::move(change));
    if (file)
        disk.files[name] = std::move(*file);
    else
        disk.files.erase(name);
    if (disk.fault == DiskFault::FailedFolderSync)
        return ioError();
    disk.unsyncedNames.clear();
    return {};
}

void undo(MemoryFiles &files, UnsyncedName change)
{
    if (change.before)
        files[change.name] = std::move(*change.before);
    else
        files.erase(change.name);
}

void loseUnsynced(MemoryFile &file, std::mt19937_64 &random)
{
    std::uniform_int_distribution<std::size_t> kept(file.synced, file.bytes.size());
    if (std::bernoulli_distribution(0.5)(random)) {
        file.bytes.resize(kept(random));
    } else {
        // The blocks of a write reach the disk in any order.
        std::uniform_int_distribution<std::size_t> missing(0, file.bytes.size() - file.synced);
        std::fill_n(file.bytes.begin() + static_cast<std::ptrdiff_t>(file.synced), missing(random),
                    '\0');
    }
    file.synced = file.bytes.size();
    for (const ByteRange &range : std::exchange(file.lost, {})) {
        const std::size_t end = std::min(range.end, file.bytes.size());
        if (std::bernoulli_distribution(0.5)(random) && range.begin < end)
            file.bytes.replace(range.begin, end - range.begin, end - range.begin, '\0');
    }
}

} // namespace

DataFolder MemoryDataFolder::disk()
{
    DataFolder hooks;
    hooks.list = [this]() -> Result<std::vector<std::string>> {
        std::vector<std::string> names;
        for (const auto &[name, file] : files)
            names.push_back(name);
        return names;
    };
    hooks.read = [this](const std::string &name) -> Result<std::string> {
        const auto file = files.find(name);
        if (file == files.end())
            return std::make_error_code(std::errc::no_such_file_or_directory);
        return file->second.bytes;
    };
    hooks.append = [this](const std::string &name, std::string_view bytes) {
        return appendTo(*this, name, bytes);
    };
    hooks.sync = [this](const std::string &name) { return syncFile(*this, name); };
    hooks.replace = [this](const std::string &name, std::string_view bytes) {
        if (fault != DiskFault::None && fault != DiskFault::FailedFolderSync)
            return ioError();
        return changeName(*this, name,
                          MemoryFile{.bytes = std::string(bytes), .synced = bytes.size()});
    };
    hooks.remove
        = [this](const std::string &name) { return changeName(*this, name, std::nullopt); };
    return hooks;
}

void MemoryDataFolder::crash(std::mt19937_64 &random)
{
    fault = DiskFault::None;
    std::uniform_int_distribution<std::size_t> undone(0, unsyncedNames.size());
    for (std::size_t count = undone(random); count > 0; --count) {
        undo(files, std::move(unsyncedNames.back()));
        unsyncedNames.pop_back();
    }
    unsyncedNames.clear();
    for (auto &[name, file] : files)
        loseUnsynced(file, random);
}

} // namespace gentianramp::testing
