#include "event_files.hpp"

#include <algorithm>
#include <fstream>

namespace gentianramp {

namespace {

constexpr std::string_view RotatedSuffix = ".1";

std::filesystem::path rotatedName(const std::filesystem::path &file)
{
    return file.string() + std::string(RotatedSuffix);
}

/// The clock of @p event, which comes after @p last in the same file.
ClockName clockOf(const TimelineEvent &event, const ClockedEvent &last)
{
    if (last.event.instance != event.instance)
        return {event.instance, 0};
    const bool newClock
        = event.kind == EventKind::ProcessStarted && event.monotonicNs < last.event.monotonicNs;
    return {event.instance, last.clock.life + (newClock ? 1 : 0)};
}

} // namespace

std::vector<std::filesystem::path> timelineFiles(const std::filesystem::path &path)
{
    std::vector<std::filesystem::path> current;
    if (std::filesystem::is_directory(path)) {
        for (const auto &entry : std::filesystem::directory_iterator(path)) {
            if (entry.path().extension() == ".jsonl")
                current.push_back(entry.path());
        }
        std::sort(current.begin(), current.end());
    } else {
        current.push_back(path);
    }
    std::vector<std::filesystem::path> files;
    for (const auto &file : current) {
        if (std::filesystem::exists(rotatedName(file)))
            files.push_back(rotatedName(file));
        files.push_back(file);
    }
    return files;
}

void readEvents(std::istream &in, std::size_t maxEvents, LoadedEvents &loaded, ClockedEvent &last)
{
    for (std::string line; std::getline(in, line);) {
        if (line.empty())
            continue;
        const auto decoded = decodeEvent(line);
        if (!decoded) {
            ++loaded.badLines;
            continue;
        }
        last.clock = clockOf(*decoded, last);
        last.event = *decoded;
        if (loaded.events.size() < maxEvents)
            loaded.events.push_back(last);
        else
            ++loaded.droppedEvents;
    }
}

LoadedEvents readEventFiles(const std::vector<std::filesystem::path> &files, std::size_t maxEvents)
{
    LoadedEvents loaded;
    ClockedEvent last;
    for (const auto &file : files) {
        std::ifstream in(file);
        if (in)
            readEvents(in, maxEvents, loaded, last);
        else
            loaded.unreadable.push_back(file);
    }
    return loaded;
}

} // namespace gentianramp
