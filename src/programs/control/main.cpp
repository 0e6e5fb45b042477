#include <boost/program_options.hpp>
#include <csignal>
#include <gentianramp/config/key_files.hpp>
#include <gentianramp/config/peer_reload.hpp>
#include <gentianramp/config/program_options.hpp>
#include <gentianramp/config/settings_file.hpp>
#include <gentianramp/control/authority_component.hpp>
#include <gentianramp/control/configuration_operations.hpp>
#include <gentianramp/control/control_node.hpp>
#include <gentianramp/control/membership_component.hpp>
#include <gentianramp/core/log.hpp>
#include <gentianramp/core/process_memory.hpp>
#include <gentianramp/core/process_signals.hpp>
#include <gentianramp/core/random_seed.hpp>
#include <iostream>

using namespace gentianramp;
namespace po = boost::program_options;

namespace {

const ProgramDescription Description{
    .name = "gentianramp-control",
    .summary = "Keeps the declared configuration and orders the engines of a data centre."};

ExitCode initialise(const NodeSettings &settings)
{
    if (!settings.voter) {
        std::cerr << "this instance is no voter: it has no data folder\n";
        return ExitCode::Usage;
    }
    if (const std::error_code error = initialiseDataFolder(settings, randomSeed())) {
        std::cerr << "cannot initialise " << settings.dataFolder << ": " << error.message()
                  << "; the folder must be empty\n";
        return ExitCode::Failed;
    }
    return ExitCode::Ok;
}

Result<std::vector<std::string>> operatorKeysOf(const NodeSettings &settings)
{
    if (settings.operatorKeysFile.empty())
        return std::vector<std::string>{};
    return readOperatorKeysFile(settings.operatorKeysFile);
}

Result<ControlOptions> controlOptions(const NodeSettings &settings)
{
    ControlOptions options;
    const Result<KeyPairFile> keys = readKeyPairFile(settings.secretKeyFile);
    if (!keys)
        return {keys.error(), "cannot read the key file: " + keys.message()};
    Result<std::vector<std::string>> operators = operatorKeysOf(settings);
    if (!operators)
        return {operators.error(), "cannot read the operators' keys: " + operators.message()};
    options.settings = settings;
    options.keys = {keys->publicKey, keys->secretKey};
    options.operatorKeys = std::move(operators).value();
    options.incarnation = Incarnation(static_cast<std::uint64_t>(wallClockMs()));
    options.seed = randomSeed();
    options.operations = declaredConfigurationOperations();
    return options;
}

/// Takes over keys and addresses of the other processes.
void takePeers(ControlNode &node, const std::string &settingsFile)
{
    if (auto reloaded = reloadPeers(settingsFile, node.settings().instance))
        node.setPeers(reloaded->peers, std::move(reloaded->operatorKeys));
}

ExitCode run(const NodeSettings &settings, const std::string &settingsFile)
{
    blockProcessSignals();
    ignoreWriteSignals();
    Result<ControlOptions> options = controlOptions(settings);
    if (!options) {
        std::cerr << options.message() << "\n";
        return ExitCode::BadSettings;
    }
    startLogging(Description.name);
    const Incarnation incarnation = options->incarnation;
    ControlNode node(std::move(options).value());
    const MembershipComponent membership(node);
    const AuthorityComponent authority(node, incarnation, randomSeed(),
                                       [] { return makePredictivePolicy(); });
    const Result<std::uint16_t> port = node.start();
    if (!port) {
        logError("start_failed", {{"error", port.error().message()}, {"reason", port.message()}});
        return ExitCode::Failed;
    }
    logInfo("listening", {{"host", settings.httpHost}, {"port", *port}});
    ProcessSignals signals(node.executor(), [&](int signal) {
        if (signal == SIGHUP)
            takePeers(node, settingsFile);
        else
            node.shutdown();
    });
    if (const std::error_code error = signals.start()) {
        logError("start_failed", {{"error", error.message()}, {"reason", "no signal descriptor"}});
        return ExitCode::Failed;
    }
    return node.run() ? ExitCode::Ok : ExitCode::Failed;
}

} // namespace

int main(int argc, char **argv)
{
    returnFreedMemory();
    CommandLine line(Description);
    std::string file;
    bool initialiseOnly = false;
    line.options().add_options()("config", po::value(&file)->required()->value_name("FILE"),
                                 "settings of this process (YAML)")(
        "check-config", "check the settings, then exit")(
        "initialise", po::bool_switch(&initialiseOnly),
        "make the empty data folder one of a new deployment, then exit; once for each voter, "
        "never when a voter is replaced");
    if (const std::optional<ExitCode> code = line.parse(argc, argv, std::cout, std::cerr))
        return static_cast<int>(*code);
    const auto settings = loadNodeSettings(file);
    if (!settings || settings->kind != ProcessKind::Control) {
        std::cerr << (settings ? "expected settings of a control process" : settings.message())
                  << "\n";
        return static_cast<int>(ExitCode::BadSettings);
    }
    if (line.values().count("check-config") != 0)
        return static_cast<int>(ExitCode::Ok);
    return static_cast<int>(initialiseOnly ? initialise(*settings) : run(*settings, file));
}
