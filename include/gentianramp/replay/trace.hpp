#pragma once

#include <cstdint>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/error.hpp>
#include <gentianramp/core/ids.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace gentianramp {

/// One request of a trace.
struct TraceRequest
{
    Duration arrival{}; ///< From the start of the trace; whole milliseconds.
    ServiceId service;
    CustomerId customer;
    std::uint32_t priority = 0;
    std::uint32_t promptTokens = 0;
    std::string prefix; ///< Name of the shared prefix; empty: none.
    std::uint32_t prefixTokens = 0;
    std::uint32_t outputTokens = 0;
    Duration deadline{}; ///< For the whole answer, from arrival; whole milliseconds.
    bool idempotent = true;
    bool operator==(const TraceRequest &) const = default;
};

/// Requests in order of arrival.
struct Trace
{
    std::string name;
    std::vector<TraceRequest> requests;
    bool operator==(const Trace &) const = default;
};

/// Text of a trace, as docs/TRACES.md describes it.
std::string formatTrace(const Trace &trace);
/// Reads the text of a trace; Error::Malformed with the line number when it is none.
Result<Trace> parseTrace(std::string_view text);

/// Deployment whose load a generated trace has the shape of.
enum class Deployment {
    Zilina,
    Kyushu,
};

/// What to generate.
struct TraceShape
{
    Deployment deployment = Deployment::Kyushu;
    Duration length = std::chrono::seconds(600);
    double load = 1; ///< Factor on the rate of arrivals.
};

/// Generates a trace; the same shape and seed give the same trace.
Trace generateTrace(const TraceShape &shape, std::uint64_t seed);

} // namespace gentianramp
