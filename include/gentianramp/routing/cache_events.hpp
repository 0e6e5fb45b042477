#pragma once

#include <cstdint>
#include <gentianramp/routing/request_attributes.hpp>
#include <vector>

namespace gentianramp {

/// One event of an engine's prefix cache.
struct CacheEvent
{
    std::uint64_t sequence = 0;
    bool stored = true; ///< False: evicted.
    PrefixHash prefix = 0;
    std::uint32_t tokens = 0;
    bool operator==(const CacheEvent &) const = default;
};

/// Events of one engine's prefix cache, in order of their sequence numbers but possibly late and
/// with gaps.
struct CacheEvents
{
    std::vector<CacheEvent> events;
    bool restarted = false; ///< The engine lost its whole cache.
    bool operator==(const CacheEvents &) const = default;
};

} // namespace gentianramp
