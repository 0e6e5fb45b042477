#include <filesystem>
#include <fstream>
#include <gentianramp/core/timeline.hpp>
#include <string>
#include <unistd.h>

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

std::filesystem::path scratchFile(const std::string &name)
{
    const auto folder = std::filesystem::temp_directory_path()
        / ("gentianramp-core-" + std::to_string(getpid()) + "-" + name);
    std::filesystem::remove_all(folder);
    return folder / "timeline.jsonl";
}

} // namespace

Test(Timeline, EventSurvivesEncoding)
{
    TimelineEvent event;
    event.kind = EventKind::OrderSent;
    event.monotonicNs = 42;
    event.instance = "entry-1";
    event.request = "r\"1\n";
    event.term = 7;
    const auto decoded = decodeEvent(encodeEvent(event));
    cr_assert(static_cast<bool>(decoded));
    cr_assert(*decoded == event);
}

Test(Timeline, RefusesBadLines)
{
    cr_assert_not(static_cast<bool>(decodeEvent("{")));
    cr_assert_not(static_cast<bool>(decodeEvent("{\"kind\":\"nothing\"}")));
    cr_assert_not(static_cast<bool>(decodeEvent("{\"kind\":3}")));
}

Test(Timeline, KeepsATimeThatTheEventHas)
{
    const auto file = scratchFile("time");
    TimelineWriter writer({.file = file, .instance = "e1"});
    writer.record({.kind = EventKind::MessageSent, .monotonicNs = 42});
    writer.record({.kind = EventKind::MessageSent});
    writer.flush();
    std::ifstream in(file);
    std::string line;
    std::getline(in, line);
    cr_assert_eq(decodeEvent(line)->monotonicNs, 42);
    std::getline(in, line);
    cr_assert_gt(decodeEvent(line)->monotonicNs, 42);
    std::filesystem::remove_all(file.parent_path());
}

Test(Timeline, FileStaysBounded)
{
    const auto file = scratchFile("bounded");
    {
        TimelineWriter writer({.file = file, .instance = "e1", .maxBytes = 4096});
        for (int round = 0; round < 500; ++round)
            writer.record({.kind = EventKind::RequestAccepted, .request = "r"});
        writer.flush();
    }
    cr_assert_leq(std::filesystem::file_size(file), 4096U);
    cr_assert(std::filesystem::exists(file.string() + ".1"));
    std::filesystem::remove_all(file.parent_path());
}
