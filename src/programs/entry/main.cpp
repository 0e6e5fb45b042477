#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <csignal>
#include <gentianramp/config/key_files.hpp>
#include <gentianramp/config/peer_reload.hpp>
#include <gentianramp/config/program_options.hpp>
#include <gentianramp/control_link/configuration_link.hpp>
#include <gentianramp/control_link/fleet_link.hpp>
#include <gentianramp/core/invariant.hpp>
#include <gentianramp/core/log.hpp>
#include <gentianramp/core/process_memory.hpp>
#include <gentianramp/core/process_signals.hpp>
#include <gentianramp/core/run_context.hpp>
#include <gentianramp/entry/entry_service.hpp>
#include <iostream>

using namespace gentianramp;
namespace asio = boost::asio;
namespace po = boost::program_options;

namespace {

constexpr Duration DrainPollInterval = std::chrono::milliseconds(50);
constexpr Duration RefusalTime = std::chrono::seconds(1); // for the balancer to move on
constexpr Duration LastConnectionTime = std::chrono::milliseconds(200);
constexpr Duration SettlementTime = std::chrono::seconds(3);

CommandLine commandLine()
{
    CommandLine line = daemonCommandLine(
        {"gentianramp-entry", "serves callers before the backend servers of a site"});
    auto add = line.options().add_options();
    add("first-start", po::bool_switch(), "no idempotency key was ever claimed in this deployment");
    add("seed", po::value<std::uint64_t>(),
        "seed of randomised choices; without it taken from the time");
    return line;
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

/// Takes over keys and addresses of other processes.
void takePeers(EntryService &service, const NodeSettings &settings,
               const std::filesystem::path &settingsFile)
{
    if (const auto reloaded = reloadPeers(settingsFile, settings.instance))
        service.setPeers(reloaded->peers);
}

/// Reads the key pair of the mesh; prints what is wrong with it.
std::optional<CurveKeyPair> readKeys(const NodeSettings &settings)
{
    const auto keys = readKeyPairFile(settings.secretKeyFile);
    if (keys)
        return CurveKeyPair{keys->publicKey, keys->secretKey};
    std::cerr << settings.secretKeyFile.string() << ": " << keys.message() << "\n";
    return std::nullopt;
}

/// Counts broken invariants and puts them on the time line.
void reportInvariants(EntryService &service)
{
    Counter &broken = service.metrics().counter("gentianramp_broken_invariants_total",
                                                "Invariants that were found broken");
    setInvariantHook([&service, &broken](std::string_view name, std::string_view detail) {
        broken.add();
        service.timeline().record({.kind = EventKind::InvariantBroken,
                                   .detail = std::string(name) + ' ' + std::string(detail)});
    });
}

ExitCode serve(EntryOptions options, const std::filesystem::path &settingsFile)
{
    const NodeSettings settings = options.settings;
    asio::io_context context;
    std::function<void()> leave;
    std::atomic<bool> failed{false};
    options.failed = [&] {
        failed = true;
        asio::post(context, [&leave] { leave(); });
    };
    EntryService service(std::move(options));
    const ConfigurationLink configurationLink(service, settings, context.get_executor());
    const FleetLink fleetLink(service, settings, context.get_executor());
    const Result<std::uint16_t> port = service.start();
    if (!port) {
        logError("start_failed", {{"error", port.message()}});
        return ExitCode::Failed;
    }
    reportInvariants(service);
    logInfo("listening", {{"host", settings.httpHost}, {"port", *port}});
    leave = [&, leaving = false]() mutable {
        if (!std::exchange(leaving, true))
            asio::co_spawn(context, shutDown(service, std::chrono::seconds(settings.drainSeconds)),
                           [&context](const std::exception_ptr &) { context.stop(); });
    };
    ProcessSignals signals(context.get_executor(), [&](int signal) {
        if (signal == SIGHUP)
            takePeers(service, settings, settingsFile);
        else
            leave();
    });
    if (const std::error_code error = signals.start()) {
        logError("start_failed", {{"error", error.message()}, {"reason", "no signal descriptor"}});
        return ExitCode::Failed;
    }
    runContext(context, [&] {
        failed = true;
        leave();
    });
    service.timeline().record({.kind = EventKind::ProcessStopped});
    service.timeline().flush();
    setInvariantHook({});
    return failed ? ExitCode::Failed : ExitCode::Ok;
}

ExitCode run(const CommandLine &line)
{
    blockProcessSignals();
    ignoreWriteSignals();
    const auto settings = loadDaemonSettings(settingsFileOf(line), ProcessKind::Entry);
    if (!settings) {
        std::cerr << settings.message() << "\n";
        return ExitCode::BadSettings;
    }
    if (checksOnly(line))
        return ExitCode::Ok;
    const auto keys = readKeys(settings->node);
    if (!keys)
        return ExitCode::BadSettings;
    const po::variables_map &values = line.values();
    EntryOptions options;
    options.settings = settings->node;
    options.configuration = settings->configuration.value_or(DeclaredConfiguration());
    options.keys = *keys;
    options.incarnation = Incarnation(static_cast<std::uint64_t>(wallClockMs()));
    options.firstStart = values["first-start"].as<bool>();
    options.seed = values.count("seed") > 0 ? values["seed"].as<std::uint64_t>()
                                            : options.incarnation.value();
    startLogging("gentianramp-entry");
    return serve(std::move(options), settingsFileOf(line));
}

} // namespace

int main(int argc, char **argv)
{
    returnFreedMemory();
    CommandLine line = commandLine();
    const auto ended = line.parse(argc, argv, std::cout, std::cerr);
    return static_cast<int>(ended ? *ended : run(line));
}
