#pragma once

#include <cstdint>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/http/client.hpp>
#include <string>
#include <vector>

namespace gentianramp {

/// Where load goes and with which key.
struct LoadTarget
{
    HttpAddress address;
    std::string bearerKey; ///< Empty: sent to a backend server itself.
};

/// What came of a span of load.
struct LoadResult
{
    std::uint64_t completed = 0;
    std::uint64_t failed = 0;
    std::uint64_t tokens = 0;
    Duration span{};
    std::vector<Duration> latencies; ///< Of the completed requests.
};

/// Sends plain calls, each next one when an earlier one ends.
LoadResult runClosedLoop(const LoadTarget &target, unsigned callers, Duration span);

/// Sends plain calls at a fixed rate from a fixed number of callers, after a short warm-up;
/// latency counts from the time at which a call was due.
LoadResult runAtRate(const LoadTarget &target, double callsPerSecond, Duration span);

/// Opens streams all at once and reads them to their ends. @p whileOpen is called on the thread of
/// the caller when every stream has its first token.
LoadResult runStreams(const LoadTarget &target, const std::string &model, unsigned streams,
                      unsigned tokens, const std::function<void()> &whileOpen);

} // namespace gentianramp
