#include <boost/asio/io_context.hpp>
#include <boost/program_options/parsers.hpp>
#include <boost/program_options/positional_options.hpp>
#include <boost/program_options/value_semantic.hpp>
#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <gentianramp/client/commands.hpp>
#include <gentianramp/client/mesh_link.hpp>
#include <gentianramp/config/key_files.hpp>
#include <gentianramp/config/settings_file.hpp>
#include <gentianramp/core/clock.hpp>
#include <iomanip>
#include <iostream>
#include <memory>

using namespace gentianramp;
namespace po = boost::program_options;

namespace {

constexpr int NameColumns = 36;

constexpr std::string_view ExitCodes = R"(
Exit codes:
  0  done
  1  failed; the message says why
  2  wrong command line
  3  a settings or configuration file is wrong
  4  another change was accepted first; nothing was changed
  5  refused; nothing was changed
  6  no answer in time; nothing was changed
  7  may have been accepted; resend with the same --command-id and --on
  8  accepted, but not seen in force at every site within the wait
)";

/// The command line of gentianctl.
struct Arguments
{
    std::filesystem::path settingsFile;
    std::vector<std::string> words;
    std::uint64_t baseRevision = 0;
    std::uint32_t waitSeconds = 30;
    std::vector<std::string> overlays;
    CommandOptions options;
};

po::options_description describeOptions(Arguments &arguments)
{
    CommandOptions &options = arguments.options;
    po::options_description description("Options");
    auto add = description.add_options();
    add("help,h", "print this help and exit");
    add("version", "print the version and exit");
    add("settings", po::value(&arguments.settingsFile)->default_value("operator.yaml"),
        "settings of the operator (YAML)");
    add("json", po::bool_switch(&options.json), "print one JSON object");
    add("base", po::value(&options.baseFile), "base file, in place of FOLDER");
    add("overlay", po::value(&arguments.overlays)->composing(), "overlay of a site; repeatable");
    add("on", po::value(&arguments.baseRevision), "revision that the change was made on");
    add("command-id", po::value(&options.commandId), "id of the command when it is resent");
    add("comment", po::value(&options.comment), "text for the history");
    add("wait", po::bool_switch(&options.wait), "wait until the change is in force everywhere");
    add("wait-seconds", po::value(&arguments.waitSeconds), "longest wait (30)");
    add("site", po::value(&options.site), "only this site");
    add("limit", po::value(&options.limit), "history entries to show (20, 0: all)");
    add("dir", po::value(&options.folder), "folder of key files");
    add("peers-file", po::value(&options.peersFile), "make keys for the processes in this file");
    add("name", po::value(&options.processNames)->composing(),
        "make keys for this process; repeatable");
    add("operator", po::value(&options.operators)->composing(),
        "make keys for this operator; repeatable");
    return description;
}

void printHelp(const po::options_description &visible)
{
    std::cout << "gentianctl: the operators' client of gentianramp\n\n"
              << "gentianctl [options] COMMAND\n\nCommands:\n";
    for (const Command &command : operatorCommands())
        std::cout << "  " << std::left << std::setw(NameColumns)
                  << command.name + " " + command.arguments << command.summary << '\n';
    std::cout << '\n' << visible << ExitCodes;
}

/// Reads the command line; returns the code to exit with when there is nothing to run.
std::optional<ExitCode> parse(int argc, char **argv, Arguments &arguments)
{
    const po::options_description visible = describeOptions(arguments);
    po::options_description all;
    all.add(visible).add_options()("words", po::value(&arguments.words));
    po::positional_options_description positional;
    positional.add("words", -1);
    po::variables_map values;
    try {
        po::store(po::command_line_parser(argc, argv).options(all).positional(positional).run(),
                  values);
        po::notify(values);
    } catch (const po::error &problem) {
        std::cerr << "gentianctl: " << problem.what() << "; see --help\n";
        return ExitCode::Usage;
    }
    if (values.count("help") != 0) {
        printHelp(visible);
        return ExitCode::Ok;
    }
    if (values.count("version") != 0) {
        std::cout << "gentianctl " << GENTIANRAMP_VERSION << '\n';
        return ExitCode::Ok;
    }
    if (values.count("on") != 0)
        arguments.options.baseRevision = arguments.baseRevision;
    arguments.options.waitTimeout = std::chrono::seconds(arguments.waitSeconds);
    arguments.options.overlayFiles.assign(arguments.overlays.begin(), arguments.overlays.end());
    return std::nullopt;
}

std::string randomId()
{
    static boost::uuids::random_generator generator;
    return to_string(generator());
}

/// Connects to the control processes that the settings name; null after an error.
std::unique_ptr<OperatorClient> connect(const std::filesystem::path &settingsFile)
{
    const auto settings = loadOperatorSettings(settingsFile);
    if (!settings) {
        std::cerr << settings.message() << '\n';
        return nullptr;
    }
    const auto keys = readKeyPairFile(settings->secretKeyFile);
    if (!keys) {
        std::cerr << keys.message() << '\n';
        return nullptr;
    }
    OperatorClientOptions options;
    options.author = settings->name;
    options.answerTimeout = settings->answerTimeout;
    options.commandTimeout = settings->commandTimeout;
    options.requestPrefix = settings->name + "-" + randomId();
    for (const PeerSettings &control : settings->controls)
        options.controls.push_back(control.instance);
    return std::make_unique<OperatorClient>(std::move(options), makeMeshLink(*settings, *keys));
}

void pauseFor(Duration time)
{
    boost::asio::io_context context;
    Timer timer(context, time);
    timer.wait();
}

} // namespace

int main(int argc, char **argv)
{
    Arguments arguments;
    if (const auto code = parse(argc, argv, arguments))
        return static_cast<int>(*code);
    const Command *command = findCommand(arguments.words);
    if (!command) {
        std::cerr << "gentianctl: expected a command; see --help\n";
        return static_cast<int>(ExitCode::Usage);
    }
    arguments.options.arguments = arguments.words;
    std::unique_ptr<OperatorClient> client;
    CommandContext context{
        .options = arguments.options,
        .out = std::cout,
        .errors = std::cerr,
        .client =
            [&] {
                if (!client)
                    client = connect(arguments.settingsFile);
                return client.get();
            },
        .makeCommandId = randomId,
        .pause = pauseFor,
    };
    return static_cast<int>(command->run(context));
}
