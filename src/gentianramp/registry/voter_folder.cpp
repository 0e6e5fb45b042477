#include <gentianramp/registry/voter_folder.hpp>

#include <algorithm>
#include <gentianramp/ledger/log_store.hpp>

namespace gentianramp {

namespace {

// Written last and removed first, so that a folder without it is known to be incomplete.
constexpr const char *SeatFile = "seat";

} // namespace

Result<std::string> readSeat(const DataFolder &dataFolder)
{
    const Result<std::vector<std::string>> names = dataFolder.list();
    if (!names)
        return {names.error(), names.message()};
    if (std::find(names->begin(), names->end(), SeatFile) == names->end())
        return std::string();
    return dataFolder.read(SeatFile);
}

std::error_code emptyFolder(const DataFolder &dataFolder)
{
    Result<std::vector<std::string>> listed = dataFolder.list();
    if (!listed)
        return listed.error();
    std::vector<std::string> names = std::move(listed).value();
    std::partition(names.begin(), names.end(),
                   [](const std::string &name) { return name == SeatFile; });
    for (const std::string &name : names) {
        if (const std::error_code error = dataFolder.remove(name))
            return error;
    }
    return {};
}

std::error_code prepareSeat(const DataFolder &dataFolder, const std::string &seat, bool founding,
                            std::uint64_t seed)
{
    if (const std::error_code error = emptyFolder(dataFolder))
        return error;
    if (founding) {
        LogStore store(dataFolder);
        if (const std::error_code error = store.initialise(seed))
            return error;
    }
    return dataFolder.replace(SeatFile, seat);
}

} // namespace gentianramp
