#pragma once

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/variables_map.hpp>
#include <filesystem>
#include <gentianramp/config/declared_configuration.hpp>
#include <gentianramp/config/node_settings.hpp>
#include <gentianramp/config/settings_error.hpp>
#include <optional>
#include <ostream>
#include <string>

namespace gentianramp {

/// Exit codes of all programs.
enum class ExitCode : int {
    Ok = 0,
    Failed = 1,         ///< The program ran and failed; the message says why.
    Usage = 2,          ///< Invalid command line.
    BadSettings = 3,    ///< A settings or configuration file is invalid.
    Conflict = 4,       ///< Another change was accepted first.
    Refused = 5,        ///< The system refused the command.
    Unavailable = 6,    ///< No process answered in time; nothing was run.
    UnknownOutcome = 7, ///< The command may have been run; resend it with the same id.
    NotInForce = 8,     ///< Accepted, but not confirmed in force on all processes in time.
};

/// Name and purpose of a program, for --help.
struct ProgramDescription
{
    std::string name;    ///< "gentianramp-entry".
    std::string summary; ///< One line.
};

/// Command line with the options --help, --version and those of the program.
class CommandLine
{
public:
    explicit CommandLine(ProgramDescription description);

    /// Add the options of the program here before parse().
    boost::program_options::options_description &options() noexcept { return m_options; }
    /// Parses the arguments; returns an exit code if the program has to exit at once.
    std::optional<ExitCode> parse(int argc, const char *const *argv, std::ostream &out,
                                  std::ostream &errors);
    const boost::program_options::variables_map &values() const noexcept { return m_values; }

private:
    ProgramDescription m_description;
    boost::program_options::options_description m_options;
    boost::program_options::variables_map m_values;
};

/// Settings of a daemon and the declared configuration that they name.
struct DaemonSettings
{
    NodeSettings node;
    /// No value if the settings name no configuration file.
    std::optional<DeclaredConfiguration> configuration;
    bool operator==(const DaemonSettings &) const = default;
};

/// Command line of a daemon: --config FILE and --check-config besides --help and --version.
CommandLine daemonCommandLine(const ProgramDescription &description);

/// Value of --config.
std::filesystem::path settingsFileOf(const CommandLine &line);
/// True with --check-config: the daemon checks its settings and exits.
bool checksOnly(const CommandLine &line);

/// Reads the settings of a daemon of @p kind and the declared configuration that they name.
Validated<DaemonSettings> loadDaemonSettings(const std::filesystem::path &file, ProcessKind kind);

} // namespace gentianramp
