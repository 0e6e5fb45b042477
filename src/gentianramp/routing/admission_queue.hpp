#pragma once

#include <cstdint>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/routing/router.hpp>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "gentianramp/routing/output_estimate.hpp"

namespace gentianramp {

/// A request that waits for a backend server.
struct WaitingRequest
{
    WaitNumber number = 0;
    RequestAttributes shape;
    OutputLength output;
    double takenTokens = 0;   ///< Taken from the customer's limit.
    double engineSeconds = 0; ///< Engine time that it will take.
    DecisionHook onDecision;
};

/// Bounded queue ordered by priority, then by deadline.
///
/// After a run of urgent requests the first request of the least urgent class gets a turn, so
/// that no class starves.
class AdmissionQueue
{
public:
    explicit AdmissionQueue(std::size_t limit)
        : m_limit(limit)
    { }

    void setLimit(std::size_t limit) { m_limit = limit; }
    std::size_t size() const noexcept { return m_requests.size(); }

    /// Adds a request. At the bound the last request in order is handed back, perhaps the added
    /// one.
    std::optional<WaitingRequest> push(WaitingRequest request);
    std::optional<WaitingRequest> take(WaitNumber number);
    /// Numbers of the first @p count requests in the order in which they are to be tried.
    std::vector<WaitNumber> firstInOrder(std::size_t count) const;
    const WaitingRequest *find(WaitNumber number) const;
    /// Takes a request that is being dispatched, and keeps count of turns.
    std::optional<WaitingRequest> takeForDispatch(WaitNumber number);
    /// Takes all requests for which @p condition holds.
    std::vector<WaitingRequest>
    takeIf(const std::function<bool(const WaitingRequest &)> &condition);
    /// Engine time of all requests that go before one of that priority and deadline.
    double engineSecondsBefore(std::uint32_t priority, TimePoint deadline) const;
    /// Calls @p visit with each request.
    void forEach(const std::function<void(const WaitingRequest &)> &visit) const;

private:
    struct Key
    {
        std::uint32_t priority = 0;
        TimePoint deadline{};
        WaitNumber number = 0;
        auto operator<=>(const Key &) const = default;
    };
    static constexpr std::uint32_t UrgentRun = 8;

    static Key keyOf(const WaitingRequest &request);
    std::optional<WaitingRequest> takeKey(const Key &key);
    std::map<Key, WaitingRequest>::const_iterator firstOfLeastUrgent() const;

    std::size_t m_limit;
    std::uint32_t m_urgentRun = 0;
    std::map<Key, WaitingRequest> m_requests;
    std::unordered_map<WaitNumber, Key> m_keys;
};

} // namespace gentianramp
