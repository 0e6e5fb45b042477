#include "merged_timeline.hpp"

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/parsers.hpp>
#include <boost/program_options/positional_options.hpp>
#include <boost/program_options/value_semantic.hpp>
#include <boost/program_options/variables_map.hpp>
#include <cmath>
#include <fstream>
#include <gentianramp/config/program_options.hpp>
#include <iostream>

using namespace gentianramp;
namespace po = boost::program_options;

namespace {

constexpr double NanosecondsPerSecond = 1e9;
constexpr std::size_t DefaultMaxEvents = 2'000'000;

struct Arguments
{
    std::vector<std::string> paths;
    std::string request;
    double fromSeconds = 0;
    double toSeconds = 0;
    std::string chromeFile;
    std::size_t maxEvents = DefaultMaxEvents;
    EventFilter filter;
};

std::int64_t toNanoseconds(double seconds)
{
    return std::llround(seconds * NanosecondsPerSecond);
}

/// Reads the command line; returns the code to exit with when there is nothing to run.
std::optional<ExitCode> parse(int argc, char **argv, Arguments &arguments)
{
    po::options_description visible("Options");
    auto add = visible.add_options();
    add("help,h", "print this help and exit");
    add("version", "print the version and exit");
    add("request", po::value(&arguments.filter.request), "only events of this request or message");
    add("from", po::value(&arguments.fromSeconds), "seconds after the first event");
    add("to", po::value(&arguments.toSeconds), "seconds after the first event");
    add("no-messages", "leave out the events of single messages");
    add("chrome", po::value(&arguments.chromeFile), "write trace-event JSON to this file");
    add("max-events", po::value(&arguments.maxEvents), "events kept in memory (2000000)");
    po::options_description all;
    all.add(visible).add_options()("paths", po::value(&arguments.paths));
    po::positional_options_description positional;
    positional.add("paths", -1);
    po::variables_map values;
    try {
        po::store(po::command_line_parser(argc, argv).options(all).positional(positional).run(),
                  values);
        po::notify(values);
    } catch (const po::error &problem) {
        std::cerr << "gentianramp-timeline: " << problem.what() << "; see --help\n";
        return ExitCode::Usage;
    }
    if (values.count("help") != 0) {
        std::cout << "gentianramp-timeline: merges the time lines of all processes\n\n"
                  << "gentianramp-timeline [options] FILE|FOLDER...\n\n"
                  << visible;
        return ExitCode::Ok;
    }
    if (values.count("version") != 0) {
        std::cout << "gentianramp-timeline " << GENTIANRAMP_VERSION << '\n';
        return ExitCode::Ok;
    }
    if (arguments.paths.empty()) {
        std::cerr << "gentianramp-timeline: expected files or folders; see --help\n";
        return ExitCode::Usage;
    }
    if (values.count("from") != 0)
        arguments.filter.fromNs = toNanoseconds(arguments.fromSeconds);
    if (values.count("to") != 0)
        arguments.filter.toNs = toNanoseconds(arguments.toSeconds);
    arguments.filter.messages = values.count("no-messages") == 0;
    return std::nullopt;
}

void printEvents(const MergedTimeline &timeline, const EventFilter &filter)
{
    std::cout << describeOffsets(timeline.offsets);
    for (const MergedEvent &event : timeline.events) {
        if (filter.matches(event))
            std::cout << describeEvent(event) << '\n';
    }
}

bool writeChromeFile(const std::string &file, const MergedTimeline &timeline,
                     const EventFilter &filter)
{
    std::ofstream out(file);
    out << chromeTrace(timeline, filter);
    return out.flush().good();
}

ExitCode run(const Arguments &arguments)
{
    std::vector<std::filesystem::path> files;
    for (const std::string &path : arguments.paths) {
        const auto found = timelineFiles(path);
        files.insert(files.end(), found.begin(), found.end());
    }
    const LoadedEvents loaded = readEventFiles(files, arguments.maxEvents);
    for (const auto &file : loaded.unreadable)
        std::cerr << "gentianramp-timeline: cannot read " << file.string() << '\n';
    if (loaded.events.empty()) {
        std::cerr << "gentianramp-timeline: no events\n";
        return ExitCode::Failed;
    }
    const MergedTimeline timeline = mergeEvents(loaded.events);
    if (arguments.chromeFile.empty()) {
        printEvents(timeline, arguments.filter);
    } else if (!writeChromeFile(arguments.chromeFile, timeline, arguments.filter)) {
        std::cerr << "gentianramp-timeline: cannot write " << arguments.chromeFile << '\n';
        return ExitCode::Failed;
    }
    std::cerr << loaded.events.size() << " events, " << loaded.badLines << " bad lines, "
              << loaded.droppedEvents << " events beyond --max-events\n";
    return loaded.unreadable.empty() ? ExitCode::Ok : ExitCode::Failed;
}

} // namespace

int main(int argc, char **argv)
{
    Arguments arguments;
    if (const auto code = parse(argc, argv, arguments))
        return static_cast<int>(*code);
    return static_cast<int>(run(arguments));
}
