#pragma once

#include <gentianramp/core/error.hpp>
#include <string>
#include <string_view>

namespace gentianramp {

/// Compresses @p text; declarations of hundreds of routes shrink to about a tenth of their size.
std::string packText(std::string_view text);

/// Reverses packText(). Returns Error::Malformed if @p packed is damaged, Error::TooLarge if the
/// text would be longer than the longest possible declaration.
Result<std::string> unpackText(std::string_view packed);

} // namespace gentianramp
