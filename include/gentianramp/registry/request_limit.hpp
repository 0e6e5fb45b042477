#pragma once

#include <cstdint>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/ids.hpp>
#include <optional>
#include <string>

namespace gentianramp {

/// Statement of a backend server on the requests that it takes from all instances together.
struct RequestLimit
{
    BackendId server;
    std::int64_t startedAtMs = 0; ///< Tells the incarnation of the server.
    std::string service;
    std::optional<double> perSecond; ///< Empty: the server no longer names a limit.
    TimePoint statedAt{};            ///< When the answer that says so arrived.
    bool operator==(const RequestLimit &) const = default;
};

} // namespace gentianramp
