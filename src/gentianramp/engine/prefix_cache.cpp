#include "prefix_cache.hpp"

namespace gentianramp {

namespace {

constexpr std::size_t MaxLoggedEvents = 4096;

} // namespace

PrefixCache::PrefixCache(PrefixCacheOptions options)
    : m_options(options)
    , m_random(options.seed)
{ }

std::uint32_t PrefixCache::match(const std::vector<PromptPrefix> &prefixes)
{
    std::uint32_t longest = 0;
    for (const PromptPrefix &prefix : prefixes) {
        const auto found = m_index.find(prefix.hash);
        if (found == m_index.end())
            continue;
        longest = std::max(longest, std::min(prefix.tokens, found->second->tokens));
        m_recentlyUsed.splice(m_recentlyUsed.begin(), m_recentlyUsed, found->second);
    }
    return longest;
}

void PrefixCache::store(const std::vector<PromptPrefix> &prefixes, TimePoint now)
{
    for (const PromptPrefix &prefix : prefixes) {
        if (m_index.contains(prefix.hash) || prefix.tokens > m_options.capacityTokens)
            continue;
        m_recentlyUsed.push_front(prefix);
        m_index[prefix.hash] = m_recentlyUsed.begin();
        m_tokens += prefix.tokens;
        publish(true, prefix, now);
    }
    while (m_tokens > m_options.capacityTokens)
        evictLeastRecentlyUsed(now);
}

void PrefixCache::clear(TimePoint now)
{
    while (!m_recentlyUsed.empty())
        evictLeastRecentlyUsed(now);
}

CacheEvents PrefixCache::events(std::uint64_t after, TimePoint now) const
{
    CacheEvents result;
    // A sequence number above the last one is from before a restart of the engine.
    result.restarted = after > m_lastSequence;
    const std::uint64_t from = result.restarted ? 0 : after;
    for (const Record &record : m_log) {
        if (record.event.sequence > from && record.publishedAt <= now)
            result.events.push_back(record.event);
    }
    return result;
}

void PrefixCache::evictLeastRecentlyUsed(TimePoint now)
{
    const PromptPrefix evicted = m_recentlyUsed.back();
    m_recentlyUsed.pop_back();
    m_index.erase(evicted.hash);
    m_tokens -= evicted.tokens;
    publish(false, evicted, now);
}

void PrefixCache::publish(bool stored, const PromptPrefix &prefix, TimePoint now)
{
    ++m_lastSequence;
    if (std::uniform_real_distribution<double>(0, 1)(m_random) < m_options.eventLoss)
        return;
    m_log.push_back(
        {{m_lastSequence, stored, prefix.hash, prefix.tokens}, now + m_options.eventLag});
    if (m_log.size() > MaxLoggedEvents)
        m_log.pop_front();
}

} // namespace gentianramp
