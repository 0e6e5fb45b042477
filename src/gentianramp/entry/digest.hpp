#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace gentianramp {

/// SHA-256 of the parts one after the other, in lower-case hex.
std::string sha256Hex(std::initializer_list<std::string_view> parts);

} // namespace gentianramp
