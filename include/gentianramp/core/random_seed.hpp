#pragma once

#include <cstdint>

namespace gentianramp {

/// A number from the system's entropy that differs between all lives of all processes.
std::uint64_t randomSeed();

} // namespace gentianramp
