#include "http_test_support.hpp"

#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <glog/logging.h>
#include <random>
#include <thread>

#include <criterion/criterion.h>

using namespace gentianramp;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;

constexpr std::uint64_t Seed = 20261203;
/// A paused clock is looked at this often at least.
constexpr Duration WakeUpTime = 2ms;

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

/// Collects the log lines about unanswered requests.
class UnansweredLines : public google::LogSink
{
public:
    UnansweredLines() { google::AddLogSink(this); }
    ~UnansweredLines() override { google::RemoveLogSink(this); }
    UnansweredLines(const UnansweredLines &) = delete;
    UnansweredLines &operator=(const UnansweredLines &) = delete;

    void send(google::LogSeverity, const char *, const char *, int, const google::LogMessageTime &,
              const char *message, std::size_t length) override
    {
        const std::string text(message, length);
        if (text.starts_with("connection_unanswered "))
            m_texts.push_back(text);
    }

    const std::vector<std::string> &texts() const { return m_texts; }

private:
    std::vector<std::string> m_texts;
};

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

// A caller that gets no response can't tell whether its request was read.
Test(HttpServer, AnswersSlowRequestsWith408)
{
    cr_assert(responseTo("GET / HTTP/1.1\r\nHalf: ").starts_with("HTTP/1.1 408"));
    const std::string slowBody = responseTo("POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf");
    cr_assert(slowBody.starts_with("HTTP/1.1 408"));
    cr_assert(slowBody.find("Gentianramp-Verdict: NotRun") != std::string::npos);
}

// A request that arrives while the idle time-out passes is answered, or not read at all.
Test(HttpServer, AnswersARequestThatMeetsTheIdleTimeout)
{
    const std::string whole = "GET / HTTP/1.1\r\nConnection: close\r\n\r\n";
    int answeredCount = 0;
    int closedCount = 0;
    for (const bool strand : {true, false}) {
        for (const bool timeoutFirst : {true, false}) {
            for (int steps = 0; steps < 12; ++steps) {
                const PausedClock clock;
                HttpServerOptions options = lowLimits();
                TestServer *server = nullptr;
                if (!strand)
                    options.connectionExecutor
                        = [&]() -> asio::any_io_executor { return server->context.get_executor(); };
                TestServer test(options);
                server = &test;
                PlainCaller caller(test.port);
                cr_assert(runUntil(test.context, [&] { return test.server.connections() == 1; }));
                test.context.restart();
                test.context.run_for(2ms);
                test.context.restart();
                // The time-out passes some steps of the server before or after the request arrives.
                const auto passTimeout = [&] {
                    RuntimeClock::advance(options.idleTimeout);
                    std::this_thread::sleep_for(WakeUpTime);
                };
                const auto writeRequest = [&] { cr_assert_eq(caller.write(whole), whole.size()); };
                timeoutFirst ? passTimeout() : writeRequest();
                for (int step = 0; step < steps; ++step)
                    test.context.poll_one();
                timeoutFirst ? writeRequest() : passTimeout();
                test.context.restart();
                runUntil(test.context, [&] {
                    caller.readPart();
                    return caller.ended();
                });
                const bool answered = caller.received().starts_with("HTTP/1.1 200");
                ++(answered ? answeredCount : closedCount);
                cr_assert(answered == (test.requestCount == 1), "%d steps: %d requests, \"%s\"",
                          steps, test.requestCount, caller.received().c_str());
            }
        }
    }
    cr_assert_gt(answeredCount, 0);
    cr_assert_gt(closedCount, 0);
}

// A configuration that is published meanwhile must not end a request that was accepted before.
Test(HttpServer, LowerLimitsLeaveTheRequestThatIsBeingReadAlone)
{
    const PausedClock clock;
    TestServer test;
    const auto send = [&](PlainCaller &caller, std::string_view bytes) {
        cr_assert_eq(caller.write(bytes), bytes.size());
        test.context.restart();
        test.context.run_for(WakeUpTime);
    };
    PlainCaller inHead(test.port);
    PlainCaller inBody(test.port);
    send(inHead, "GET / HTTP/1.1\r\nConnection: close\r\nFirst: " + std::string(100, 'x'));
    send(inBody, "POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: 8\r\n\r\nhalf");
    test.server.setRequestLimits(16, 1, 1ms, 1ms);
    RuntimeClock::advance(1s);
    send(inHead, "x\r\n\r\n");
    send(inBody, "more");
    for (PlainCaller *caller : {&inHead, &inBody}) {
        runUntil(test.context, [&] {
            caller->readPart();
            return caller->ended();
        });
        cr_assert(caller->received().starts_with("HTTP/1.1 200"), "%s", caller->received().c_str());
    }
    cr_assert(inBody.received().ends_with("halfmore"));
}

// Closing a socket with unread bytes resets the connection, which discards the rest of a response
// that the caller has not read yet.
Test(HttpServer, KeepsTheResponseWhenMoreIsPipelinedBehindTheLastRequest)
{
    constexpr std::size_t bodyBytes = 256 * 1024;
    constexpr std::size_t pipelinedBytes = 512 * 1024;
    constexpr int smallBuffer = 4096;
    TestServer test;
    PlainCaller caller(test.port, smallBuffer);
    std::string unsent = "POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: "
        + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(bodyBytes, 'x')
        + "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(pipelinedBytes) + "\r\n\r\n"
        + std::string(pipelinedBytes, 'y');
    runUntil(test.context, [&] {
        unsent.erase(0, caller.write(unsent));
        if (test.requestCount == 1)
            caller.readPart();
        return caller.ended();
    });
    cr_assert(caller.received().starts_with("HTTP/1.1 200"));
    cr_assert(caller.received().ends_with("\r\n\r\n" + std::string(bodyBytes, 'x')),
              "%zu bytes received", caller.received().size());
    cr_assert_not(caller.reset());
    cr_assert_eq(test.requestCount, 1);
}

// A whole request was read, so that the caller is due a response.
Test(HttpServer, AnswersARequestWhoseHandlerFailsWith500)
{
    const std::string failed = responseTo("GET /throw HTTP/1.1\r\n\r\n");
    cr_assert(failed.starts_with("HTTP/1.1 500"), "%s", failed.c_str());
    cr_assert(failed.find("Connection: close") != std::string::npos);
    // The handler may have run the request before it failed.
    cr_assert(failed.find("NotRun") == std::string::npos);
    cr_assert(responseTo("GET /forget HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 500"));
    cr_assert(responseTo("GET /close HTTP/1.1\r\n\r\n").empty());
}

Test(HttpServer, TruncatesAStreamWhoseHandlerFails)
{
    cr_assert(responseTo("GET /throw-in-stream HTTP/1.1\r\n\r\n").ends_with("4\r\nhalf\r\n"));
}

// Without a report, a request that was lost leaves no trace at the server.
Test(HttpServer, ReportsRequestsWithoutACompleteResponse)
{
    std::vector<UnansweredRequest> reports;
    HttpServerOptions options;
    options.writeTimeout = 60ms;
    options.unansweredHook = [&](const UnansweredRequest &request) { reports.push_back(request); };
    TestServer test(options);
    const auto reasonOf = [&](const std::string &path) {
        reports.clear();
        exchangeRaw(test.context, test.port, "GET " + path + " HTTP/1.1\r\n\r\n");
        cr_assert_eq(reports.size(), 1U, "%s", path.c_str());
        return reports.front().reason;
    };
    cr_assert_eq(reasonOf("/cut"), UnansweredReason::StreamUnfinished);
    cr_assert_gt(reports.front().bytesWritten, 0U);
    cr_assert_eq(reasonOf("/throw-in-stream"), UnansweredReason::HandlerFailed);
    cr_assert_eq(reasonOf("/close"), UnansweredReason::HandlerClosed);
    cr_assert_eq(reports.front().bytesWritten, 0U);

    reports.clear();
    const std::string body(8'000'000, 'x');
    PlainCaller slow(test.port);
    std::string unsent
        = "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    runUntil(test.context, [&] {
        unsent.erase(0, slow.write(unsent));
        return !reports.empty();
    });
    cr_assert_eq(reports.size(), 1U);
    cr_assert_eq(reports.front().reason, UnansweredReason::WriteTimedOut);

    reports.clear();
    PlainCaller waiting(test.port);
    const std::string stall = "GET /stall HTTP/1.1\r\n\r\n";
    cr_assert_eq(waiting.write(stall), stall.size());
    cr_assert(runUntil(test.context, [&] { return test.server.activeRequests() == 1; }));
    test.server.stop();
    cr_assert(runUntil(test.context, [&] { return !reports.empty(); }));
    cr_assert_eq(reports.front().reason, UnansweredReason::Stopped);
}

// A fault that hits every request must not displace all other log lines.
Test(HttpServer, BoundsTheLogLinesOfUnansweredRequests)
{
    constexpr int requests = 50;
    constexpr std::size_t linesPerSecond = 20;
    const PausedClock clock;
    UnansweredLines lines;
    int reports = 0;
    HttpServerOptions options;
    options.unansweredHook = [&](const UnansweredRequest &) { ++reports; };
    TestServer test(options);
    const std::string request = "GET /close HTTP/1.1\r\n\r\n";
    for (int count = 0; count < requests; ++count)
        exchangeRaw(test.context, test.port, request);
    cr_assert_eq(reports, requests);
    cr_assert_eq(lines.texts().size(), linesPerSecond);
    RuntimeClock::advance(1s);
    exchangeRaw(test.context, test.port, request);
    cr_assert_eq(lines.texts().size(), linesPerSecond + 1);
    cr_assert(lines.texts().back().ends_with("omitted=30"), "%s", lines.texts().back().c_str());
}

Test(HttpServer, ReportsNeitherAnswersNorCallersThatLeave)
{
    int reports = 0;
    HttpServerOptions options = lowLimits();
    options.unansweredHook = [&](const UnansweredRequest &) { ++reports; };
    TestServer test(options);
    const std::string close = " HTTP/1.1\r\nConnection: close\r\n\r\n";
    for (const std::string begin : {"GET /", "GET /stream", "GET /throw", "GET /forget"})
        exchangeRaw(test.context, test.port, begin + close);
    {
        PlainCaller caller(test.port);
        const std::string stall = "GET /stall" + close;
        cr_assert_eq(caller.write(stall), stall.size());
        cr_assert(runUntil(test.context, [&] { return test.server.activeRequests() == 1; }));
    }
    cr_assert(runUntil(test.context, [&] { return test.server.activeRequests() == 0; }));
    cr_assert_eq(test.callerGoneCount, 1);
    cr_assert_eq(reports, 0);
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

// Closing the listening socket resets the connections that it has not accepted yet.
// HttpServer::stopListening() accepts them before.
Test(HttpServer, AnswersConnectionsInTheAcceptQueueWhenItStopsListening)
{
    TestServer test;
    const std::string whole = "GET / HTTP/1.1\r\n\r\n";
    std::vector<std::unique_ptr<PlainCaller>> callers;
    for (int number = 0; number < 20; ++number) {
        callers.push_back(std::make_unique<PlainCaller>(test.port));
        cr_assert_eq(callers.back()->write(whole), whole.size());
    }
    test.server.disableKeepAlive();
    test.server.stopListening();
    for (const auto &caller : callers) {
        runUntil(test.context, [&] {
            caller->readPart();
            return caller->ended();
        });
        cr_assert(caller->received().starts_with("HTTP/1.1 200"));
    }
}

// A caller must not send a request after "Connection: close", and may send one anew that got no
// answer. ServerSession::run() reads none, so that it has not run.
Test(HttpServer, ARequestAfterConnectionCloseIsNotRun)
{
    TestServer test;
    test.server.disableKeepAlive();
    const std::string response
        = exchangeRaw(test.context, test.port, "GET / HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\n\r\n");
    cr_assert(response.find("Connection: close") != std::string::npos);
    cr_assert_eq(response.find("HTTP/1.1", 1), std::string::npos);
    cr_assert_eq(test.requestCount, 1);
}

// A process that stops waits for the requests that it has begun to read.
Test(HttpServer, CountsARequestFromItsFirstByteUntilItIsAnswered)
{
    TestServer test;
    PlainCaller caller(test.port);
    cr_assert(runUntil(test.context, [&] { return test.server.connections() == 1; }));
    cr_assert_eq(test.server.unansweredRequests(), 0U);
    caller.write("GET / HTTP/1.1\r\n");
    cr_assert(runUntil(test.context, [&] { return test.server.unansweredRequests() == 1; }));
    caller.write("\r\n");
    cr_assert(runUntil(test.context, [&] { return test.server.unansweredRequests() == 0; }));
    caller.readPart();
    cr_assert(caller.received().starts_with("HTTP/1.1 200"));
    PlainCaller leaving(test.port);
    leaving.write("GET / HT");
    cr_assert(runUntil(test.context, [&] { return test.server.unansweredRequests() == 1; }));
    leaving.close();
    cr_assert(runUntil(test.context, [&] { return test.server.unansweredRequests() == 0; }));
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
