#include "order_book.hpp"

namespace gentianramp {

OrderBook::OrderBook(bool checksFencing, Apply apply)
    : m_checksFencing(checksFencing)
    , m_apply(std::move(apply))
{ }

OrderAnswer OrderBook::take(const EngineOrder &order, TimePoint now)
{
    const auto known = m_answers.find(order.id);
    if (known != m_answers.end())
        return known->second;
    if (m_checksFencing && order.fencing < m_highest)
        return {false, m_highest};
    m_highest = std::max(m_highest, order.fencing);
    m_effective.push_back(order);
    m_effectiveAtNs.push_back(now.time_since_epoch().count());
    m_apply(order);
    const OrderAnswer answer{true, m_highest};
    m_answers[order.id] = answer;
    return answer;
}

nlohmann::json OrderBook::toJson() const
{
    nlohmann::json list = nlohmann::json::array();
    for (std::size_t index = 0; index < m_effective.size(); ++index) {
        const EngineOrder &order = m_effective[index];
        list.push_back({{"fencing", order.fencing.value()},
                        {"order_id", order.id},
                        {"kind", order.kind},
                        {"role", order.role},
                        {"model", order.model},
                        {"version", order.version},
                        {"monotonic_ns", m_effectiveAtNs[index]}});
    }
    return list;
}

} // namespace gentianramp
