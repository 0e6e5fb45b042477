#pragma once

#include <atomic>
#include <cstdint>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/routing/request_attributes.hpp>
#include <memory>
#include <span>
#include <vector>

namespace gentianramp {

/// Number of a backend server inside one Router.
using BackendNumber = std::uint16_t;

/// A backend server that probably caches a prefix of a prompt.
struct CacheHolder
{
    BackendNumber backend = 0;
    std::uint32_t tokens = 0;
    bool operator==(const CacheHolder &) const = default;
};

/// Bounded index from prompt prefixes to the backend servers that probably cache them.
///
/// A set-associative table of atomics: lookups and updates from any thread without locks. A full
/// set drops its oldest entry, which costs a cache hit and nothing else. Two updates that cross
/// may leave a wrong entry; the index is a hint, so that a wrong entry costs a cache hit too.
class PrefixIndex
{
public:
    /// Holds at least @p entries entries of 16 bytes; never grows.
    explicit PrefixIndex(std::uint32_t entries);

    void store(PrefixHash prefix, BackendNumber backend, std::uint32_t tokens, TimePoint now);
    void evict(PrefixHash prefix, BackendNumber backend);
    /// Forgets all prefixes of a backend server.
    void clear(BackendNumber backend);
    /// Events of @p backend were lost: older entries count only half from now on.
    void noteGap(BackendNumber backend, TimePoint now);

    /// Holders of the longest known prefix first found for each backend server; at most
    /// MaxHolders.
    std::vector<CacheHolder> holders(std::span<const PromptPrefix> prefixes, TimePoint now) const;

    static constexpr std::size_t MaxHolders = 16;

private:
    static constexpr std::size_t Ways = 8;
    struct Entry
    {
        std::atomic<PrefixHash> prefix{0};
        std::atomic<std::uint64_t> value{0};
    };
    struct Set
    {
        Entry entries[Ways];
    };

    Set &setOf(PrefixHash prefix) const noexcept;
    std::uint32_t creditedTokens(std::uint64_t value, TimePoint now) const noexcept;

    std::size_t m_mask;
    std::unique_ptr<Set[]> m_sets;
    std::unique_ptr<std::atomic<std::uint32_t>[]> m_gapStamps;
};

} // namespace gentianramp
