#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace gentianramp {

/// SHA-256 of the concatenated @p parts, in lower-case hexadecimal.
std::string sha256Hex(std::initializer_list<std::string_view> parts);

} // namespace gentianramp
