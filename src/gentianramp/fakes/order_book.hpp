#pragma once

#include <cstdint>
#include <functional>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/ids.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace gentianramp {

/// An order as it arrives at a backend server.
struct EngineOrder
{
    FencingNumber fencing;
    std::string id;
    std::string kind; ///< set_role, load, unload, drain or undrain.
    std::string role;
    std::string model;
    std::string adapter;
    std::string version;
    bool operator==(const EngineOrder &) const = default;
};

/// Answer to an order.
struct OrderAnswer
{
    bool accepted = false;
    FencingNumber fencing; ///< Highest number seen.
    bool operator==(const OrderAnswer &) const = default;
};

/// Takes orders by fencing number and remembers which took effect.
class OrderBook
{
public:
    using Apply = std::function<void(const EngineOrder &)>;

    OrderBook(bool checksFencing, Apply apply);

    /// Applies the order, refuses it, or repeats the answer to an order id seen before.
    OrderAnswer take(const EngineOrder &order, TimePoint now);

    FencingNumber highest() const { return m_highest; }
    bool checksFencing() const { return m_checksFencing; }
    /// Last order that took effect, as it stands in GET /engine/state.
    const EngineOrder *last() const { return m_effective.empty() ? nullptr : &m_effective.back(); }
    /// The list for GET /engine/orders.
    nlohmann::json toJson() const;

private:
    bool m_checksFencing;
    Apply m_apply;
    FencingNumber m_highest;
    std::map<std::string, OrderAnswer> m_answers;
    std::vector<EngineOrder> m_effective;
    std::vector<std::int64_t> m_effectiveAtNs;
};

} // namespace gentianramp
