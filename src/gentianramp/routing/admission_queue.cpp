#include "gentianramp/routing/admission_queue.hpp"

#include <algorithm>
#include <iterator>

namespace gentianramp {

AdmissionQueue::Key AdmissionQueue::keyOf(const WaitingRequest &request)
{
    return {request.attributes.priority, request.attributes.deadline, request.number};
}

std::optional<WaitingRequest> AdmissionQueue::push(WaitingRequest request)
{
    const Key key = keyOf(request);
    m_keys.emplace(request.number, key);
    m_requests.emplace(key, std::move(request));
    if (m_requests.size() <= m_limit)
        return std::nullopt;
    return takeKey(m_requests.rbegin()->first);
}

std::optional<WaitingRequest> AdmissionQueue::takeKey(const Key &key)
{
    auto node = m_requests.extract(key);
    if (node.empty())
        return std::nullopt;
    m_keys.erase(node.key().number);
    return std::move(node.mapped());
}

std::optional<WaitingRequest> AdmissionQueue::take(WaitNumber number)
{
    const auto found = m_keys.find(number);
    if (found == m_keys.end())
        return std::nullopt;
    return takeKey(Key(found->second));
}

std::map<AdmissionQueue::Key, WaitingRequest>::const_iterator
AdmissionQueue::firstOfLeastUrgent() const
{
    return m_requests.lower_bound({m_requests.rbegin()->first.priority, TimePoint::min(), 0});
}

std::vector<WaitNumber> AdmissionQueue::firstInOrder(std::size_t count) const
{
    std::vector<WaitNumber> numbers;
    if (m_requests.empty())
        return numbers;
    if (m_consecutiveUrgent >= MaxConsecutiveUrgent)
        numbers.push_back(firstOfLeastUrgent()->first.number);
    for (auto it = m_requests.begin(); it != m_requests.end() && numbers.size() < count; ++it) {
        if (numbers.empty() || it->first.number != numbers.front())
            numbers.push_back(it->first.number);
    }
    return numbers;
}

const WaitingRequest *AdmissionQueue::find(WaitNumber number) const
{
    const auto found = m_keys.find(number);
    return found == m_keys.end() ? nullptr : &m_requests.at(found->second);
}

std::optional<WaitingRequest> AdmissionQueue::takeForDispatch(WaitNumber number)
{
    const auto found = m_keys.find(number);
    if (found == m_keys.end())
        return std::nullopt;
    const bool urgent = found->second.priority < m_requests.rbegin()->first.priority;
    m_consecutiveUrgent = urgent ? m_consecutiveUrgent + 1 : 0;
    return takeKey(Key(found->second));
}

std::vector<WaitingRequest>
AdmissionQueue::takeIf(const std::function<bool(const WaitingRequest &)> &condition)
{
    std::vector<Key> keys;
    for (const auto &[key, request] : m_requests) {
        if (condition(request))
            keys.push_back(key);
    }
    std::vector<WaitingRequest> taken;
    taken.reserve(keys.size());
    for (const Key &key : keys)
        taken.push_back(*takeKey(key));
    return taken;
}

double AdmissionQueue::engineSecondsBefore(std::uint32_t priority, TimePoint deadline) const
{
    double sum = 0;
    const auto end = m_requests.upper_bound({priority, deadline, ~WaitNumber{0}});
    for (auto it = m_requests.begin(); it != end; ++it)
        sum += it->second.engineSeconds;
    return sum;
}

void AdmissionQueue::forEach(const std::function<void(const WaitingRequest &)> &visit) const
{
    for (const auto &[key, request] : m_requests)
        visit(request);
}

} // namespace gentianramp
