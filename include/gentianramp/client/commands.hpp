#pragma once

#include <filesystem>
#include <functional>
#include <gentianramp/client/operator_client.hpp>
#include <gentianramp/config/program_options.hpp>
#include <gentianramp/core/clock.hpp>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace gentianramp {

/// Command-line options of gentianctl that the commands use.
struct CommandOptions
{
    std::vector<std::string> arguments; ///< Words after the name of the command.
    std::filesystem::path baseFile;
    std::vector<std::filesystem::path> overlayFiles;
    std::optional<std::uint64_t> baseRevision; ///< Revision that the change is based on (--on).
    std::string commandId;                     ///< Empty: a new id is generated and printed.
    std::string comment;
    std::string site;
    std::uint32_t limit = 20;
    bool wait = false;
    Duration waitTimeout = std::chrono::seconds(30);
    bool json = false;
    std::filesystem::path folder;          ///< Folder of the key files (--dir).
    std::filesystem::path peersFile;       ///< Lists processes to make keys for (--peers-file).
    std::vector<std::string> processNames; ///< Processes to make or rotate keys for (--name).
    std::vector<std::string> operators;    ///< Operators to make keys for (--operator).
};

/// Options, output streams and services that a command uses.
struct CommandContext
{
    CommandOptions options;
    std::ostream &out;
    std::ostream &errors;
    /// Connects at the first call. Returns null when that fails; the error is reported before.
    std::function<OperatorClient *()> client;
    std::function<std::string()> makeCommandId;
    std::function<void(Duration)> pause;
};

/// A command of gentianctl, with its texts for --help.
struct Command
{
    std::string name; ///< One or two words, for example "config apply".
    std::string arguments;
    std::string summary;
    std::function<ExitCode(CommandContext &)> run;
};

/// All commands, in the order of --help.
const std::vector<Command> &operatorCommands();

/// Finds the command whose name @p words start with and removes the name from @p words. Returns
/// null and leaves @p words unchanged when there is no such command.
const Command *findCommand(std::vector<std::string> &words);

} // namespace gentianramp
