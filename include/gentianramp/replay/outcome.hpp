#pragma once

#include <cstdint>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/ids.hpp>
#include <gentianramp/routing/fleet_view.hpp>
#include <string>
#include <vector>

namespace gentianramp {

/// How a replayed request ended.
enum class OutcomeKind {
    Timely,  ///< Whole and within its deadline.
    Late,    ///< Whole but after its deadline.
    Refused, ///< Not run.
    Cut,     ///< Begun and not whole.
    Wrong,   ///< The answer had a gap, a repeat or tokens of another request.
    Unknown, ///< No end was seen.
};

/// Name of @p kind in files and reports.
std::string_view toString(OutcomeKind kind);

/// How one replayed request ended and when.
struct RequestOutcome
{
    OutcomeKind kind = OutcomeKind::Unknown;
    Duration firstToken{}; ///< From arrival; zero when none came.
    Duration end{};        ///< From the start of the trace.
    bool operator==(const RequestOutcome &) const = default;
};

/// Number of engines by role at a moment of a run.
struct RoleSample
{
    Duration at{};
    std::uint32_t mixed = 0;
    std::uint32_t prefill = 0;
    std::uint32_t decode = 0;
    std::uint32_t changing = 0;
    bool operator==(const RoleSample &) const = default;
};

/// Result of a replay.
struct ReplayResult
{
    std::string name;
    std::vector<RequestOutcome> outcomes; ///< In the order of the trace.
    std::vector<RoleSample> roles;
    std::uint32_t roleChanges = 0;
    std::uint64_t cachedTokens = 0; ///< Prompt tokens that engines found in their caches.
    std::uint64_t promptTokens = 0;
    std::uint32_t largestPileUp = 0; ///< Most requests at one engine at a time.

    std::uint64_t count(OutcomeKind kind) const;
    /// Complete, timely answers per second of @p length.
    double goodput(Duration length) const;
    /// Time to the first token below which the share @p q lies.
    Duration firstTokenQuantile(double q) const;
};

} // namespace gentianramp
