#include "memory_data_folder.hpp"

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

std::optional<MemoryFile> find(const MemoryFiles &files, const std::string &name)
{
    const auto file = files.find(name);
    return file == files.end() ? std::nullopt : std::optional(file->second);
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
    hooks.sync = [this](const std::string &name) {
        if (fault == DiskFault::FailedSync)
            return ioError();
        files.at(name).synced = files.at(name).bytes.size();
        return std::error_code{};
    };
    hooks.truncate = [this](const std::string &name, std::uint64_t size) {
        files.at(name).bytes.resize(size);
        files.at(name).synced = size;
        return std::error_code{};
    };
    hooks.replace = [this](const std::string &name, std::string_view bytes) {
        if (fault != DiskFault::None && fault != DiskFault::FailedFolderSync)
            return ioError();
        const std::optional<MemoryFile> before = find(files, name);
        files[name] = {.bytes = std::string(bytes), .synced = bytes.size()};
        return finishNameChange(name, before);
    };
    hooks.remove = [this](const std::string &name) {
        const std::optional<MemoryFile> before = find(files, name);
        files.erase(name);
        return finishNameChange(name, before);
    };
    hooks.syncNames = [this] { return syncNames(); };
    return hooks;
}

std::error_code MemoryDataFolder::finishNameChange(const std::string &name,
                                                   const std::optional<MemoryFile> &before)
{
    m_durableNames.try_emplace(name, before);
    return syncNames();
}

std::error_code MemoryDataFolder::syncNames()
{
    if (fault == DiskFault::FailedFolderSync)
        return ioError();
    m_durableNames.clear();
    return {};
}

void MemoryDataFolder::crash(std::mt19937_64 &random)
{
    fault = DiskFault::None;
    for (const auto &[name, durable] : m_durableNames) {
        if (std::bernoulli_distribution()(random))
            continue;
        files.erase(name);
        if (durable)
            files.emplace(name, *durable);
    }
    m_durableNames.clear();
    for (auto &[name, file] : files) {
        std::uniform_int_distribution<std::size_t> kept(file.synced, file.bytes.size());
        file.bytes.resize(kept(random));
        file.synced = file.bytes.size();
    }
}

} // namespace gentianramp::testing
