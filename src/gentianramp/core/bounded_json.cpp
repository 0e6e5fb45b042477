#include <gentianramp/core/bounded_json.hpp>

#include <stdexcept>
#include <vector>

namespace gentianramp {

namespace {

using Json = nlohmann::json;
using Event = Json::parse_event_t;

/// Checks the limits while a text is parsed; throws std::length_error.
class LimitCheck
{
public:
    explicit LimitCheck(const JsonLimits &limits)
        : m_limits(limits)
    { }

    bool operator()(int depth, Event event, const Json &parsed)
    {
        if (++m_values > m_limits.maxValues || depth > m_limits.maxDepth)
            throw std::length_error("too many values or too deeply nested");
        if (!m_limits.uniqueNames)
            return true;
        // The depth of a name is one more than that of its object.
        const auto level = static_cast<std::size_t>(event == Event::key ? depth - 1 : depth);
        if (m_names.size() <= level)
            m_names.resize(level + 1);
        if (event == Event::object_start)
            m_names[level] = 0;
        else if (event == Event::key)
            ++m_names[level];
        else if (event == Event::object_end && m_names[level] != parsed.size())
            throw std::length_error("two fields of an object have one name");
        return true;
    }

private:
    JsonLimits m_limits;
    std::size_t m_values = 0;
    std::vector<std::size_t> m_names; ///< Of the open object at each depth.
};

Result<Json> parse(std::string_view text, const Json::parser_callback_t &check)
{
    // The parser takes a zero byte for the end of the text.
    if (const std::size_t zero = text.find('\0'); zero != std::string_view::npos)
        return {Error::Malformed, "byte " + std::to_string(zero + 1) + " is zero"};
    try {
        return Json::parse(text, check);
    } catch (const Json::parse_error &error) {
        return {Error::Malformed, "no JSON from byte " + std::to_string(error.byte) + " on"};
    } catch (const Json::exception &) {
        return {Error::Malformed, "a number is out of range"};
    } catch (const std::length_error &error) {
        return {Error::TooLarge, error.what()};
    }
}

} // namespace

Result<Json> readJson(std::string_view text)
{
    return parse(text, nullptr);
}

Result<Json> readJson(std::string_view text, const JsonLimits &limits)
{
    LimitCheck check(limits);
    return parse(text, [&check](int depth, Event event, const Json &parsed) {
        return check(depth, event, parsed);
    });
}

Json parseBoundedJson(std::string_view text, const JsonLimits &limits)
{
    Result<Json> value = readJson(text, limits);
    return value ? std::move(value).value() : Json(Json::value_t::discarded);
}

} // namespace gentianramp
