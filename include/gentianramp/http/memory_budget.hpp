#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <gentianramp/core/clock.hpp>
#include <memory>
#include <span>
#include <vector>

namespace gentianramp {

/// What a request that is being read holds, and how it gets on.
struct ReadingUse
{
    std::uint64_t number = 0;    ///< Names the lease.
    std::size_t bytes = 0;       ///< Held.
    std::size_t recentBytes = 0; ///< Of these, arrived in the last half to whole second.
    TimePoint progressAt{};      ///< When the last bytes arrived.
    auto operator<=>(const ReadingUse &) const = default;
};

/// Who needs room that others hold.
enum class RoomFor {
    ReadingRequest, ///< Takes it from requests of which less than half has arrived recently.
    WholeRequest,   ///< Takes it from all requests that are being read.
};

/// Numbers of the leases that give up their room so that @p missing bytes become free, those with
/// the least progress for the room that they hold first; empty when they hold too little.
std::vector<std::uint64_t> leasesToRevoke(std::span<const ReadingUse> reading, RoomFor whom,
                                          std::size_t missing);

struct MemoryBudgetState;

/// Room that one request, or its answer, holds; returned when the lease is destroyed. Leases of one
/// budget may be used from different threads.
class MemoryLease
{
public:
    MemoryLease(std::shared_ptr<MemoryBudgetState> budget, std::uint64_t number)
        : m_budget(std::move(budget))
        , m_number(number)
    { }
    ~MemoryLease();
    MemoryLease(const MemoryLease &) = delete;
    MemoryLease &operator=(const MemoryLease &) = delete;

    /// Takes room for @p bytes more. False when there is none for now, or when the lease was
    /// revoked. A request that waits for room counts as one that makes progress.
    bool grow(std::size_t bytes, TimePoint now);
    bool isRevoked() const;
    /// The request has been read: the lease is not revoked from now on. False when it already was.
    bool keep();
    /// Bytes held; 0 after it was revoked.
    std::size_t bytes() const;

private:
    std::shared_ptr<MemoryBudgetState> m_budget;
    std::uint64_t m_number;
};

/// Bounds the memory that the requests and answers on all connections of a process hold together.
///
/// When there is no room, requests that are still being read give up theirs; see leasesToRevoke().
/// A lease gets room at any rate while no other one holds any, so that a single request is served
/// whatever the bound. Answers may hold a quarter of the bound in addition to it, and the oldest
/// one gets room at any rate, so that requests and answers never wait for each other's room for
/// good.
class MemoryBudget
{
public:
    static constexpr std::size_t DefaultBytes = 64UL * 1024 * 1024;

    explicit MemoryBudget(std::size_t maxBytes = DefaultBytes);

    /// A lease without room for a request that is being read. @p revokedHook is called when the
    /// lease is revoked, by the thread that needs the room.
    std::shared_ptr<MemoryLease> requestLease(std::function<void()> revokedHook);
    /// A lease without room for an answer; it is never revoked.
    std::shared_ptr<MemoryLease> answerLease();
    std::size_t maxBytes() const;
    std::size_t heldBytes() const;

private:
    std::shared_ptr<MemoryBudgetState> m_state;
};

} // namespace gentianramp
