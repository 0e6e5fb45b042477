#pragma once

#include <cstdint>
#include <filesystem>
#include <gentianramp/core/timeline.hpp>
#include <istream>
#include <string>
#include <vector>

namespace gentianramp {

/// One clock of one process: a process that restarts on a rebooted machine has another.
struct ClockName
{
    std::string instance;
    std::uint32_t life = 0;
    auto operator<=>(const ClockName &) const = default;
};

/// An event with the clock that stamped it.
struct ClockedEvent
{
    ClockName clock;
    TimelineEvent event;
    bool operator==(const ClockedEvent &) const = default;
};

/// Events of all files that were read.
struct LoadedEvents
{
    std::vector<ClockedEvent> events;
    std::uint64_t badLines = 0;      ///< Lines that are no events.
    std::uint64_t droppedEvents = 0; ///< Beyond the limit.
    std::vector<std::filesystem::path> unreadable;
};

/// Files of a path: itself, or every .jsonl in a folder, each after its rotated ".1".
std::vector<std::filesystem::path> timelineFiles(const std::filesystem::path &path);

/// Adds the events of @p in, of one process and in the order of its clock, to @p loaded.
/// @p last is carried from a rotated file to the one after it.
void readEvents(std::istream &in, std::size_t maxEvents, LoadedEvents &loaded, ClockedEvent &last);

/// Reads all @p files; keeps at most @p maxEvents events.
LoadedEvents readEventFiles(const std::vector<std::filesystem::path> &files, std::size_t maxEvents);

} // namespace gentianramp
