#include <boost/program_options/parsers.hpp>
#include <gentianramp/config/program_options.hpp>
#include <gentianramp/config/settings_file.hpp>

namespace gentianramp {

namespace {

namespace options = boost::program_options;

constexpr unsigned HelpColumns = 100;

void report(std::ostream &errors, const std::string &name, const std::string &message)
{
    errors << name << ": " << message << '\n';
}

} // namespace

CommandLine::CommandLine(ProgramDescription description)
    : m_description(std::move(description))
    , m_options("Options", HelpColumns)
{
    m_options.add_options()("help,h", "print this help and exit")("version",
                                                                  "print the version and exit");
}

std::optional<ExitCode> CommandLine::parse(int argc, const char *const *argv, std::ostream &out,
                                           std::ostream &errors)
{
    try {
        options::store(options::parse_command_line(argc, argv, m_options), m_values);
        if (m_values.count("help") != 0) {
            out << m_description.name << ": " << m_description.summary << "\n\n" << m_options;
            return ExitCode::Ok;
        }
        if (m_values.count("version") != 0) {
            out << m_description.name << ' ' << GENTIANRAMP_VERSION << '\n';
            return ExitCode::Ok;
        }
        options::notify(m_values);
    } catch (const options::error &problem) {
        report(errors, m_description.name, std::string(problem.what()) + "; see --help");
        return ExitCode::Usage;
    }
    return std::nullopt;
}

CommandLine daemonCommandLine(const ProgramDescription &description)
{
    CommandLine line(description);
    line.options().add_options()("config",
                                 options::value<std::string>()->required()->value_name("FILE"),
                                 "settings of this process (YAML)")(
        "check-config", options::bool_switch(),
        "check the settings and the configuration that they name, then exit");
    return line;
}

std::filesystem::path settingsFileOf(const CommandLine &line)
{
    return line.values()["config"].as<std::string>();
}

bool checksOnly(const CommandLine &line)
{
    return line.values()["check-config"].as<bool>();
}

Validated<DaemonSettings> loadDaemonSettings(const std::filesystem::path &file, ProcessKind kind)
{
    auto node = loadNodeSettings(file);
    if (!node)
        return node.errors();
    if (node->kind != kind)
        return SettingsErrors{{file, 0, "kind",
                               std::string("expected ")
                                   + (kind == ProcessKind::Entry ? "entry" : "control")
                                   + " for this program, found the other kind"}};
    DaemonSettings settings;
    settings.node = std::move(node).value();
    if (settings.node.configurationFile.empty())
        return settings;
    auto configuration
        = loadDeclaredConfiguration(settings.node.configurationFile, settings.node.overlayFiles);
    if (!configuration)
        return configuration.errors();
    settings.configuration = std::move(configuration).value();
    return settings;
}

} // namespace gentianramp
