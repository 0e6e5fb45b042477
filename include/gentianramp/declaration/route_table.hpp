#pragma once

#include <gentianramp/declaration/customer_keys.hpp>
#include <gentianramp/declaration/declaration.hpp>
#include <string_view>
#include <unordered_map>

namespace gentianramp {

/// Immutable index over the routes of a declaration.
class RouteTable
{
public:
    explicit RouteTable(Declaration declaration);
    // The index points into the declaration.
    RouteTable(const RouteTable &) = delete;
    RouteTable &operator=(const RouteTable &) = delete;

    const Declaration &declaration() const noexcept { return m_declaration; }
    /// The route of @p host with the longest matching prefix of @p path; null if there is none. @p
    /// host may include a port; @p path excludes the query.
    const Route *find(std::string_view host, std::string_view path) const;
    const DeclaredService *service(std::string_view name) const;
    /// Requests need a key, except on public routes.
    bool requiresKeys() const noexcept { return m_declaration.customers.has_value(); }
    /// The customer that holds the key; null if there is none.
    const Customer *findCustomer(std::string_view key) const;
    const Customer *customer(std::string_view name) const;

private:
    Declaration m_declaration;
    std::unordered_map<std::string, const Route *> m_routes; ///< By host and prefix.
    std::unordered_map<std::string, const DeclaredService *> m_services;
    CustomerKeys m_keys; ///< Indices of declared customers.
    std::unordered_map<std::string, const Customer *> m_customers; ///< By name.
};

/// Picks the service of a request by the weights in @p route; @p draw is a random number, uniform
/// in [0, 1).
const std::string &pickService(const Route &route, double draw);

} // namespace gentianramp
