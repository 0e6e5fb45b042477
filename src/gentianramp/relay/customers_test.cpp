#include "relay_test_fixture.hpp"

#include <criterion/criterion.h>

using namespace gentianramp;
using namespace gentianramp::test;

namespace asio = boost::asio;

namespace {

const std::vector<Customer> Customers{{.name = "north", .keys = {"n1", "n2"}, .priority = 0},
                                      {.name = "south", .keys = {"s1"}}};

Handler answers()
{
    return [](HttpRequest request, ResponseWriter &writer) -> asio::awaitable<void> {
        co_await writer.send(signedAnswer(request));
    };
}

Handler prefills()
{
    return [](HttpRequest, ResponseWriter &writer) -> asio::awaitable<void> {
        HttpResponse handle;
        handle.status = 200;
        handle.body = "h";
        co_await writer.send(std::move(handle));
    };
}

HttpRequest withKey(const std::string &authorization)
{
    HttpRequest request;
    if (!authorization.empty())
        request.headers.add("Authorization", authorization);
    return request;
}

struct KeyedRelay : RelayFixture
{
    explicit KeyedRelay(Route route = {})
    {
        addServer("b", answers());
        customers = Customers;
        declare(std::move(route));
    }

    const HttpHeaders &lastHeaders() const { return receivedRequests.back().second.headers; }
};

} // namespace

// A key that is passed on can be used by whoever runs the server.
Test(customers, theServerGetsTheCustomerAndNotTheKey)
{
    KeyedRelay fixture;
    HttpRequest request = withKey("Bearer n2");
    request.headers.add("X-Customer", "south");
    request.headers.add("Gentianramp-Customer", "south");
    cr_assert_eq(fixture.call(request)->status, 200U);
    cr_assert_eq(fixture.lastHeaders().find("X-Customer"), "north");
    for (const HttpHeader &field : fixture.lastHeaders().fields()) {
        cr_assert(field.value.find("n2") == std::string::npos, "%s", field.name.c_str());
        cr_assert(field.value.find("south") == std::string::npos, "%s", field.name.c_str());
    }
}

Test(customers, anUnknownKeyIsRefusedBeforeAnythingIsSent)
{
    KeyedRelay fixture;
    for (const char *authorization :
         {"", "Bearer", "Bearer ", "Bearer n3", "Bearer N1", "Basic n1", "n1"})
        cr_assert_eq(fixture.call(withKey(authorization))->status, 401U, "%s", authorization);
    cr_assert(fixture.receivedRequests.empty());
}

// A caller does not try again after 401, so that a wrong one loses the request.
Test(customers, anUnknownKeyIsNotJudgedWithAnUnconfirmedDeclaration)
{
    KeyedRelay fixture;
    for (const std::optional<Duration> &age :
         {std::optional<Duration>(), std::optional<Duration>(std::chrono::seconds(20))}) {
        fixture.declarationAge = age;
        const Result<HttpResponse> answer = fixture.call(withKey("Bearer n3"));
        cr_assert_eq(answer->status, 503U);
        cr_assert(answer->headers.contains("Retry-After"));
        cr_assert_eq(fixture.call(withKey("Bearer n1"))->status, 200U);
    }
}

Test(customers, publicRoutesNeedNoKeyAndPassNoneOn)
{
    Route route;
    route.isPublic = true;
    KeyedRelay fixture(route);
    HttpRequest request = withKey("Bearer unknown");
    request.headers.add("X-Customer", "north");
    cr_assert_eq(fixture.call(request)->status, 200U);
    cr_assert_not(fixture.lastHeaders().contains("X-Customer"));
    cr_assert_not(fixture.lastHeaders().contains("Authorization"));
    cr_assert_eq(fixture.call(withKey("Bearer s1"))->status, 200U);
    cr_assert_eq(fixture.lastHeaders().find("X-Customer"), "south");
}

Test(customers, withoutDeclaredCustomersTheFieldIsPassedOn)
{
    RelayFixture fixture;
    fixture.addServer("b", answers());
    fixture.declare({});
    cr_assert_eq(fixture.call(withKey("Bearer n1"))->status, 200U);
    cr_assert_eq(fixture.receivedRequests.back().second.headers.find("Authorization"), "Bearer n1");
}

Test(customers, aDeclarationWithoutAnyKeyServesPublicRoutesOnly)
{
    RelayFixture fixture;
    fixture.addServer("b", answers());
    fixture.customers.emplace();
    fixture.declare({});
    cr_assert_eq(fixture.call(withKey("Bearer n1"))->status, 401U);
}

// A key moves to another customer with the next declaration.
Test(customers, aKeyBelongsToWhoeverHoldsItNow)
{
    KeyedRelay fixture;
    fixture.customers = std::vector<Customer>{{.name = "north", .keys = {"n1"}},
                                              {.name = "south", .keys = {"n2"}}};
    fixture.declare({});
    cr_assert_eq(fixture.call(withKey("Bearer n2"))->status, 200U);
    cr_assert_eq(fixture.lastHeaders().find("X-Customer"), "south");
    cr_assert_eq(fixture.call(withKey("Bearer s1"))->status, 401U);
}

// The prefill of a prompt is sent with the headers of the request too.
Test(customers, noStepOfAPromptPassesTheKeyOn)
{
    Route route;
    route.kind = RouteKind::Stream;
    route.carriesPrompt = true;
    route.priority = 4;
    RelayFixture fixture;
    fixture.addServer("p", prefills(), true);
    fixture.addServer("d", streams(1, 3, true));
    fixture.customers = Customers;
    fixture.declare(route);
    for (const auto &[key, customer, priority] :
         {std::tuple("n1", "north", "0"), std::tuple("s1", "south", "4")}) {
        fixture.receivedRequests.clear();
        HttpRequest request = withKey(std::string("Bearer ") + key);
        request.headers.add("X-Prompt", "1");
        cr_assert_eq(fixture.call(request)->status, 200U);
        cr_assert(not fixture.receivedRequests.empty());
        for (const auto &[server, received] : fixture.receivedRequests) {
            cr_assert_not(received.headers.contains("Authorization"));
            cr_assert_eq(received.headers.find("X-Customer"), customer);
            cr_assert_eq(received.headers.find("X-Priority"), priority);
        }
    }
}
