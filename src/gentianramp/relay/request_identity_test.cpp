#include <gentianramp/relay/request_identity.hpp>

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

HttpRequest request()
{
    HttpRequest request{.method = "POST", .target = "/p/x?q=1", .body = "body"};
    request.headers.add("Host", "host.example");
    request.headers.add("X-Caller", "one");
    request.headers.add("X-Id", "1");
    return request;
}

BackendProtocol protocol()
{
    BackendProtocol protocol;
    protocol.callerHeaders = {"X-Caller"};
    return protocol;
}

} // namespace

Test(request_identity, aRepetitionIsTheSameRequest)
{
    HttpRequest again = request();
    again.headers.set("X-Id", "2");
    cr_assert_eq(requestIdentity(again, nullptr, "", protocol()),
                 requestIdentity(request(), nullptr, "", protocol()));
}

Test(request_identity, whatAServerSeesTellsRequestsApart)
{
    const std::uint64_t first = requestIdentity(request(), nullptr, "", protocol());
    HttpRequest other = request();
    other.method = "PUT";
    cr_assert_neq(requestIdentity(other, nullptr, "", protocol()), first);
    other = request();
    other.target = "/p/x?q=2";
    cr_assert_neq(requestIdentity(other, nullptr, "", protocol()), first);
    other = request();
    other.body = "Body";
    cr_assert_neq(requestIdentity(other, nullptr, "", protocol()), first);
    for (const char *name : {"Host", "X-Caller"}) {
        other = request();
        other.headers.set(name, "another");
        cr_assert_neq(requestIdentity(other, nullptr, "", protocol()), first);
    }
    const PromptDescription prompt{.parts = {{1, 10}, {2, 10}}};
    const PromptDescription swapped{.parts = {{2, 10}, {1, 10}}};
    cr_assert_neq(requestIdentity(request(), &prompt, "", protocol()), first);
    cr_assert_neq(requestIdentity(request(), &prompt, "", protocol()),
                  requestIdentity(request(), &swapped, "", protocol()));
}
