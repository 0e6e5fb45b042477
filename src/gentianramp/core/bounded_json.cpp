#include <gentianramp/core/bounded_json.hpp>

namespace gentianramp {

namespace {

/// Ends the parser.
struct LimitExceeded
{ };

} // namespace

nlohmann::json parseBoundedJson(std::string_view text, const JsonLimits &limits)
{
    std::size_t values = 0;
    const auto check = [&](int depth, nlohmann::json::parse_event_t, nlohmann::json &) {
        if (++values > limits.maxValues || depth > limits.maxDepth)
            throw LimitExceeded();
        return true;
    };
    try {
        return nlohmann::json::parse(text, check, false);
    } catch (const LimitExceeded &) {
        return nlohmann::json(nlohmann::json::value_t::discarded);
    }
}

} // namespace gentianramp
