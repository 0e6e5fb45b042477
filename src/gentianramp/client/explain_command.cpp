#include "command_support.hpp"

#include <algorithm>
#include <fstream>
#include <gentianramp/logbook/request_explanation.hpp>

namespace gentianramp {

namespace {

/// Returns the log files to read, sorted by path. A folder in @p paths stands for the regular files
/// that it holds directly.
Result<std::vector<std::filesystem::path>> logFiles(const std::vector<std::string> &paths)
{
    std::vector<std::filesystem::path> files;
    for (const std::string &path : paths) {
        std::error_code error;
        if (!std::filesystem::is_directory(path, error)) {
            files.emplace_back(path);
            continue;
        }
        for (const auto &entry : std::filesystem::directory_iterator(path, error)) {
            if (entry.is_regular_file())
                files.push_back(entry.path());
        }
        if (error)
            return {error, path + ": " + error.message()};
    }
    for (const std::filesystem::path &file : files) {
        if (!std::ifstream(file).good())
            return {Error::Unavailable, file.string() + ": cannot open the log file"};
    }
    std::sort(files.begin(), files.end());
    return files;
}

LogSource logSourceFrom(std::vector<std::filesystem::path> files)
{
    return [files = std::move(files)](const std::function<void(const LogLine &)> &handleLine) {
        for (const std::filesystem::path &file : files) {
            std::ifstream in(file);
            const std::string process = file.stem().string();
            for (std::string text; std::getline(in, text);) {
                if (const auto line = parseLogLine(text, process))
                    handleLine(*line);
            }
        }
    };
}

nlohmann::json toJson(const std::vector<LogLine> &lines)
{
    nlohmann::json array = nlohmann::json::array();
    for (const LogLine &line : lines)
        array.push_back({{"process", line.process},
                         {"time_ms", line.timeMs},
                         {"event", line.event},
                         {"fields", line.fields}});
    return array;
}

/// Formats @p lines as a table, with times in milliseconds relative to @p origin.
std::string toText(const std::vector<LogLine> &lines, std::int64_t origin)
{
    TextTable table({"ms", "process", "event", "fields"});
    for (const LogLine &line : lines) {
        std::string fields;
        for (const auto &[name, value] : line.fields) {
            if (name != "request")
                fields.append(fields.empty() ? "" : " ").append(name).append("=").append(value);
        }
        table.addRow({std::to_string(line.timeMs - origin), line.process, line.event, fields});
    }
    return table.toString();
}

std::string toText(const RequestExplanation &explanation)
{
    const std::int64_t origin = explanation.lines.front().timeMs;
    std::string text = explanation.request + ": " + explanation.cause
        + "\n\nlog lines of the request\n" + toText(explanation.lines, origin);
    if (!explanation.contextLines.empty())
        text += "\nstate changes around the request\n" + toText(explanation.contextLines, origin);
    if (explanation.linesDropped)
        text += "\nprocesses dropped log lines at that time: lines may be missing above\n";
    return text;
}

} // namespace

ExitCode runExplain(CommandContext &context)
{
    const std::vector<std::string> &words = context.options.arguments;
    if (words.size() < 2)
        return fail(context, ExitCode::Usage,
                    "expected the id of a request, and log files or folders");
    Result<std::vector<std::filesystem::path>> files = logFiles({words.begin() + 1, words.end()});
    if (!files)
        return fail(context, ExitCode::Failed, files.message());
    const auto explanation = explainRequest(logSourceFrom(std::move(files).value()), words.front());
    if (!explanation)
        return fail(context, ExitCode::Failed, "no log line found for request " + words.front());
    print(context,
          {{"request", explanation->request},
           {"cause", explanation->cause},
           {"lines", toJson(explanation->lines)},
           {"beliefs", toJson(explanation->contextLines)},
           {"lines_missing", explanation->linesDropped}},
          toText(*explanation));
    return ExitCode::Ok;
}

} // namespace gentianramp
