#pragma once

#include <cstdint>
#include <gentianramp/authority/authority_simulation.hpp>

namespace gentianramp {

/// Simulates seven control processes in three data centres under one random schedule of faults.
AuthoritySimulationCounts runAuthoritySchedule(std::uint64_t seed);
/// Time from the crash of the holder until another process holds the lease.
Duration measureFailover(std::uint64_t seed);
/// Time from a graceful release of the lease until another process holds it.
Duration measureLeaseTransfer(std::uint64_t seed);

} // namespace gentianramp
