#include "http_test_support.hpp"

#include <boost/asio/error.hpp>
#include <random>

#include <criterion/criterion.h>

using namespace gentianramp;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Seed = 20261203;

HttpServerOptions lowLimits()
{
    HttpServerOptions options;
    options.maxHeaderBytes = 1024;
    options.maxBodyBytes = 64;
    options.headerTimeout = 60ms;
    options.bodyTimeout = 60ms;
    options.idleTimeout = 60ms;
    options.errorResponseHeaders.add("Gentianramp-Verdict", "NotRun");
    return options;
}

std::string responseTo(std::string bytes)
{
    TestServer test(lowLimits());
    return exchangeRaw(test.context, test.port, std::move(bytes));
}

} // namespace

Test(HttpServer, RespondsToPipelinedRequestsInOrder)
{
    const std::string response = responseTo("POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nfirst"
                                            "GET /stream HTTP/1.1\r\nConnection: close\r\n\r\n");
    cr_assert(response.find("first") < response.find("4\r\none \r\n3\r\ntwo\r\n0\r\n\r\n"));
}

// An HTTP/1.0 caller took a stream that was cut for a complete one.
Test(HttpServer, ACutStreamWithoutChunksIsReset)
{
    for (const std::string path : {"/cut", "/stream"}) {
        TestServer test;
        boost::system::error_code end;
        exchangeRaw(test.context, test.port, "GET " + path + " HTTP/1.0\r\n\r\n", &end);
        const bool reset = end == boost::asio::error::connection_reset;
        cr_assert_eq(reset, path == "/cut", "%s: %s", path.c_str(), end.message().c_str());
    }
}

Test(HttpServer, DropsResponseHeadersWithLineBreaks)
{
    const std::string response = responseTo("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
    cr_assert(response.starts_with("HTTP/1.1 200 OK\r\n"));
    cr_assert(response.find("Injected") == std::string::npos);
}

Test(HttpServer, RejectsInvalidRequestsWithTheMatchingStatus)
{
    cr_assert(responseTo("GET / HTTP/9.9\r\n\r\n").starts_with("HTTP/1.1 400"));
    cr_assert(responseTo("\x01\x02\x03 garbage\r\n\r\n").starts_with("HTTP/1.1 400"));
    cr_assert(
        responseTo("GET / HTTP/1.1\r\nA: " + std::string(2000, 'x')).starts_with("HTTP/1.1 431"));
    const std::string tooLarge = responseTo("POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n");
    cr_assert(tooLarge.starts_with("HTTP/1.1 413"));
    cr_assert(tooLarge.find("Gentianramp-Verdict: NotRun") != std::string::npos);
}

Test(HttpServer, ClosesConnectionsOfSlowAndIdleCallers)
{
    cr_assert(responseTo("").empty());
    cr_assert(responseTo("GET / HTTP/1.1\r\nHalf: ").find("200") == std::string::npos);
    const std::string slowBody = responseTo("POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf");
    cr_assert(slowBody.find("200") == std::string::npos);
}

Test(HttpServer, UnfinishedStreamIsTruncated)
{
    const std::string response = responseTo("GET /cut HTTP/1.1\r\n\r\n");
    cr_assert(response.ends_with("4\r\nhalf\r\n"));
}

Test(HttpServer, SendsConnectionCloseWhenKeepAliveIsDisabled)
{
    TestServer test;
    test.server.disableKeepAlive();
    const std::string response = exchangeRaw(test.context, test.port, "GET / HTTP/1.1\r\n\r\n");
    cr_assert(response.find("Connection: close") != std::string::npos);
}

Test(HttpServer, RejectsConnectionsOverTheLimit)
{
    HttpServerOptions options = lowLimits();
    options.maxConnections = 0;
    TestServer test(options);
    const std::string response = exchangeRaw(test.context, test.port, "GET / HTTP/1.1\r\n\r\n");
    cr_assert(response.starts_with("HTTP/1.1 503"));
}

Test(HttpServer, SurvivesRandomBytes)
{
    std::mt19937_64 random(Seed);
    const std::string_view alphabet("GET POST/HTTP/1.1\r\n\r\nContent-Length: 0123\0\xff;,", 45);
    std::uniform_int_distribution<std::size_t> pick(0, alphabet.size() - 1);
    TestServer test(lowLimits());
    for (int run = 0; run < 60; ++run) {
        std::string bytes(std::uniform_int_distribution<std::size_t>(1, 300)(random), ' ');
        for (char &character : bytes)
            character = alphabet[pick(random)];
        const std::string response = exchangeRaw(test.context, test.port, "GET / HTTP" + bytes);
        cr_assert(response.empty() || response.starts_with("HTTP/1.1 "), "%s", response.c_str());
    }
    const std::string response
        = exchangeRaw(test.context, test.port, "GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
    cr_assert(response.starts_with("HTTP/1.1 200"));
}
