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
    RequestAttributes attributes;
    OutputLength output;
    double takenTokens = 0;   ///< Charged to the customer's limit.
    double engineSeconds = 0; ///< Expected engine time.
    DecisionCallback onDecision;
};

/// Bounded queue ordered by priority, then by deadline.
///
/// After MaxConsecutiveUrgent dispatches of more urgent requests, the first request of the least
/// urgent class is tried first, so that this class doesn't starve.
class AdmissionQueue
{
public:
    explicit AdmissionQueue(std::size_t limit)
        : m_limit(limit)
    { }

    void setLimit(std::size_t limit) { m_limit = limit; }
    std::size_t size() const noexcept { return m_requests.size(); }

    /// Adds a request. If the queue then exceeds its limit, removes and returns the last request in
    /// order, which may be the added one.
    std::optional<WaitingRequest> push(WaitingRequest request);
    std::optional<WaitingRequest> take(WaitNumber number);
    /// Numbers of the first @p count requests, in the order in which to try to dispatch them.
    std::vector<WaitNumber> firstInOrder(std::size_t count) const;
    const WaitingRequest *find(WaitNumber number) const;
    /// Removes a request for dispatch and counts consecutive dispatches of urgent requests.
    std::optional<WaitingRequest> takeForDispatch(WaitNumber number);
    /// Removes all requests for which @p condition holds.
    std::vector<WaitingRequest>
    takeIf(const std::function<bool(const WaitingRequest &)> &condition);
    /// Engine time of all requests ahead of one with that priority and deadline.
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
    static constexpr std::uint32_t MaxConsecutiveUrgent = 8;

    static Key keyOf(const WaitingRequest &request);
    std::optional<WaitingRequest> takeKey(const Key &key);
    std::map<Key, WaitingRequest>::const_iterator firstOfLeastUrgent() const;

    std::size_t m_limit;
    std::uint32_t m_consecutiveUrgent = 0;
    std::map<Key, WaitingRequest> m_requests;
    std::unordered_map<WaitNumber, Key> m_keys;
};

} // namespace gentianramp
