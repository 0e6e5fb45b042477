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
/// A set-associative table of atomics, read and updated from any thread without locks. A full set
/// evicts its oldest entry, and concurrent updates may leave a wrong entry. The index is only a
/// hint: a missing or wrong entry costs a cache hit, nothing else.
class PrefixIndex
{
public:
    /// Holds at least @p entries entries of 16 bytes; never grows.
    explicit PrefixIndex(std::uint32_t entries);

    void store(PrefixHash prefix, BackendNumber backend, std::uint32_t tokens, TimePoint now);
    void evict(PrefixHash prefix, BackendNumber backend);
    /// Removes all prefixes of a backend server.
    void clear(BackendNumber backend);
    /// Events of @p backend were lost: its older entries count half their tokens from now on.
    void recordGap(BackendNumber backend, TimePoint now);

    /// Backend servers that probably cache one of @p prefixes, each with the longest one; the first
    /// MaxHolders found.
    std::vector<CacheHolder> holders(std::span<const PromptPrefix> prefixes, TimePoint now) const;

    static constexpr std::size_t MaxHolders = 16;

private:
    static constexpr std::size_t Ways = 8;
    struct Entry
    {
        std::atomic<PrefixHash> prefix{0};
        std::atomic<std::uint64_t> value{0}; ///< Backend server, tokens and timestamp, packed.
    };
    struct Set
    {
        Entry entries[Ways];
    };

    Set &setOf(PrefixHash prefix) const noexcept;
    /// Tokens of an entry: 0 after its lifetime, half for entries from before a gap.
    std::uint32_t effectiveTokens(std::uint64_t value, TimePoint now) const noexcept;

    std::size_t m_mask;
    std::unique_ptr<Set[]> m_sets;
    /// Time of the last gap by backend server, in units of 100 ms; 0: none.
    std::unique_ptr<std::atomic<std::uint32_t>[]> m_gapTimestamps;
};

} // namespace gentianramp
