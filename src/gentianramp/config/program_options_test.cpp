#include "test_files.hpp"

#include <gentianramp/config/program_options.hpp>
#include <sstream>
#include <vector>

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

struct Outcome
{
    DaemonStart start;
    std::string out;
    std::string errors;
};

Outcome run(std::vector<const char *> arguments)
{
    arguments.insert(arguments.begin(), "gentianramp-entry");
    std::ostringstream out;
    std::ostringstream errors;
    Outcome outcome;
    outcome.start
        = startDaemon(static_cast<int>(arguments.size()), arguments.data(), ProcessKind::Entry,
                      {"gentianramp-entry", "serves callers"}, out, errors);
    outcome.out = out.str();
    outcome.errors = errors.str();
    return outcome;
}

} // namespace

Test(ProgramOptions, HelpAndVersionExitWithOk)
{
    const Outcome help = run({"--help"});
    cr_assert(help.start.exitCode == ExitCode::Ok);
    cr_assert(help.out.find("--check-config") != std::string::npos);
    const Outcome version = run({"--version"});
    cr_assert(version.start.exitCode == ExitCode::Ok);
    cr_assert(version.out.find("gentianramp-entry ") == 0);
}

Test(ProgramOptions, WrongCommandLineIsUsage)
{
    cr_assert(run({}).start.exitCode == ExitCode::Usage);
    cr_assert(run({"--confg", "x"}).start.exitCode == ExitCode::Usage);
    cr_assert(run({"--config"}).start.exitCode == ExitCode::Usage);
}

Test(ProgramOptions, WrongSettingsListEveryError)
{
    const ScratchFolder folder("front");
    const std::string file = folder.write("node.yaml", "instance: a\nkind: entri\n").string();
    const Outcome outcome = run({"--config", file.c_str()});
    cr_assert(outcome.start.exitCode == ExitCode::BadSettings);
    cr_assert(outcome.errors.find("node.yaml:2: kind: expected one of entry, control")
              != std::string::npos);
    cr_assert(outcome.errors.find("endpoint: key is missing") != std::string::npos);
}
