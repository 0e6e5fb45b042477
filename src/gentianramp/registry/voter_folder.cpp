#include <gentianramp/registry/voter_folder.hpp>

#include <algorithm>
#include <gentianramp/ledger/log_store.hpp>

namespace gentianramp {

namespace {

// Written last, so that a folder without it is known to be prepared incompletely.
constexpr const char *SeatFile = "seat";

} // namespace

Result<std::string> readSeat(const DataFolder &disk)
{
    const Result<std::vector<std::string>> names = disk.list();
    if (!names)
        return {names.error(), names.message()};
    if (std::find(names->begin(), names->end(), SeatFile) == names->end())
        return std::string();
    return disk.read(SeatFile);
}

std::error_code emptyFolder(const DataFolder &disk)
{
    const Result<std::vector<std::string>> names = disk.list();
    if (!names)
        return names.error();
    for (const std::string &name : *names) {
        if (const std::error_code error = disk.remove(name))
            return error;
    }
    return {};
}

std::error_code prepareSeat(const DataFolder &disk, const std::string &seat, bool founding,
                            std::uint64_t seed)
{
    if (const std::error_code error = emptyFolder(disk))
        return error;
    if (founding) {
        LogStore store(disk);
        if (const std::error_code error = store.initialise(seed))
            return error;
    }
    return disk.replace(SeatFile, seat);
}

} // namespace gentianramp
