#include <gentianramp/declaration/route_table.hpp>

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

Route route(std::string host, std::string prefix, std::string service = "s")
{
    Route made;
    made.name = host + prefix;
    made.host = std::move(host);
    made.pathPrefix = std::move(prefix);
    made.timeout = std::chrono::seconds(1);
    made.shares = {{std::move(service), 1}};
    return made;
}

Declaration declared(std::vector<Route> routes)
{
    Declaration declaration;
    declaration.number = 1;
    declaration.services = {{.name = "s"}, {.name = "t"}};
    declaration.routes = std::move(routes);
    return declaration;
}

} // namespace

Test(route_table, longestPrefixWins)
{
    const RouteTable table(declared({route("a", "/x/"), route("a", "/x/y/"), route("b", "/x/")}));
    cr_assert_eq(table.find("a", "/x/y/z")->pathPrefix, "/x/y/");
    cr_assert_eq(table.find("a", "/x/yy")->pathPrefix, "/x/");
    cr_assert_eq(table.find("A:8080", "/x/")->host, "a");
    cr_assert_null(table.find("a", "/x"));
    cr_assert_null(table.find("a", "/"));
    cr_assert_null(table.find("a", ""));
    cr_assert_null(table.find("c", "/x/"));
}

Test(route_table, servicesArePickedByWeight)
{
    Route split = route("a", "/x/");
    split.shares = {{"s", 90}, {"t", 10}};
    cr_assert_eq(pickService(split, 0.0), "s");
    cr_assert_eq(pickService(split, 0.89), "s");
    cr_assert_eq(pickService(split, 0.91), "t");
    split.shares = {{"s", 0}, {"t", 10}};
    cr_assert_eq(pickService(split, 0.0), "t");
}

Test(route_table, invalidCustomersAreReportedWithoutTheirKeys)
{
    const auto faults = [](std::vector<Customer> customers) {
        Declaration declaration = declared({route("a", "/x/")});
        declaration.customers = std::move(customers);
        return declarationFaults(declaration);
    };
    cr_assert(faults({}).empty());
    cr_assert(faults({{.name = "a", .keys = {}}, {.name = "b", .keys = {"k", "k"}}}).empty());
    const std::vector<std::string> shared
        = faults({{.name = "a", .keys = {"secret"}}, {.name = "b", .keys = {"x", "secret"}}});
    cr_assert_eq(shared.size(), 1U);
    cr_assert_eq(shared.front(), "customers a and b have the same key");
    cr_assert_eq(faults({{.name = "a", .keys = {""}}}).size(), 1U);
    cr_assert_eq(faults({{.name = "", .keys = {"k"}}}).size(), 1U);
    cr_assert_eq(faults({{.name = "a", .keys = {"k"}}, {.name = "a", .keys = {"l"}}}).size(), 1U);
}

Test(route_table, invalidDeclarationsAreReported)
{
    cr_assert(declarationFaults(declared({route("a", "/x/")})).empty());
    cr_assert_eq(declarationFaults(declared({route("a", "/x/"), route("a", "/x/")})).size(), 1U);
    cr_assert_eq(declarationFaults(declared({route("a", "/x/", "unknown")})).size(), 1U);
    Route withoutTimeout = route("a", "/x/");
    withoutTimeout.timeout = {};
    cr_assert_eq(declarationFaults(declared({withoutTimeout})).size(), 1U);
    Route weightless = route("a", "/x/");
    weightless.shares = {{"s", 0}, {"t", 0}};
    cr_assert_eq(declarationFaults(declared({weightless})).size(), 1U);
    weightless.shares.clear();
    cr_assert_eq(declarationFaults(declared({weightless})).size(), 1U);
}
