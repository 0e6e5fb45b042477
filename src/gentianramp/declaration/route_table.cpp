#include <gentianramp/declaration/route_table.hpp>

#include <algorithm>
#include <cctype>

namespace gentianramp {

namespace {

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char character) { return std::tolower(character); });
    return lower;
}

std::string withoutPort(std::string_view host)
{
    const std::size_t colon = host.rfind(':');
    const bool hasPort = colon != std::string_view::npos
        && host.find_first_not_of("0123456789", colon + 1) == std::string_view::npos;
    return lowerCase(hasPort ? host.substr(0, colon) : host);
}

std::string routeKey(const std::string &host, std::string_view prefix)
{
    return host + ' ' + std::string(prefix);
}

} // namespace

RouteTable::RouteTable(Declaration declaration)
    : m_declaration(std::move(declaration))
{
    for (const Route &route : m_declaration.routes)
        m_routes.emplace(routeKey(lowerCase(route.host), route.pathPrefix), &route);
    for (const DeclaredService &service : m_declaration.services)
        m_services.emplace(service.name, &service);
    if (!m_declaration.customers)
        return;
    for (std::size_t index = 0; index < m_declaration.customers->size(); ++index) {
        const Customer &customer = (*m_declaration.customers)[index];
        m_customers.emplace(customer.name, &customer);
        for (const std::string &key : customer.keys)
            m_keys.add(key, index);
    }
}

const Route *RouteTable::find(std::string_view host, std::string_view path) const
{
    const std::string name = withoutPort(host);
    // Every prefix ends with a slash, so that only prefixes of the path that do so can match.
    for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos;
         slash = path.rfind('/', slash - 1)) {
        const auto found = m_routes.find(routeKey(name, path.substr(0, slash + 1)));
        if (found != m_routes.end())
            return found->second;
        if (slash == 0)
            break;
    }
    return nullptr;
}

const DeclaredService *RouteTable::service(std::string_view name) const
{
    const auto found = m_services.find(std::string(name));
    return found == m_services.end() ? nullptr : found->second;
}

const Customer *RouteTable::findCustomer(std::string_view key) const
{
    const std::optional<std::size_t> index = m_keys.find(key);
    return index ? &(*m_declaration.customers)[*index] : nullptr;
}

const Customer *RouteTable::customer(std::string_view name) const
{
    const auto found = m_customers.find(std::string(name));
    return found == m_customers.end() ? nullptr : found->second;
}

const std::string &pickService(const Route &route, double draw)
{
    double total = 0;
    for (const ServiceShare &share : route.shares)
        total += share.weight;
    double left = draw * total;
    for (const ServiceShare &share : route.shares) {
        if (left < share.weight)
            return share.service;
        left -= share.weight;
    }
    return route.shares.back().service;
}

} // namespace gentianramp
