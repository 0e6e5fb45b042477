#pragma once

#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/error.hpp>
#include <string>
#include <string_view>

namespace gentianramp {

/// Longest time for which a backend server is left alone at its own request.
constexpr Duration LongestHold = std::chrono::seconds(60);

/// Value of a Retry-After field in seconds, which may have a fraction. Longer times than
/// LongestHold are shortened to it. Fails if the value is not a number of seconds, is negative or
/// not finite.
Result<Duration> parseRetryAfter(std::string_view text);

/// A value of a Retry-After field with three digits after the point, at least a millisecond.
std::string formatRetryAfter(Duration value);

} // namespace gentianramp
