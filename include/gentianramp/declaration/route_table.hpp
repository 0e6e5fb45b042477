#pragma once

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
    /// The route of @p host, which may carry a port, with the longest prefix of @p path; null when
    /// there is none. @p path holds no query.
    const Route *find(std::string_view host, std::string_view path) const;
    const DeclaredService *service(std::string_view name) const;

private:
    Declaration m_declaration;
    std::unordered_map<std::string, const Route *> m_routes; ///< By host and prefix.
    std::unordered_map<std::string, const DeclaredService *> m_services;
};

/// Picks the service of a request among the shares of @p route; @p draw is uniform in [0, 1).
const std::string &pickService(const Route &route, double draw);

} // namespace gentianramp
