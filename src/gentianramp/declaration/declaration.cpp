#include <gentianramp/declaration/declaration.hpp>

#include <map>
#include <set>
#include <utility>

namespace gentianramp {

namespace {

void checkRoute(const Route &route, const std::set<std::string> &services,
                std::vector<std::string> &faults)
{
    if (route.timeout <= Duration::zero())
        faults.push_back("route " + route.name + " has no timeout");
    if (!route.pathPrefix.starts_with('/') || !route.pathPrefix.ends_with('/'))
        faults.push_back("the path prefix of route " + route.name
                         + " does not begin and end with a slash");
    double weights = 0;
    for (const ServiceShare &share : route.shares) {
        weights += share.weight;
        if (!services.contains(share.service))
            faults.push_back("route " + route.name + " names the unknown service " + share.service);
        if (share.weight < 0)
            faults.push_back("route " + route.name + " has a negative weight");
    }
    if (weights <= 0)
        faults.push_back("the weights of route " + route.name + " add up to 0");
}

/// Faults name customers, but never keys.
void checkCustomers(const std::vector<Customer> &customers, std::vector<std::string> &faults)
{
    std::set<std::string> names;
    std::map<std::string, std::string> holders;
    for (const Customer &customer : customers) {
        if (customer.name.empty())
            faults.emplace_back("a customer has no name");
        else if (!names.insert(customer.name).second)
            faults.push_back("customer " + customer.name + " is declared twice");
        for (const std::string &key : customer.keys) {
            const auto [holder, isNew] = holders.emplace(key, customer.name);
            if (key.empty())
                faults.push_back("customer " + customer.name + " has an empty key");
            else if (!isNew && holder->second != customer.name)
                faults.push_back("customers " + holder->second + " and " + customer.name
                                 + " have the same key");
        }
    }
}

} // namespace

bool isNewerDeclaration(std::uint64_t number, std::uint64_t held)
{
    const auto rank = [](std::uint64_t value) { return value <= MaxDeclarationNumber ? value : 0; };
    return rank(number) > rank(held);
}

std::vector<std::string> declarationFaults(const Declaration &declaration)
{
    std::vector<std::string> faults;
    std::set<std::string> services;
    for (const DeclaredService &service : declaration.services) {
        if (!services.insert(service.name).second)
            faults.push_back("service " + service.name + " is declared twice");
    }
    std::set<std::pair<std::string, std::string>> routeKeys;
    for (const Route &route : declaration.routes) {
        checkRoute(route, services, faults);
        if (!routeKeys.emplace(route.host, route.pathPrefix).second)
            faults.push_back("route " + route.name + " has the host and prefix of another route");
    }
    if (declaration.customers)
        checkCustomers(*declaration.customers, faults);
    return faults;
}

} // namespace gentianramp
