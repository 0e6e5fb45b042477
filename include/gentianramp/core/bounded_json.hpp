#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string_view>

namespace gentianramp {

/// Bounds of a JSON text; a parsed value takes much more memory than its text.
struct JsonLimits
{
    int maxDepth = 0;          ///< Of nested objects and arrays.
    std::size_t maxValues = 0; ///< Including names of fields.
    bool operator==(const JsonLimits &) const = default;
};

/// The value of @p text; a discarded one when it is malformed or exceeds the limits.
nlohmann::json parseBoundedJson(std::string_view text, const JsonLimits &limits);

} // namespace gentianramp
