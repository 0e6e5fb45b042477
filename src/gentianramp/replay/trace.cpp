#include <charconv>
#include <gentianramp/replay/trace.hpp>
#include <limits>
#include <optional>
#include <sstream>

namespace gentianramp {
namespace {

constexpr std::string_view Header = "gentianramp-trace 1";
constexpr std::string_view NoPrefix = "-";
constexpr std::size_t Columns = 10;
constexpr std::uint32_t LargestTokens = 10'000'000;
constexpr std::int64_t LongestMs = 7LL * 24 * 3600 * 1000;

std::vector<std::string_view> split(std::string_view line)
{
    std::vector<std::string_view> fields;
    while (!line.empty()) {
        const std::size_t begin = line.find_first_not_of(" \t\r");
        if (begin == std::string_view::npos)
            break;
        line.remove_prefix(begin);
        const std::size_t end = std::min(line.find_first_of(" \t\r"), line.size());
        fields.push_back(line.substr(0, end));
        line.remove_prefix(end);
    }
    return fields;
}

template <typename Number>
std::optional<Number> parseNumber(std::string_view text, Number largest)
{
    Number value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || value > largest || value < 0)
        return std::nullopt;
    return value;
}

std::optional<bool> parseYesNo(std::string_view text)
{
    if (text == "yes")
        return true;
    if (text == "no")
        return false;
    return std::nullopt;
}

std::optional<TraceRequest> parseRequest(const std::vector<std::string_view> &fields)
{
    if (fields.size() != Columns)
        return std::nullopt;
    const auto arrival = parseNumber<std::int64_t>(fields[0], LongestMs);
    const auto priority = parseNumber<std::uint32_t>(fields[3], 1000);
    const auto prompt = parseNumber<std::uint32_t>(fields[4], LargestTokens);
    const auto prefixTokens = parseNumber<std::uint32_t>(fields[6], LargestTokens);
    const auto output = parseNumber<std::uint32_t>(fields[7], LargestTokens);
    const auto deadline = parseNumber<std::int64_t>(fields[8], LongestMs);
    const auto idempotent = parseYesNo(fields[9]);
    if (!arrival || !priority || !prompt || !prefixTokens || !output || !deadline || !idempotent
        || *prefixTokens > *prompt)
        return std::nullopt;
    return TraceRequest{.arrival = std::chrono::milliseconds(*arrival),
                        .service = ServiceId(std::string(fields[1])),
                        .customer = CustomerId(std::string(fields[2])),
                        .priority = *priority,
                        .promptTokens = *prompt,
                        .prefix = fields[5] == NoPrefix ? "" : std::string(fields[5]),
                        .prefixTokens = *prefixTokens,
                        .outputTokens = *output,
                        .deadline = std::chrono::milliseconds(*deadline),
                        .idempotent = *idempotent};
}

Result<Trace> malformed(std::size_t line, std::string_view expected)
{
    return {Error::Malformed,
            "line " + std::to_string(line) + ": expected " + std::string(expected)};
}

void formatRequest(const TraceRequest &request, std::ostream &out)
{
    out << toMilliseconds(request.arrival) << ' ' << request.service << ' ' << request.customer
        << ' ' << request.priority << ' ' << request.promptTokens << ' '
        << (request.prefix.empty() ? NoPrefix : std::string_view(request.prefix)) << ' '
        << request.prefixTokens << ' ' << request.outputTokens << ' '
        << toMilliseconds(request.deadline) << ' ' << (request.idempotent ? "yes" : "no") << '\n';
}

} // namespace

std::string formatTrace(const Trace &trace)
{
    std::ostringstream out;
    out << Header << '\n'
        << "name " << trace.name << '\n'
        << "# arrival_ms service customer priority prompt_tokens prefix prefix_tokens "
           "output_tokens deadline_ms idempotent\n";
    for (const TraceRequest &request : trace.requests)
        formatRequest(request, out);
    return out.str();
}

Result<Trace> parseTrace(std::string_view text)
{
    Trace trace;
    std::size_t number = 0;
    bool headerSeen = false;
    while (!text.empty()) {
        ++number;
        const std::size_t end = std::min(text.find('\n'), text.size());
        const std::vector<std::string_view> fields = split(text.substr(0, end));
        const std::string_view line = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        if (!headerSeen) {
            if (line != Header)
                return malformed(number, Header);
            headerSeen = true;
            continue;
        }
        if (fields.empty() || fields.front().starts_with('#'))
            continue;
        if (fields.front() == "name" && fields.size() == 2) {
            trace.name = fields[1];
            continue;
        }
        std::optional<TraceRequest> request = parseRequest(fields);
        if (!request)
            return malformed(number, "ten columns as in docs/TRACES.md");
        if (!trace.requests.empty() && request->arrival < trace.requests.back().arrival)
            return malformed(number, "an arrival no earlier than the one before");
        trace.requests.push_back(std::move(*request));
    }
    if (!headerSeen)
        return malformed(1, Header);
    return trace;
}

} // namespace gentianramp
