#include <gentianramp/relay/retry_after.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace gentianramp {

Result<Duration> parseRetryAfter(std::string_view text)
{
    double seconds = 0;
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, seconds);
    const bool outOfRange = error == std::errc::result_out_of_range;
    if ((error != std::errc{} && !outOfRange) || stop != end || text.empty())
        return {std::make_error_code(std::errc::invalid_argument),
                "expected a number of seconds, found \"" + std::string(text) + '"'};
    if (outOfRange || !std::isfinite(seconds) || seconds < 0)
        return {std::make_error_code(std::errc::result_out_of_range),
                "expected a finite number of seconds from 0, found \"" + std::string(text) + '"'};
    const double longest = std::chrono::duration<double>(LongestHold).count();
    return std::chrono::round<Duration>(std::chrono::duration<double>(std::min(seconds, longest)));
}

std::string formatRetryAfter(Duration value)
{
    const std::int64_t ms = std::max<std::int64_t>(toMilliseconds(value), 1);
    std::string fraction = std::to_string(ms % 1000);
    fraction.insert(0, 3 - fraction.size(), '0');
    return std::to_string(ms / 1000) + '.' + fraction;
}

} // namespace gentianramp
