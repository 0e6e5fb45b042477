#include "gentianramp/routing/prefix_index.hpp"

#include <algorithm>
#include <bit>
#include <limits>
#include <xxhash.h>

namespace gentianramp {
namespace {

constexpr unsigned TimestampBits = 28;
constexpr unsigned TokenBits = 20;
constexpr std::uint64_t TimestampMask = (1ULL << TimestampBits) - 1;
constexpr std::uint64_t TokenMask = (1ULL << TokenBits) - 1;
constexpr std::size_t BackendNumbers = 1U << 16;
constexpr Duration TimestampUnit = std::chrono::milliseconds(100);
constexpr Duration EntryLifetime = std::chrono::minutes(10);

std::uint32_t timestampOf(TimePoint now)
{
    return static_cast<std::uint32_t>((now.time_since_epoch() / TimestampUnit) & TimestampMask);
}

std::uint64_t pack(BackendNumber backend, std::uint32_t tokens, std::uint32_t timestamp)
{
    const std::uint64_t bounded = std::min<std::uint64_t>(tokens, TokenMask);
    return (std::uint64_t{backend} << (TimestampBits + TokenBits)) | (bounded << TimestampBits)
        | timestamp;
}

BackendNumber backendOf(std::uint64_t value)
{
    return static_cast<BackendNumber>(value >> (TimestampBits + TokenBits));
}

std::uint32_t tokensOf(std::uint64_t value)
{
    return static_cast<std::uint32_t>((value >> TimestampBits) & TokenMask);
}

std::uint32_t timestampOf(std::uint64_t value)
{
    return static_cast<std::uint32_t>(value & TimestampMask);
}

/// 0 for a timestamp after @p now: another thread may have taken its time a moment later.
std::uint32_t ageOf(std::uint32_t timestamp, std::uint32_t now)
{
    const auto age = static_cast<std::uint32_t>((now - timestamp) & TimestampMask);
    return age > TimestampMask / 2 ? 0 : age;
}

void mergeHolder(std::vector<CacheHolder> &holders, CacheHolder found)
{
    const auto known = std::ranges::find(holders, found.backend, &CacheHolder::backend);
    if (known != holders.end()) {
        known->tokens = std::max(known->tokens, found.tokens);
        return;
    }
    if (holders.size() < PrefixIndex::MaxHolders)
        holders.push_back(found);
}

} // namespace

PrefixHash prefixHash(std::string_view name)
{
    const PrefixHash hash = XXH64(name.data(), name.size(), 0);
    return hash == 0 ? 1 : hash;
}

PrefixIndex::PrefixIndex(std::uint32_t entries)
    : m_mask(std::bit_ceil(std::max<std::size_t>(1, (entries + Ways - 1) / Ways)) - 1)
    , m_sets(std::make_unique<Set[]>(m_mask + 1))
    , m_gapTimestamps(std::make_unique<std::atomic<std::uint32_t>[]>(BackendNumbers))
{ }

PrefixIndex::Set &PrefixIndex::setOf(PrefixHash prefix) const noexcept
{
    return m_sets[(prefix * 0x9E3779B97F4A7C15ULL >> 32) & m_mask];
}

void PrefixIndex::store(PrefixHash prefix, BackendNumber backend, std::uint32_t tokens,
                        TimePoint now)
{
    const std::uint32_t timestamp = timestampOf(now);
    Entry *victim = nullptr;
    std::uint32_t victimAge = 0;
    for (Entry &entry : setOf(prefix).entries) {
        const PrefixHash held = entry.prefix.load(std::memory_order_relaxed);
        const std::uint64_t value = entry.value.load(std::memory_order_relaxed);
        if (held == prefix && backendOf(value) == backend) {
            victim = &entry;
            break;
        }
        const std::uint32_t age = held == 0 ? std::numeric_limits<std::uint32_t>::max()
                                            : ageOf(timestampOf(value), timestamp);
        if (victim != nullptr && age <= victimAge)
            continue;
        victim = &entry;
        victimAge = age;
    }
    victim->value.store(pack(backend, tokens, timestamp), std::memory_order_relaxed);
    victim->prefix.store(prefix, std::memory_order_release);
}

void PrefixIndex::evict(PrefixHash prefix, BackendNumber backend)
{
    for (Entry &entry : setOf(prefix).entries) {
        if (entry.prefix.load(std::memory_order_relaxed) != prefix)
            continue;
        if (backendOf(entry.value.load(std::memory_order_relaxed)) == backend)
            entry.prefix.store(0, std::memory_order_release);
    }
}

void PrefixIndex::clear(BackendNumber backend)
{
    for (std::size_t i = 0; i <= m_mask; ++i) {
        for (Entry &entry : m_sets[i].entries) {
            if (backendOf(entry.value.load(std::memory_order_relaxed)) == backend)
                entry.prefix.store(0, std::memory_order_release);
        }
    }
}

void PrefixIndex::recordGap(BackendNumber backend, TimePoint now)
{
    m_gapTimestamps[backend].store(timestampOf(now), std::memory_order_relaxed);
}

std::uint32_t PrefixIndex::effectiveTokens(std::uint64_t value, TimePoint now) const noexcept
{
    const std::uint32_t age = ageOf(timestampOf(value), timestampOf(now));
    if (age > EntryLifetime / TimestampUnit)
        return 0;
    const std::uint32_t gap = m_gapTimestamps[backendOf(value)].load(std::memory_order_relaxed);
    const bool beforeGap = gap != 0 && ageOf(gap, timestampOf(now)) < age;
    return beforeGap ? tokensOf(value) / 2 : tokensOf(value);
}

std::vector<CacheHolder> PrefixIndex::holders(std::span<const PromptPrefix> prefixes,
                                              TimePoint now) const
{
    std::vector<CacheHolder> found;
    for (const PromptPrefix &prefix : prefixes) {
        for (const Entry &entry : setOf(prefix.hash).entries) {
            if (entry.prefix.load(std::memory_order_acquire) != prefix.hash)
                continue;
            const std::uint64_t value = entry.value.load(std::memory_order_relaxed);
            const std::uint32_t tokens = std::min(prefix.tokens, effectiveTokens(value, now));
            if (tokens > 0)
                mergeHolder(found, {backendOf(value), tokens});
        }
    }
    return found;
}

} // namespace gentianramp
