#pragma once

#include <chrono>
#include <functional>
#include <gentianramp/logbook/log_line.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gentianramp {

/// Passes every line of the logs to the callback, in any order. Can be called repeatedly.
using LogSource = std::function<void(const std::function<void(const LogLine &)> &)>;

/// Options of explainRequest().
struct ExplainOptions
{
    /// How long before the request a state change may still have affected it. Covers the state that
    /// an entry process keeps longest, the penalty of a slow server, which lasts 8 s.
    std::chrono::milliseconds lookback{10'000};
    /// Largest difference between the clocks of two instances.
    std::chrono::milliseconds maxClockSkew{1'000};
};

/// Log lines that explain the result of one request, and its likely cause.
struct RequestExplanation
{
    std::string request;
    std::vector<LogLine> lines;        ///< Lines that name the request, oldest first.
    std::vector<LogLine> contextLines; ///< State changes that may matter to it, oldest first.
    std::string cause;                 ///< Text for operators; see likelyCause().
    bool linesDropped = false;         ///< A process dropped log lines during that time.
    bool operator==(const RequestExplanation &) const = default;
};

/// Collects the explanation of @p request; nullopt when no line names the request.
std::optional<RequestExplanation> explainRequest(const LogSource &source, std::string_view request,
                                                 const ExplainOptions &options = {});

/// Describes the likely cause of a request's result, from the lines that name the request and the
/// context lines of RequestExplanation, both oldest first.
std::string likelyCause(const std::vector<LogLine> &lines,
                        const std::vector<LogLine> &contextLines);

} // namespace gentianramp
