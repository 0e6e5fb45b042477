#pragma once

#include <cstdint>
#include <deque>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/routing/cache_events.hpp>
#include <list>
#include <random>
#include <unordered_map>

namespace gentianramp {

/// Options of a PrefixCache.
struct PrefixCacheOptions
{
    std::uint64_t capacityTokens = 0;
    Duration eventLag{};
    double eventLoss = 0; ///< Fraction of events that are never published, 0 to 1.
    std::uint64_t seed = 1;
};

/// Prompt prefixes in an engine's KV cache; evicts the least recently used first.
class PrefixCache
{
public:
    explicit PrefixCache(PrefixCacheOptions options);

    /// Number of tokens in the longest cached one of @p prefixes; marks all cached ones as used.
    std::uint32_t match(const std::vector<PromptPrefix> &prefixes);
    /// Adds those of @p prefixes that are not cached and do not exceed the capacity, then evicts
    /// down to the capacity.
    void store(const std::vector<PromptPrefix> &prefixes, TimePoint now);
    void clear(TimePoint now);
    /// Events published by @p now with a sequence number above @p after.
    CacheEvents events(std::uint64_t after, TimePoint now) const;

private:
    struct Record
    {
        CacheEvent event;
        TimePoint publishedAt;
    };

    void evictLeastRecentlyUsed(TimePoint now);
    void publish(bool stored, const PromptPrefix &prefix, TimePoint now);

    PrefixCacheOptions m_options;
    std::list<PromptPrefix> m_recentlyUsed; // most recently used first
    std::unordered_map<PrefixHash, std::list<PromptPrefix>::iterator> m_index;
    std::uint64_t m_tokens = 0;
    std::uint64_t m_lastSequence = 0;
    std::deque<Record> m_log;
    std::mt19937_64 m_random;
};

} // namespace gentianramp
