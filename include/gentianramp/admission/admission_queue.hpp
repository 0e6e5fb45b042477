#pragma once

#include <cstdint>
#include <functional>
#include <gentianramp/core/clock.hpp>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace gentianramp {

/// Identifies a waiting request; rises in order of arrival, 0 is never used.
using WaitNumber = std::uint64_t;

/// Place of a request in an AdmissionQueue.
struct WaitKey
{
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    TimePoint deadline{};
    WaitNumber number = 0;
    auto operator<=>(const WaitKey &) const = default;
};

/// Whether the first request of the least urgent class is tried in turn.
enum class QueueOrder { LeastUrgentInTurn, Strict };

/// Bounded queue ordered by priority, then by deadline.
///
/// After MaxConsecutiveUrgent dispatches of more urgent requests, the first request of the least
/// urgent class is tried first, so that this class doesn't starve. A queue whose keys keep the
/// fairness floors already (see WaitingRequests) is strict instead.
///
/// @tparam Request has `WaitKey waitKey() const` and `double engineSeconds`.
template <typename Request>
class AdmissionQueue
{
public:
    explicit AdmissionQueue(std::size_t limit, QueueOrder order = QueueOrder::LeastUrgentInTurn)
        : m_limit(limit)
        , m_order(order)
    { }

    void setLimit(std::size_t limit) { m_limit = limit; }
    std::size_t size() const noexcept { return m_requests.size(); }

    /// Adds a request. If the queue then exceeds its limit, removes and returns the last request in
    /// order, which may be the added one.
    std::optional<Request> push(Request request)
    {
        const WaitKey key = request.waitKey();
        m_keys.emplace(key.number, key);
        m_requests.emplace(key, std::move(request));
        if (m_requests.size() <= m_limit)
            return std::nullopt;
        return takeKey(WaitKey(m_requests.rbegin()->first));
    }

    std::optional<Request> take(WaitNumber number)
    {
        const auto found = m_keys.find(number);
        if (found == m_keys.end())
            return std::nullopt;
        return takeKey(WaitKey(found->second));
    }

    /// Numbers of the first @p count requests, in the order in which to try to dispatch them.
    std::vector<WaitNumber> firstInOrder(std::size_t count) const
    {
        std::vector<WaitNumber> numbers;
        if (m_requests.empty())
            return numbers;
        if (m_order == QueueOrder::LeastUrgentInTurn && m_consecutiveUrgent >= MaxConsecutiveUrgent)
            numbers.push_back(firstOfLeastUrgent()->first.number);
        for (auto it = m_requests.begin(); it != m_requests.end() && numbers.size() < count; ++it) {
            if (numbers.empty() || it->first.number != numbers.front())
                numbers.push_back(it->first.number);
        }
        return numbers;
    }

    const Request *find(WaitNumber number) const
    {
        const auto found = m_keys.find(number);
        return found == m_keys.end() ? nullptr : &m_requests.at(found->second);
    }

    /// Removes a request for dispatch and counts consecutive dispatches of urgent requests.
    std::optional<Request> takeForDispatch(WaitNumber number)
    {
        const auto found = m_keys.find(number);
        if (found == m_keys.end())
            return std::nullopt;
        const bool urgent = found->second.priority < m_requests.rbegin()->first.priority;
        m_consecutiveUrgent = urgent ? m_consecutiveUrgent + 1 : 0;
        return takeKey(WaitKey(found->second));
    }

    /// Removes all requests for which @p condition holds.
    std::vector<Request> takeIf(const std::function<bool(const Request &)> &condition)
    {
        std::vector<WaitKey> keys;
        for (const auto &[key, request] : m_requests) {
            if (condition(request))
                keys.push_back(key);
        }
        std::vector<Request> taken;
        taken.reserve(keys.size());
        for (const WaitKey &key : keys)
            taken.push_back(*takeKey(key));
        return taken;
    }

    /// Engine time of all requests ahead of one with that priority and deadline.
    double engineSecondsBefore(std::uint32_t priority, TimePoint deadline) const
    {
        return engineSecondsBefore(WaitKey{priority, deadline, ~WaitNumber{0}});
    }

    /// Engine time of all requests whose keys are lower than @p key.
    double engineSecondsBefore(const WaitKey &key) const
    {
        double sum = 0;
        const auto end = m_requests.lower_bound(key);
        for (auto it = m_requests.begin(); it != end; ++it)
            sum += it->second.engineSeconds;
        return sum;
    }

    /// Calls @p visit with each request.
    void forEach(const std::function<void(const Request &)> &visit) const
    {
        for (const auto &[key, request] : m_requests)
            visit(request);
    }

private:
    static constexpr std::uint32_t MaxConsecutiveUrgent = 8;

    std::optional<Request> takeKey(const WaitKey &key)
    {
        auto node = m_requests.extract(key);
        if (node.empty())
            return std::nullopt;
        m_keys.erase(node.key().number);
        return std::move(node.mapped());
    }

    typename std::map<WaitKey, Request>::const_iterator firstOfLeastUrgent() const
    {
        return m_requests.lower_bound({m_requests.rbegin()->first.priority, TimePoint::min(), 0});
    }

    std::size_t m_limit;
    QueueOrder m_order;
    std::uint32_t m_consecutiveUrgent = 0;
    std::map<WaitKey, Request> m_requests;
    std::unordered_map<WaitNumber, WaitKey> m_keys;
};

} // namespace gentianramp
