// Lets operators race each other on real control processes and writes what they were answered.

#include "operator_link.hpp"
#include "racing_operator.hpp"

#include <boost/program_options.hpp>
#include <fstream>
#include <gentianramp/config/configuration_codec.hpp>
#include <gentianramp/config/key_files.hpp>
#include <gentianramp/config/settings_file.hpp>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

using namespace gentianramp;
namespace po = boost::program_options;
using nlohmann::json;

namespace {

constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;
constexpr Duration HistoryInterval = std::chrono::seconds(2);
constexpr Duration CallTimeout = std::chrono::seconds(3);
constexpr int FinalTries = 30;
constexpr std::uint64_t MaxLimit = 1000000; ///< Requests a second.

struct Arguments
{
    std::string settings;
    std::string output;
    std::string declared;
    std::vector<std::filesystem::path> overlays;
    std::string avoid;
    unsigned operators = 4;
    double seconds = 10;
    double pause = 0.1;
    std::uint64_t changes = 0;
    std::uint64_t seed = 1;
};

po::options_description describeOptions(Arguments &arguments)
{
    po::options_description description("gentianramp-config-load [options]");
    auto add = description.add_options();
    add("help", "print this text");
    add("config", po::value(&arguments.settings)->required(), "settings of an operator");
    add("output", po::value(&arguments.output)->required(), "file for the results (JSON)");
    add("declared", po::value(&arguments.declared)->required(), "base file to make changes of");
    add("overlay", po::value(&arguments.overlays), "overlay that goes with it; repeatable");
    add("avoid", po::value(&arguments.avoid), "control process that is not asked");
    add("operators", po::value(&arguments.operators), "operators that race");
    add("seconds", po::value(&arguments.seconds), "longest duration");
    add("pause", po::value(&arguments.pause), "seconds between two commands of an operator");
    add("changes", po::value(&arguments.changes), "end after so many accepted changes; 0: never");
    add("seed", po::value(&arguments.seed), "seed of all random choices");
    return description;
}

/// Adds the kept part of the history to @p history, by revision; false without an answer.
bool readHistory(OperatorLink &link, std::size_t control, json &history)
{
    proto::OperatorRequest request;
    request.mutable_history();
    const auto answer = link.call(control, request, CallTimeout);
    if (!answer || answer->error() != proto::OPERATOR_ERROR_NONE)
        return false;
    for (const proto::HistoryEntry &entry : answer->history().entries())
        history[std::to_string(entry.revision())].push_back(entry.command_id());
    return true;
}

json toJson(const CommandRecord &record)
{
    json answers = json::array();
    for (const ReceivedAnswer &answer : record.answers)
        answers.push_back({{"error", proto::OperatorError_Name(answer.error)},
                           {"revision", answer.revision},
                           {"at_ns", answer.atNs}});
    return {{"command", record.command},
            {"base", record.base},
            {"sent_ns", record.sentNs},
            {"answers", answers}};
}

/// Canonical bytes that differ for each @p n.
std::string changedConfiguration(DeclaredConfiguration configuration, std::uint64_t n)
{
    configuration.customers.front().requestsPerSecond = static_cast<double>(n % MaxLimit + 1);
    return encodeConfiguration(configuration);
}

/// Collects histories until the end, so that no revision leaves the kept part unseen.
void watch(OperatorLink &link, RaceState &race, const Arguments &arguments, json &history)
{
    const TimePoint end = RuntimeClock::now()
        + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(arguments.seconds));
    std::mutex mutex;
    std::condition_variable never;
    for (std::size_t round = 0; RuntimeClock::now() < end; ++round) {
        if (arguments.changes != 0 && race.accepted >= arguments.changes)
            break;
        std::unique_lock lock(mutex);
        never.wait_for(lock, std::min(HistoryInterval, end - RuntimeClock::now()));
        readHistory(link, round % link.controls(), history);
    }
    race.stop = true;
}

int run(const Arguments &arguments)
{
    auto settings = loadOperatorSettings(arguments.settings);
    if (!settings) {
        std::cerr << settings.message();
        return ExitFailed;
    }
    const auto keys = readKeyPairFile(settings->secretKeyFile);
    if (!keys) {
        std::cerr << keys.message();
        return ExitFailed;
    }
    OperatorSettings used = std::move(settings).value();
    std::erase_if(used.controls, [&](const PeerSettings &control) {
        return control.instance.value() == arguments.avoid;
    });
    OperatorLink link(used, {keys->publicKey, keys->secretKey});
    const auto declared = loadDeclaredConfiguration(arguments.declared, arguments.overlays);
    if (!declared || declared->customers.empty()) {
        std::cerr << (declared ? "no customer is declared" : declared.message());
        return ExitFailed;
    }
    const ConfigurationSource source
        = [&](std::uint64_t n) { return changedConfiguration(*declared, n); };
    RaceState race;
    std::vector<std::unique_ptr<RacingOperator>> operators;
    for (unsigned i = 0; i < arguments.operators; ++i)
        operators.push_back(std::make_unique<RacingOperator>(
            "operator-" + std::to_string(arguments.seed) + "-" + std::to_string(i), link, race,
            source, arguments.seed * 1000 + i));
    std::vector<std::thread> threads;
    threads.reserve(operators.size());
    const auto pause
        = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(arguments.pause));
    for (auto &each : operators)
        threads.emplace_back([&each, pause] { each->run(pause); });
    json history = json::object();
    watch(link, race, arguments, history);
    for (std::thread &thread : threads)
        thread.join();
    bool complete = false;
    for (int i = 0; i < FinalTries && !complete; ++i)
        complete = readHistory(link, static_cast<std::size_t>(i) % link.controls(), history);
    json commands = json::array();
    for (const auto &each : operators) {
        for (const CommandRecord &record : each->records())
            commands.push_back(toJson(record));
    }
    std::ofstream(arguments.output)
        << json{{"commands", commands}, {"history", history}, {"complete", complete}};
    return complete ? EXIT_SUCCESS : ExitFailed;
}

} // namespace

int main(int argc, char **argv)
{
    Arguments arguments;
    const po::options_description description = describeOptions(arguments);
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
    return run(arguments);
}
