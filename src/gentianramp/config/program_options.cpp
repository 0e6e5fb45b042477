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

void reportAll(std::ostream &errors, const SettingsErrors &list)
{
    for (const SettingsError &error : list)
        errors << toString(error) << '\n';
}

/// Fills @p start from the settings file; false when something is wrong with it.
bool loadAll(const std::filesystem::path &file, ProcessKind kind, DaemonStart &start,
             std::ostream &errors)
{
    auto settings = loadNodeSettings(file);
    if (!settings) {
        reportAll(errors, settings.errors());
        return false;
    }
    if (settings->kind != kind) {
        reportAll(errors,
                  {{file, 0, "kind",
                    std::string("expected ") + (kind == ProcessKind::Entry ? "entry" : "control")
                        + " for this program"}});
        return false;
    }
    start.settings = std::move(settings).value();
    if (start.settings.configurationFile.empty())
        return true;
    auto configuration
        = loadDeclaredConfiguration(start.settings.configurationFile, start.settings.overlayFiles);
    if (!configuration) {
        reportAll(errors, configuration.errors());
        return false;
    }
    start.configuration = std::move(configuration).value();
    return true;
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

DaemonStart startDaemon(int argc, const char *const *argv, ProcessKind kind,
                        const ProgramDescription &description, std::ostream &out,
                        std::ostream &errors)
{
    CommandLine line(description);
    std::string file;
    line.options().add_options()("config", options::value(&file)->required()->value_name("FILE"),
                                 "settings of this process (YAML)")(
        "check-config", "check the settings and the configuration that they name, then exit");
    DaemonStart start;
    start.exitCode = line.parse(argc, argv, out, errors);
    if (start.exitCode)
        return start;
    const bool valid = loadAll(file, kind, start, errors);
    if (!valid)
        start.exitCode = ExitCode::BadSettings;
    else if (line.values().count("check-config") != 0)
        start.exitCode = ExitCode::Ok;
    if (start.exitCode == ExitCode::Ok)
        out << file << ": no errors\n";
    return start;
}

} // namespace gentianramp
