#include "test_files.hpp"

#include <gentianramp/config/key_files.hpp>
#include <gentianramp/config/program_options.hpp>
#include <optional>
#include <sstream>
#include <vector>

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

struct Outcome
{
    std::optional<ExitCode> exitCode;
    CommandLine line = daemonCommandLine({"gentianramp-entry", "serves callers"});
    std::string out;
    std::string errors;
};

Outcome parse(std::vector<const char *> arguments)
{
    arguments.insert(arguments.begin(), "gentianramp-entry");
    std::ostringstream out;
    std::ostringstream errors;
    Outcome outcome;
    outcome.exitCode
        = outcome.line.parse(static_cast<int>(arguments.size()), arguments.data(), out, errors);
    outcome.out = out.str();
    outcome.errors = errors.str();
    return outcome;
}

} // namespace

Test(ProgramOptions, HelpAndVersionExitWithOk)
{
    const Outcome help = parse({"--help"});
    cr_assert(help.exitCode == ExitCode::Ok);
    cr_assert(help.out.find("--check-config") != std::string::npos);
    const Outcome version = parse({"--version"});
    cr_assert(version.exitCode == ExitCode::Ok);
    cr_assert(version.out.find("gentianramp-entry ") == 0);
}

Test(ProgramOptions, InvalidCommandLineExitsWithUsage)
{
    cr_assert(parse({}).exitCode == ExitCode::Usage);
    cr_assert(parse({"--confg", "x"}).exitCode == ExitCode::Usage);
    cr_assert(parse({"--config"}).exitCode == ExitCode::Usage);
}

Test(ProgramOptions, ReturnsTheSettingsFile)
{
    const Outcome outcome = parse({"--config", "node.yaml", "--check-config"});
    cr_assert_not(outcome.exitCode.has_value());
    cr_assert(settingsFileOf(outcome.line) == "node.yaml");
    cr_assert(checksOnly(outcome.line));
    cr_assert_not(checksOnly(parse({"--config", "node.yaml"}).line));
}

Test(ProgramOptions, WrongSettingsListEveryError)
{
    const ScratchFolder folder("front");
    const auto loaded = loadDaemonSettings(folder.write("node.yaml", "instance: a\nkind: entri\n"),
                                           ProcessKind::Entry);
    cr_assert(loaded.message().find("node.yaml:2: kind: expected one of entry, control")
              != std::string::npos);
    cr_assert(loaded.message().find("endpoint: key is missing") != std::string::npos);
    cr_assert(*loaded == DaemonSettings{});
}

Test(ProgramOptions, RefusesTheSettingsOfAnotherProgram)
{
    const ScratchFolder folder("kind");
    writeKeyFiles(folder.path(), "a", {std::string(40, 'a'), std::string(40, 'b')});
    const auto file = folder.write("node.yaml",
                                   "instance: a\ndata_centre: north\nkind: control\n"
                                   "http_port: 1\nendpoint: tcp://127.0.0.1:7001\n"
                                   "key_folder: .\n");
    cr_assert(static_cast<bool>(loadDaemonSettings(file, ProcessKind::Control)));
    cr_assert(loadDaemonSettings(file, ProcessKind::Entry).message().find("expected entry")
              != std::string::npos);
}
