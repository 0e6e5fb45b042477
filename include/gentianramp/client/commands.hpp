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

/// Options of gentianctl that commands use.
struct CommandOptions
{
    std::vector<std::string> arguments; ///< After the command's name.
    std::filesystem::path baseFile;
    std::vector<std::filesystem::path> overlayFiles;
    std::optional<std::uint64_t> baseRevision; ///< Revision that the change was made on.
    std::string commandId;                     ///< Empty: a new one is made and printed.
    std::string comment;
    std::string site;
    std::uint32_t limit = 20;
    bool wait = false;
    Duration waitTimeout = std::chrono::seconds(30);
    bool json = false;
    std::filesystem::path folder;       ///< Of key files.
    std::filesystem::path peersFile;    ///< Processes to make keys for.
    std::vector<std::string> processNames;     ///< Further processes to make keys for.
    std::vector<std::string> operators; ///< Operators to make keys for.
};

/// What a command works with.
struct CommandContext
{
    CommandOptions options;
    std::ostream &out;
    std::ostream &errors;
    /// Connects at the first call; an empty pointer after an error that was reported.
    std::function<OperatorClient *()> client;
    std::function<std::string()> makeCommandId;
    std::function<void(Duration)> pause;
};

/// A command of gentianctl.
struct Command
{
    std::string name; ///< "config apply".
    std::string arguments;
    std::string summary;
    std::function<ExitCode(CommandContext &)> run;
};

/// All commands, in the order of --help.
const std::vector<Command> &operatorCommands();

/// Finds the command that @p words start with and takes its name off them; null when none does.
const Command *findCommand(std::vector<std::string> &words);

} // namespace gentianramp
