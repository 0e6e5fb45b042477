#include <array>
#include <gentianramp/replay/result_file.hpp>
#include <optional>
#include <sstream>

namespace gentianramp {
namespace {

constexpr std::string_view Header = "gentianramp-result 1";
constexpr std::array Kinds{OutcomeKind::Timely, OutcomeKind::Late,  OutcomeKind::Refused,
                           OutcomeKind::Cut,    OutcomeKind::Wrong, OutcomeKind::Unknown};

std::optional<OutcomeKind> parseKind(const std::string &text)
{
    for (const OutcomeKind kind : Kinds) {
        if (toString(kind) == text)
            return kind;
    }
    return std::nullopt;
}

bool parseLine(std::istringstream &fields, ReplayResult &result)
{
    std::string word;
    fields >> word;
    if (word.empty() || word.front() == '#')
        return true;
    if (word == "name")
        return static_cast<bool>(fields >> result.name);
    if (word == "role_changes")
        return static_cast<bool>(fields >> result.roleChanges);
    std::int64_t first = 0;
    if (word == "roles") {
        RoleSample sample;
        if (!(fields >> first >> sample.mixed >> sample.prefill >> sample.decode
              >> sample.changing))
            return false;
        sample.at = std::chrono::milliseconds(first);
        result.roles.push_back(sample);
        return true;
    }
    std::string kind;
    std::int64_t end = 0;
    if (word != "request" || !(fields >> kind >> first >> end) || !parseKind(kind))
        return false;
    result.outcomes.push_back(
        {*parseKind(kind), std::chrono::milliseconds(first), std::chrono::milliseconds(end)});
    return true;
}

} // namespace

std::string formatResult(const ReplayResult &result)
{
    std::ostringstream out;
    out << Header << "\nname " << (result.name.empty() ? "run" : result.name) << "\nrole_changes "
        << result.roleChanges << '\n';
    for (const RoleSample &sample : result.roles)
        out << "roles " << toMilliseconds(sample.at) << ' ' << sample.mixed << ' ' << sample.prefill
            << ' ' << sample.decode << ' ' << sample.changing << '\n';
    for (const RequestOutcome &outcome : result.outcomes)
        out << "request " << toString(outcome.kind) << ' ' << toMilliseconds(outcome.firstToken)
            << ' ' << toMilliseconds(outcome.end) << '\n';
    return out.str();
}

Result<ReplayResult> parseResult(std::string_view text)
{
    std::istringstream lines{std::string(text)};
    std::string line;
    if (!std::getline(lines, line) || line != Header)
        return {Error::Malformed, "line 1: expected " + std::string(Header)};
    ReplayResult result;
    for (std::size_t number = 2; std::getline(lines, line); ++number) {
        std::istringstream fields(line);
        if (!parseLine(fields, result))
            return {Error::Malformed,
                    "line " + std::to_string(number) + ": expected a line as in docs/TRACES.md"};
    }
    return result;
}

} // namespace gentianramp
