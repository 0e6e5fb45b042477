#pragma once

#include <cstdint>
#include <gentianramp/core/clock.hpp>

namespace gentianramp {

/// Processor time that a process has used.
Duration processorTime(int pid);
/// Memory of a process that is in use now, in bytes.
std::uint64_t residentBytes(int pid);

} // namespace gentianramp
