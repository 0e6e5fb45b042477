#include "value_codec.hpp"

#include <limits>

namespace gentianramp {

namespace {

struct DurationUnit
{
    std::string_view name;
    std::int64_t nanoseconds;
};

constexpr std::array DurationUnits{
    DurationUnit{"h", 3'600'000'000'000},
    DurationUnit{"m", 60'000'000'000},
    DurationUnit{"s", 1'000'000'000},
    DurationUnit{"ms", 1'000'000},
    DurationUnit{"us", 1'000},
    DurationUnit{"ns", 1},
};

} // namespace

bool parseDuration(std::string_view text, Duration &value)
{
    const char *const end = text.data() + text.size();
    std::int64_t count = 0;
    const auto [stop, error] = std::from_chars(text.data(), end, count);
    if (error != std::errc() || count < 0)
        return false;
    const std::string_view suffix(stop, static_cast<std::size_t>(end - stop));
    for (const DurationUnit &unit : DurationUnits) {
        if (unit.name != suffix)
            continue;
        if (count > std::numeric_limits<std::int64_t>::max() / unit.nanoseconds)
            return false;
        value = Duration(count * unit.nanoseconds);
        return true;
    }
    return false;
}

std::string formatDuration(Duration value)
{
    for (const DurationUnit &unit : DurationUnits) {
        if (value.count() != 0 && value.count() % unit.nanoseconds == 0)
            return std::to_string(value.count() / unit.nanoseconds) + std::string(unit.name);
    }
    return "0s";
}

std::string formatNumber(double value)
{
    std::array<char, 32> buffer{};
    const auto [stop, error] = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
    return error == std::errc() ? std::string(buffer.data(), stop) : "?";
}

} // namespace gentianramp
