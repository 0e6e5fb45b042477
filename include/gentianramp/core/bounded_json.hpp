#pragma once

#include <cstddef>
#include <gentianramp/core/error.hpp>
#include <nlohmann/json.hpp>
#include <string_view>

namespace gentianramp {

/// Bounds of a JSON text; a parsed value takes much more memory than its text.
struct JsonLimits
{
    int maxDepth = 0;          ///< Of nested objects and arrays.
    std::size_t maxValues = 0; ///< Including names of fields.
    /// Refuses objects with two fields of one name, of which the parser drops the first.
    bool uniqueNames = false;
    bool operator==(const JsonLimits &) const = default;
};

/// The value of @p text, which must be one JSON value and nothing else. The message of an error
/// never shows the text, which may hold keys.
Result<nlohmann::json> readJson(std::string_view text);
/// Like the other one, within @p limits.
Result<nlohmann::json> readJson(std::string_view text, const JsonLimits &limits);

/// The value of @p text; a discarded one when it is malformed or exceeds the limits.
nlohmann::json parseBoundedJson(std::string_view text, const JsonLimits &limits);

} // namespace gentianramp
