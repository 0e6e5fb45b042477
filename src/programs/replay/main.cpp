#include <boost/program_options.hpp>
#include <fstream>
#include <gentianramp/replay/trace.hpp>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include "programs/replay/shift_measure.hpp"

namespace po = boost::program_options;

namespace gentianramp {
namespace {

constexpr int UsageStatus = 2;

constexpr const char *Usage
    = "usage: gentianramp-replay COMMAND [options]\n"
      "  generate --deployment zilina|kyushu [--seed N] [--seconds N] [--load X] [--out FILE]\n"
      "  shift [--seed N] [--load X] [--threads N]\n";

struct Arguments
{
    std::string deployment;
    std::string out;
    std::uint64_t seed = 1;
    std::uint32_t seconds = 600;
    double load = 1;
    unsigned threads = 3;
};

po::options_description describe(Arguments &arguments)
{
    po::options_description options("options");
    options.add_options()("help", "show this help")("version", "show the version")(
        "deployment", po::value(&arguments.deployment), "zilina or kyushu")(
        "out", po::value(&arguments.out), "file to write; standard output without it")(
        "seed", po::value(&arguments.seed), "seed of everything random")(
        "seconds", po::value(&arguments.seconds), "length of a generated trace")(
        "load", po::value(&arguments.load), "factor on the rate of arrivals")(
        "threads", po::value(&arguments.threads), "replays at a time");
    return options;
}

int generate(const Arguments &arguments)
{
    const bool zilina = arguments.deployment == "zilina";
    if (!zilina && arguments.deployment != "kyushu") {
        std::cerr << "gentianramp-replay: --deployment must be zilina or kyushu\n";
        return UsageStatus;
    }
    const TraceShape shape{zilina ? Deployment::Zilina : Deployment::Kyushu,
                           std::chrono::seconds(arguments.seconds), arguments.load};
    const std::string text = formatTrace(generateTrace(shape, arguments.seed));
    if (arguments.out.empty()) {
        std::cout << text;
        return 0;
    }
    std::ofstream file(arguments.out);
    file << text;
    file.close();
    if (!file) {
        std::cerr << "gentianramp-replay: cannot write " << arguments.out << '\n';
        return 1;
    }
    return 0;
}

int run(const std::string &command, const Arguments &arguments)
{
    if (command == "generate")
        return generate(arguments);
    if (command == "shift")
        return runShiftMeasure({arguments.seed, arguments.load, std::max(1U, arguments.threads)});
    std::cerr << "gentianramp-replay: unknown command '" << command << "'\n" << Usage;
    return UsageStatus;
}

int parseAndRun(const std::vector<std::string> &words)
{
    Arguments arguments;
    const po::options_description options = describe(arguments);
    if (words.empty() || words.front() == "--help") {
        std::cout << Usage << options;
        return words.empty() ? UsageStatus : 0;
    }
    if (words.front() == "--version") {
        std::cout << "gentianramp-replay " << GENTIANRAMP_VERSION << '\n';
        return 0;
    }
    try {
        po::variables_map values;
        po::store(po::command_line_parser({words.begin() + 1, words.end()}).options(options).run(),
                  values);
        po::notify(values);
    } catch (const po::error &error) {
        std::cerr << "gentianramp-replay: " << error.what() << '\n' << Usage;
        return UsageStatus;
    }
    return run(words.front(), arguments);
}

} // namespace
} // namespace gentianramp

int main(int argc, char **argv)
{
    return gentianramp::parseAndRun({argv + 1, argv + argc});
}
