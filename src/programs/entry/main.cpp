#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/program_options.hpp>
#include <csignal>
#include <gentianramp/config/key_files.hpp>
#include <gentianramp/config/settings_file.hpp>
#include <gentianramp/core/log.hpp>
#include <gentianramp/entry/entry_service.hpp>
#include <iostream>

using namespace gentianramp;
namespace asio = boost::asio;
namespace po = boost::program_options;

namespace {

constexpr int ExitUsage = 2;
constexpr int ExitFailed = 1;
constexpr Duration DrainPollInterval = std::chrono::milliseconds(50);
constexpr Duration RefusalTime = std::chrono::seconds(1); // for the balancer to move on
constexpr Duration LastConnectionTime = std::chrono::milliseconds(200);
constexpr Duration SettlementTime = std::chrono::seconds(3);

struct Arguments
{
    std::string settingsFile;
    bool checkConfig = false;
    bool firstStart = false;
    std::uint64_t seed = 0;
};

po::options_description describeOptions(Arguments &arguments)
{
    po::options_description description("gentianramp-entry [options] SETTINGS.yaml");
    auto add = description.add_options();
    add("help", "print this text");
    add("version", "print the version");
    add("config", po::value(&arguments.settingsFile), "settings of this instance (YAML)");
    add("check-config", po::bool_switch(&arguments.checkConfig),
        "check the settings and the declared configuration, then end");
    add("first-start", po::bool_switch(&arguments.firstStart),
        "no idempotency key was ever claimed in this deployment");
    add("seed", po::value(&arguments.seed),
        "seed of randomised choices; without it taken from the time");
    return description;
}

/// Ends once @p busy is false, or after @p longest.
asio::awaitable<void> waitWhile(std::function<bool()> busy, Duration longest)
{
    const TimePoint deadline = RuntimeClock::now() + longest;
    while (busy() && RuntimeClock::now() < deadline)
        co_await sleepFor(DrainPollInterval);
}

/// Refuses new work while callers still find this instance, then ends what runs.
asio::awaitable<void> shutDown(EntryService &service, Duration longestDrain)
{
    const auto active = [&service] { return service.hasActiveRequests(); };
    service.beginShutdown();
    co_await sleepFor(RefusalTime);
    co_await waitWhile(active, longestDrain);
    service.stopListening();
    co_await sleepFor(LastConnectionTime);
    co_await waitWhile(active, LastConnectionTime);
    // Replicas that can't be reached learn from the next claim that this instance is gone.
    co_await waitWhile([&service] { return service.hasOpenSettlements(); }, SettlementTime);
}

asio::awaitable<void> runUntilSignal(EntryService &service, Duration longestDrain)
{
    asio::signal_set signals(co_await asio::this_coro::executor, SIGTERM, SIGINT);
    co_await signals.async_wait(asio::use_awaitable);
    co_await shutDown(service, longestDrain);
}

int run(const Arguments &arguments)
{
    const auto settings = loadNodeSettings(arguments.settingsFile);
    if (!settings) {
        std::cerr << settings.message() << "\n";
        return ExitFailed;
    }
    const auto configuration
        = loadDeclaredConfiguration(settings->configurationFile, settings->overlayFiles);
    if (!configuration) {
        std::cerr << configuration.message() << "\n";
        return ExitFailed;
    }
    if (arguments.checkConfig)
        return EXIT_SUCCESS;
    EntryOptions options;
    if (!settings->endpoint.empty()) {
        const auto keys = readKeyPairFile(settings->secretKeyFile);
        if (!keys) {
            std::cerr << "cannot read the key file: " << keys.message() << "\n";
            return ExitFailed;
        }
        options.keys = {keys->publicKey, keys->secretKey};
    }
    options.settings = *settings;
    options.configuration = *configuration;
    options.incarnation = Incarnation(static_cast<std::uint64_t>(wallClockMs()));
    options.firstStart = arguments.firstStart;
    options.seed = arguments.seed != 0 ? arguments.seed : options.incarnation.value();
    startLogging("gentianramp-entry");
    EntryService service(std::move(options));
    const Result<std::uint16_t> port = service.start();
    if (!port) {
        logError("start_failed", {{"error", port.message()}});
        return ExitFailed;
    }
    logInfo("listening", {{"host", settings->httpHost}, {"port", *port}});
    asio::io_context context;
    asio::co_spawn(context, runUntilSignal(service, std::chrono::seconds(settings->drainSeconds)),
                   asio::detached);
    context.run();
    service.timeline().record({.kind = EventKind::ProcessStopped});
    service.timeline().flush();
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char **argv)
{
    Arguments arguments;
    const po::options_description description = describeOptions(arguments);
    po::positional_options_description positional;
    positional.add("config", 1);
    po::variables_map values;
    try {
        po::store(
            po::command_line_parser(argc, argv).options(description).positional(positional).run(),
            values);
        po::notify(values);
    } catch (const po::error &error) {
        std::cerr << error.what() << "\n" << description;
        return ExitUsage;
    }
    if (values.count("help") > 0) {
        std::cout << description;
        return EXIT_SUCCESS;
    }
    if (values.count("version") > 0) {
        std::cout << "gentianramp-entry " << GENTIANRAMP_VERSION << "\n";
        return EXIT_SUCCESS;
    }
    if (arguments.settingsFile.empty()) {
        std::cerr << "no settings file\n" << description;
        return ExitUsage;
    }
    return run(arguments);
}
