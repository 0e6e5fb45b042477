#pragma once

#include <gentianramp/core/error.hpp>
#include <string>
#include <string_view>

namespace gentianramp {

/// Compresses @p text; declarations of hundreds of routes shrink to about a tenth.
std::string packText(std::string_view text);

/// Undoes packText(). Malformed when @p packed is damaged, TooLarge when the text would be longer
/// than any declaration.
Result<std::string> unpackText(std::string_view packed);

} // namespace gentianramp
