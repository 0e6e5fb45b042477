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
    double eventLoss = 0; ///< Share of events that are never published, 0 to 1.
    std::uint64_t seed = 1;
};

/// Prompt prefixes in an engine's memory, least recently used evicted first.
class PrefixCache
{
public:
    explicit PrefixCache(PrefixCacheOptions options);

    /// Tokens of the longest cached prefix of @p prefixes; marks it as used.
    std::uint32_t match(const std::vector<PromptPrefix> &prefixes);
    /// Keeps the longest of @p prefixes.
    void store(const std::vector<PromptPrefix> &prefixes, TimePoint now);
    void clear(TimePoint now);
    /// Events above @p after that were published by @p now.
    CacheEvents events(std::uint64_t after, TimePoint now) const;

private:
    struct Record
    {
        CacheEvent event;
        TimePoint publishedAt;
    };

    void evictOldest(TimePoint now);
    void publish(bool stored, const PromptPrefix &prefix, TimePoint now);

    PrefixCacheOptions m_options;
    std::list<PromptPrefix> m_byUse; // most recently used first
    std::unordered_map<PrefixHash, std::list<PromptPrefix>::iterator> m_index;
    std::uint64_t m_tokens = 0;
    std::uint64_t m_lastSequence = 0;
    std::deque<Record> m_log;
    std::mt19937_64 m_random;
};

} // namespace gentianramp
