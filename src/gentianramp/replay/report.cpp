#include <algorithm>
#include <functional>
#include <gentianramp/replay/report.hpp>
#include <iomanip>
#include <sstream>

namespace gentianramp {
namespace {

constexpr double Width = 560;  // pixels
constexpr double Height = 160; // pixels
constexpr double Margin = 34;  // pixels, for labels
constexpr double BinSeconds = 5;

/// One line of a chart.
struct Series
{
    std::string name;
    std::string colour;
    std::vector<double> values; ///< One for each bin.
};

double seconds(Duration value)
{
    return std::chrono::duration<double>(value).count();
}

std::string escaped(const std::string &text)
{
    std::string safe;
    for (const char character : text) {
        if (character == '<')
            safe += "&lt;";
        else if (character == '&')
            safe += "&amp;";
        else
            safe += character;
    }
    return safe;
}

std::string chart(const std::string &title, const std::vector<Series> &series, double most)
{
    std::ostringstream svg;
    svg << std::fixed << std::setprecision(1) << "<figure><figcaption>" << title
        << "</figcaption><svg viewBox='0 0 " << Width << ' ' << Height << "' width='" << Width
        << "' height='" << Height << "'>";
    const double low = Height - Margin / 2;
    svg << "<path d='M" << Margin << " 8V" << low << 'H' << Width
        << "' fill='none' stroke='#888'/><text x='2' y='14'>" << most << "</text><text x='2' y='"
        << low << "'>0</text>";
    double labelAt = Margin + 8;
    for (const Series &one : series) {
        svg << "<polyline fill='none' stroke='" << one.colour << "' points='";
        const auto count = static_cast<double>(std::max<std::size_t>(1, one.values.size()));
        for (std::size_t i = 0; i < one.values.size(); ++i)
            svg << Margin + (Width - Margin) * static_cast<double>(i) / count << ','
                << low - (low - 8) * std::min(1.0, one.values[i] / most) << ' ';
        svg << "'/><text x='" << labelAt << "' y='14' fill='" << one.colour << "'>" << one.name
            << "</text>";
        labelAt += 80;
    }
    svg << "</svg></figure>\n";
    return svg.str();
}

std::size_t binsOf(const Trace &trace)
{
    const double length = trace.requests.empty() ? 0 : seconds(trace.requests.back().arrival);
    return static_cast<std::size_t>(length / BinSeconds) + 1;
}

std::size_t binOf(Duration at, std::size_t bins)
{
    return std::min(bins - 1, static_cast<std::size_t>(std::max(0.0, seconds(at)) / BinSeconds));
}

std::string goodputChart(const Trace &trace, const ReplayResult &run)
{
    const std::size_t bins = binsOf(trace);
    Series offered{"offered", "#999", std::vector<double>(bins)};
    Series timely{"timely", "#07a", std::vector<double>(bins)};
    Series lost{"refused", "#c40", std::vector<double>(bins)};
    const std::size_t count = std::min(trace.requests.size(), run.outcomes.size());
    for (std::size_t i = 0; i < count; ++i) {
        const std::size_t bin = binOf(trace.requests[i].arrival, bins);
        offered.values[bin] += 1 / BinSeconds;
        if (run.outcomes[i].kind == OutcomeKind::Timely)
            timely.values[bin] += 1 / BinSeconds;
        else
            lost.values[bin] += 1 / BinSeconds;
    }
    lost.name = "not timely";
    const double most = *std::ranges::max_element(offered.values);
    return chart("Requests a second, by arrival", {offered, timely, lost}, std::max(1.0, most));
}

double quantile(std::vector<double> &values, double q)
{
    if (values.empty())
        return 0;
    std::ranges::sort(values);
    return values[static_cast<std::size_t>(q * static_cast<double>(values.size() - 1))];
}

std::string latencyChart(const Trace &trace, const ReplayResult &run)
{
    const std::size_t bins = binsOf(trace);
    std::vector<std::vector<double>> times(bins);
    const std::size_t count = std::min(trace.requests.size(), run.outcomes.size());
    for (std::size_t i = 0; i < count; ++i) {
        if (run.outcomes[i].firstToken > Duration::zero())
            times[binOf(trace.requests[i].arrival, bins)].push_back(
                seconds(run.outcomes[i].firstToken));
    }
    Series median{"p50", "#07a", {}};
    Series high{"p99", "#c40", {}};
    for (std::vector<double> &bin : times) {
        median.values.push_back(quantile(bin, 0.5));
        high.values.push_back(quantile(bin, 0.99));
    }
    const double most = *std::ranges::max_element(high.values);
    return chart("Seconds to the first token", {median, high}, std::max(0.1, most));
}

std::string roleChart(const ReplayResult &run)
{
    if (run.roles.empty())
        return {};
    Series mixed{"mixed", "#07a", {}};
    Series prefill{"prefill", "#083", {}};
    Series decode{"decode", "#84c", {}};
    Series changing{"changing", "#c40", {}};
    for (const RoleSample &sample : run.roles) {
        mixed.values.push_back(sample.mixed);
        prefill.values.push_back(sample.prefill);
        decode.values.push_back(sample.decode);
        changing.values.push_back(sample.changing);
    }
    const RoleSample &first = run.roles.front();
    const double most = first.mixed + first.prefill + first.decode + first.changing;
    return chart("Engines by role", {mixed, prefill, decode, changing}, std::max(1.0, most));
}

std::string summaryTable(const Trace &trace, const ReplayResult &run)
{
    const Duration length
        = trace.requests.empty() ? Duration::zero() : trace.requests.back().arrival;
    std::ostringstream table;
    table << std::fixed << std::setprecision(2) << "<table><tr><th>goodput</th><td>"
          << run.goodput(length) << " /s</td></tr>";
    for (const OutcomeKind kind : {OutcomeKind::Timely, OutcomeKind::Late, OutcomeKind::Refused,
                                   OutcomeKind::Cut, OutcomeKind::Wrong, OutcomeKind::Unknown})
        table << "<tr><th>" << toString(kind) << "</th><td>" << run.count(kind) << "</td></tr>";
    for (const double q : {0.5, 0.95, 0.99})
        table << "<tr><th>first token p" << static_cast<int>(q * 100) << "</th><td>"
              << seconds(run.firstTokenQuantile(q)) << " s</td></tr>";
    table << "<tr><th>role changes</th><td>" << run.roleChanges << "</td></tr></table>\n";
    return table.str();
}

} // namespace

std::string reportPage(const Trace &trace, const std::vector<ReplayResult> &runs)
{
    std::ostringstream page;
    page << "<!doctype html><html lang='en'><meta charset='utf-8'><title>gentianramp replay "
         << escaped(trace.name)
         << "</title><style>body{font:14px sans-serif;margin:1em}main{display:flex;gap:2em;"
            "flex-wrap:wrap}th{text-align:left;padding-right:1em}figure{margin:1em 0}"
            "text{font:11px sans-serif}</style><h1>Trace "
         << escaped(trace.name) << ": " << trace.requests.size() << " requests</h1><main>\n";
    for (const ReplayResult &run : runs)
        page << "<section><h2>" << escaped(run.name) << "</h2>" << summaryTable(trace, run)
             << goodputChart(trace, run) << latencyChart(trace, run) << roleChart(run)
             << "</section>\n";
    page << "</main></html>\n";
    return page.str();
}

} // namespace gentianramp
