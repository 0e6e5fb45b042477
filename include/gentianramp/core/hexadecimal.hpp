#pragma once

#include <cstdint>
#include <string>

namespace gentianramp {

/// Lower-case hexadecimal text of an identifier, without leading zeros.
std::string hexadecimal(std::uint64_t value);

} // namespace gentianramp
