#include "bench_service.hpp"
#include "load.hpp"
#include "process_usage.hpp"

#include <algorithm>
#include <boost/program_options.hpp>
#include <iostream>

// What an entry instance adds to direct calls of a backend server, in time, processor and memory.

namespace {

using namespace gentianramp;
namespace po = boost::program_options;

constexpr int ExitUsage = 2;
constexpr unsigned ClosedLoopCallers = 32;
constexpr Duration ClosedLoopSpan = std::chrono::seconds(3);
constexpr Duration SliceSpan = std::chrono::milliseconds(300);
constexpr int Slices = 15;
constexpr double HalfLoad = 0.5;
constexpr Duration WarmUpSpan = std::chrono::milliseconds(500);
constexpr double MicrosecondsPerSecond = 1e6;
constexpr double P50 = 0.5;
constexpr double P99 = 0.99;

struct Setup
{
    LoadTarget entry;
    LoadTarget service; ///< The plain service itself.
    int entryPid = 0;
    std::string model;
    unsigned streams = 0;
    unsigned tokens = 0;
};

void printFigure(const std::string &name, double value, const std::string &unit)
{
    std::cout << "figure " << name << ' ' << value << ' ' << unit << std::endl;
}

double toSeconds(Duration value)
{
    return std::chrono::duration<double>(value).count();
}

double quantileUs(std::vector<Duration> &values, double q)
{
    if (values.empty())
        return 0;
    const auto index = static_cast<std::ptrdiff_t>(q * static_cast<double>(values.size() - 1));
    std::ranges::nth_element(values, values.begin() + index);
    return toSeconds(values[static_cast<std::size_t>(index)]) * MicrosecondsPerSecond;
}

double medianOf(std::vector<double> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::ranges::nth_element(values, middle);
    return *middle;
}

/// Latency of each slice of a measurement at one quantile.
struct SliceLatencies
{
    std::vector<double> direct;
    std::vector<double> added;

    void add(std::vector<Duration> &directCalls, std::vector<Duration> &entryCalls, double q)
    {
        direct.push_back(quantileUs(directCalls, q));
        added.push_back(quantileUs(entryCalls, q) - direct.back());
    }
};

/// Returns the calls a second that the entry instance carries; counts failures in @p failed.
double measureCalls(const Setup &setup, std::uint64_t &failed)
{
    runClosedLoop(setup.entry, ClosedLoopCallers, WarmUpSpan);
    const Duration before = processorTime(setup.entryPid);
    const LoadResult result = runClosedLoop(setup.entry, ClosedLoopCallers, ClosedLoopSpan);
    const Duration used = processorTime(setup.entryPid) - before;
    failed += result.failed;
    const double rate = static_cast<double>(result.completed) / toSeconds(result.span);
    printFigure("overhead.requests_per_s", rate, "1/s");
    printFigure("overhead.requests_per_core_s",
                static_cast<double>(result.completed) / toSeconds(used), "1/s");
    return rate;
}

/// Compares slices that follow each other, so that other load on the machine meets both; prints
/// the medians over all slices.
void measureLatency(const Setup &setup, double rate, std::uint64_t &failed)
{
    SliceLatencies p50;
    SliceLatencies p99;
    for (int slice = 0; slice < Slices; ++slice) {
        LoadResult direct = runAtRate(setup.service, rate, SliceSpan);
        LoadResult through = runAtRate(setup.entry, rate, SliceSpan);
        failed += direct.failed + through.failed;
        p50.add(direct.latencies, through.latencies, P50);
        p99.add(direct.latencies, through.latencies, P99);
    }
    printFigure("overhead.direct_p50_us", medianOf(p50.direct), "us");
    printFigure("overhead.direct_p99_us", medianOf(p99.direct), "us");
    printFigure("overhead.added_p50_us", medianOf(p50.added), "us");
    printFigure("overhead.added_p99_us", medianOf(p99.added), "us");
    printFigure("overhead.worst_slice_added_p99_us", std::ranges::max(p99.added), "us");
}

void measureStreams(const Setup &setup, std::uint64_t &failed)
{
    const std::uint64_t memoryBefore = residentBytes(setup.entryPid);
    std::uint64_t memoryOpen = 0;
    const Duration before = processorTime(setup.entryPid);
    const LoadResult result = runStreams(setup.entry, setup.model, setup.streams, setup.tokens,
                                         [&] { memoryOpen = residentBytes(setup.entryPid); });
    const Duration used = processorTime(setup.entryPid) - before;
    failed += result.failed;
    const std::uint64_t grown = memoryOpen - std::min(memoryOpen, memoryBefore);
    printFigure("overhead.tokens_per_s",
                static_cast<double>(result.tokens) / toSeconds(result.span), "1/s");
    printFigure("overhead.tokens_per_core_s", static_cast<double>(result.tokens) / toSeconds(used),
                "1/s");
    printFigure("overhead.bytes_per_open_stream",
                static_cast<double>(grown) / static_cast<double>(setup.streams), "B");
}

int run(const Setup &setup)
{
    std::uint64_t failed = 0;
    measureStreams(setup, failed);
    const double rate = measureCalls(setup, failed);
    measureLatency(setup, rate * HalfLoad, failed);
    printFigure("overhead.failed", static_cast<double>(failed), "requests");
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

int main(int argc, char **argv)
{
    Setup setup;
    po::options_description description("gentianramp-overhead: what an entry instance adds");
    auto add = description.add_options();
    add("help", "print this text");
    add("entry-port", po::value(&setup.entry.address.port)->required(), "of the entry instance");
    add("entry-pid", po::value(&setup.entryPid)->required(), "of the entry instance");
    add("service-port", po::value(&setup.service.address.port)->required(),
        "for the plain service of this program");
    add("key", po::value(&setup.entry.bearerKey)->required(), "bearer key of a customer");
    add("model", po::value(&setup.model)->required(), "model for streams");
    add("streams", po::value(&setup.streams)->default_value(200), "open at once");
    add("tokens", po::value(&setup.tokens)->default_value(200), "of each stream");
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, description), values);
        if (values.count("help") > 0) {
            std::cout << description;
            return EXIT_SUCCESS;
        }
        po::notify(values);
    } catch (const po::error &error) {
        std::cerr << error.what() << "\n" << description;
        return ExitUsage;
    }
    setup.entry.address.host = "127.0.0.1";
    setup.service.address.host = "127.0.0.1";
    BenchService service(setup.service.address.port);
    if (!service.start()) {
        std::cerr << "cannot listen on port " << setup.service.address.port << "\n";
        return EXIT_FAILURE;
    }
    return run(setup);
}
