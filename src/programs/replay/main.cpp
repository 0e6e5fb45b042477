#include <boost/program_options.hpp>
#include <fstream>
#include <gentianramp/replay/http_replay.hpp>
#include <gentianramp/replay/report.hpp>
#include <gentianramp/replay/result_file.hpp>
#include <gentianramp/replay/trace.hpp>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "programs/replay/routing_measure.hpp"
#include "programs/replay/shift_measure.hpp"

namespace po = boost::program_options;

namespace gentianramp {
namespace {

constexpr int UsageStatus = 2;

constexpr const char *Usage
    = "usage: gentianramp-replay COMMAND [options]\n"
      "  generate --deployment zilina|kyushu [--seed N] [--seconds N] [--load X] [--out FILE]\n"
      "  run --trace FILE --entry HOST:PORT... --key [CUSTOMER=]KEY... [--service NAME=/PATH]...\n"
      "      [--service NAME=MODEL]... [--speed X] [--run-name NAME] [--seed N] [--out FILE]\n"
      "      [--expect-timely SHARE]\n"
      "  report --trace FILE --result FILE... [--out FILE]\n"
      "  routing [--seed N] [--load X] [--threads N]\n"
      "  shift [--seed N] [--load X] [--threads N] [--results FOLDER]\n";

struct Arguments
{
    std::string deployment;
    std::string out;
    std::string trace;
    std::string results;
    std::string runName = "r1";
    std::vector<std::string> entries;
    std::vector<std::string> keys;
    std::vector<std::string> services;
    std::vector<std::string> resultFiles;
    double speed = 1;
    double expectTimely = 0;
    std::uint64_t seed = 1;
    std::uint32_t seconds = 600;
    std::optional<double> load; ///< Each command has its own default.
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
        "load", po::value<double>()->notifier([&arguments](double load) { arguments.load = load; }),
        "factor on the rate of arrivals")("threads", po::value(&arguments.threads),
                                          "replays at a time")("trace", po::value(&arguments.trace),
                                                               "trace file")(
        "entry", po::value(&arguments.entries)->composing(), "entry instance, HOST:PORT")(
        "key", po::value(&arguments.keys)->composing(), "bearer key, or CUSTOMER=KEY")(
        "service", po::value(&arguments.services)->composing(), "NAME=/PATH or NAME=MODEL")(
        "speed", po::value(&arguments.speed), "factor on the speed of arrivals")(
        "run-name", po::value(&arguments.runName), "part of every request id")(
        "expect-timely", po::value(&arguments.expectTimely), "least share of timely answers")(
        "result", po::value(&arguments.resultFiles)->composing(), "result file of a run")(
        "results", po::value(&arguments.results), "folder for the results of shift");
    return options;
}

bool writeText(const std::string &path, const std::string &text)
{
    if (path.empty()) {
        std::cout << text;
        return true;
    }
    std::ofstream file(path);
    file << text;
    file.close();
    if (!file)
        std::cerr << "gentianramp-replay: cannot write " << path << '\n';
    return static_cast<bool>(file);
}

std::string readText(const std::string &path)
{
    const std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

template <typename Value>
bool reportProblem(const std::string &path, const Result<Value> &result)
{
    if (!result)
        std::cerr << "gentianramp-replay: " << path << ": " << result.message() << '\n';
    return !result;
}

/// The two sides of NAME=VALUE; the name is empty without the sign.
struct Assignment
{
    std::string name;
    std::string value;
};

Assignment splitAssignment(const std::string &text)
{
    const std::size_t sign = text.find('=');
    if (sign == std::string::npos)
        return {"", text};
    return {text.substr(0, sign), text.substr(sign + 1)};
}

bool addEntry(const std::string &text, std::vector<HttpAddress> &entries)
{
    const std::size_t colon = text.rfind(':');
    const int port = colon == std::string::npos ? 0 : std::atoi(text.c_str() + colon + 1);
    if (port <= 0 || port > 65535) {
        std::cerr << "gentianramp-replay: --entry must be HOST:PORT, not '" << text << "'\n";
        return false;
    }
    entries.push_back({text.substr(0, colon), static_cast<std::uint16_t>(port)});
    return true;
}

std::optional<HttpReplayOptions> replayOptions(const Arguments &arguments)
{
    HttpReplayOptions options{
        .speed = arguments.speed, .runName = arguments.runName, .seed = arguments.seed};
    for (const std::string &entry : arguments.entries) {
        if (!addEntry(entry, options.entries))
            return std::nullopt;
    }
    if (options.entries.empty() || arguments.speed <= 0) {
        std::cerr << "gentianramp-replay: run needs --entry and a --speed above 0\n";
        return std::nullopt;
    }
    for (const std::string &key : arguments.keys) {
        const Assignment assignment = splitAssignment(key);
        if (assignment.name.empty())
            options.defaultBearerKey = assignment.value;
        else
            options.bearerKeys[CustomerId(assignment.name)] = assignment.value;
    }
    for (const std::string &service : arguments.services) {
        const Assignment assignment = splitAssignment(service);
        ServiceTarget &target = options.targets[ServiceId(assignment.name)];
        (assignment.value.starts_with('/') ? target.path : target.model) = assignment.value;
    }
    return options;
}

void printOutcomes(const ReplayResult &result)
{
    for (const OutcomeKind kind : {OutcomeKind::Timely, OutcomeKind::Late, OutcomeKind::Refused,
                                   OutcomeKind::Cut, OutcomeKind::Wrong, OutcomeKind::Unknown})
        std::cout << "replay " << toString(kind) << ' ' << result.count(kind) << '\n';
    std::cout << "replay first_token_p99_ms " << toMilliseconds(result.firstTokenQuantile(0.99))
              << '\n';
}

/// Fails when an answer was cut or wrong, or fewer than expected were in time.
int runTrace(const Arguments &arguments)
{
    const Result<Trace> trace = parseTrace(readText(arguments.trace));
    if (reportProblem(arguments.trace, trace))
        return UsageStatus;
    const std::optional<HttpReplayOptions> options = replayOptions(arguments);
    if (!options)
        return UsageStatus;
    ReplayResult result = replayOverHttp(*trace, *options);
    result.name = arguments.runName;
    printOutcomes(result);
    if (!arguments.out.empty() && !writeText(arguments.out, formatResult(result)))
        return 1;
    const bool whole = result.count(OutcomeKind::Cut) == 0 && result.count(OutcomeKind::Wrong) == 0
        && result.count(OutcomeKind::Unknown) == 0;
    const auto timely = static_cast<double>(result.count(OutcomeKind::Timely));
    const bool enough
        = timely >= arguments.expectTimely * static_cast<double>(trace->requests.size());
    return whole && enough ? 0 : 1;
}

int report(const Arguments &arguments)
{
    const Result<Trace> trace = parseTrace(readText(arguments.trace));
    if (reportProblem(arguments.trace, trace))
        return UsageStatus;
    std::vector<ReplayResult> runs;
    for (const std::string &path : arguments.resultFiles) {
        Result<ReplayResult> run = parseResult(readText(path));
        if (reportProblem(path, run))
            return UsageStatus;
        runs.push_back(std::move(run).value());
    }
    return writeText(arguments.out, reportPage(*trace, runs)) ? 0 : 1;
}

int generate(const Arguments &arguments)
{
    const bool zilina = arguments.deployment == "zilina";
    if (!zilina && arguments.deployment != "kyushu") {
        std::cerr << "gentianramp-replay: --deployment must be zilina or kyushu\n";
        return UsageStatus;
    }
    const TraceShape shape{zilina ? Deployment::Zilina : Deployment::Kyushu,
                           std::chrono::seconds(arguments.seconds), arguments.load.value_or(1)};
    const std::string text = formatTrace(generateTrace(shape, arguments.seed));
    return writeText(arguments.out, text) ? 0 : 1;
}

int run(const std::string &command, const Arguments &arguments)
{
    if (command == "generate")
        return generate(arguments);
    if (command == "run")
        return runTrace(arguments);
    if (command == "report")
        return report(arguments);
    if (command == "routing")
        return runRoutingMeasure({.seed = arguments.seed,
                                  .load = arguments.load.value_or(RoutingOptions{}.load),
                                  .threads = std::max(1U, arguments.threads)});
    if (command == "shift")
        return runShiftMeasure({arguments.seed, arguments.load.value_or(1),
                                std::max(1U, arguments.threads), arguments.results});
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
