// Answers of servers that use the protocol's less common forms, or that break it.

#include "http_test_support.hpp"
#include "raw_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <criterion/criterion.h>

using namespace gentianramp;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

/// Bound on a test that would never end.
constexpr Duration TestTime = 5s;
constexpr Duration CallTime = 400ms;
constexpr std::size_t MaxBody = 1024 * 1024;
/// Body, header fields and what the sockets of both ends hold.
constexpr std::size_t MaxSentBytes = 24 * 1024 * 1024;

const std::string ChunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string OkFields = "X-Id: mine\r\nContent-Length: 2\r\n\r\nok";
const std::string OkAnswer = "HTTP/1.1 200 OK\r\n" + OkFields;

struct Fixture
{
    explicit Fixture(RawServer::Script script, int receiveBufferBytes = 0)
        : server(context, std::move(script), receiveBufferBytes)
    { }

    explicit Fixture(const RawAnswer &answer, int receiveBufferBytes = 0)
        : Fixture([answer](const std::string &) { return answer; }, receiveBufferBytes)
    { }

    ~Fixture() { context.run_for(10ms); }

    HttpCall makeCall() const
    {
        HttpCall call;
        call.address = {"127.0.0.1", server.port()};
        call.request.target = "/";
        call.maxBodyBytes = MaxBody;
        call.echoedHeader = {"X-Id", "mine"};
        return call;
    }

    Result<HttpResponse> call() { return call(makeCall()); }

    Result<HttpResponse> call(HttpCall httpCall)
    {
        std::optional<Result<HttpResponse>> answer;
        asio::co_spawn(
            context,
            [this, &answer, httpCall = std::move(httpCall)]() mutable -> asio::awaitable<void> {
                answer.emplace(co_await client.request(std::move(httpCall)));
            },
            asio::detached);
        const TimePoint end = RuntimeClock::now() + TestTime;
        while (!answer && RuntimeClock::now() < end) {
            context.restart();
            context.run_one_for(20ms);
        }
        cr_assert(answer.has_value(), "the call did not end");
        return *answer;
    }

    /// Checks that the call fails with @p expected and that the connection is closed.
    void checkFails(HttpCall httpCall, Error expected, const char *name)
    {
        const Result<HttpResponse> answer = call(std::move(httpCall));
        cr_assert_not(static_cast<bool>(answer), "%s: an answer", name);
        cr_assert(answer.error() == expected, "%s: %s", name, answer.error().message().c_str());
        cr_assert(runUntil(context, [&] { return server.openConnections() == 0; }), "%s", name);
        cr_assert_leq(server.fillerBytes(), MaxSentBytes, "%s", name);
    }

    asio::io_context context;
    RawServer server;
    HttpClient client;
};

RawAnswer endless(std::string bytes, std::string filler, Duration interval = {})
{
    return {std::move(bytes), AnswerEnd::Endless, std::move(filler), interval};
}

std::string repeated(const std::string &text, int count)
{
    std::string result;
    for (int number = 0; number < count; ++number)
        result += text;
    return result;
}

} // namespace

Test(HttpClientAnswers, ABodyWithoutLengthEndsWithItsConnection)
{
    for (const char *body : {"whole", ""}) {
        Fixture fixture(
            {.bytes = std::string("HTTP/1.1 200 OK\r\n\r\n") + body, .end = AnswerEnd::Finish});
        for (int count = 1; count <= 3; ++count) {
            const auto answer = fixture.call();
            cr_assert(static_cast<bool>(answer));
            cr_assert_eq(answer->body, body);
            cr_assert_eq(fixture.server.connections(), count);
        }
    }
}

Test(HttpClientAnswers, ABodyThatIsResetIsLost)
{
    for (const char *bytes :
         {"HTTP/1.1 200 OK\r\n\r\nhalf", "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"}) {
        Fixture fixture({.bytes = bytes, .end = AnswerEnd::Reset});
        fixture.checkFails(fixture.makeCall(), Error::ConnectionLost, bytes);
    }
}

Test(HttpClientAnswers, ABodyShorterThanItsHeadSaysIsLost)
{
    for (const char *bytes : {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
                              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
                              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
                              "HTTP/1.1 200 OK\r\nContent-Le"}) {
        Fixture fixture({.bytes = bytes, .end = AnswerEnd::Finish});
        fixture.checkFails(fixture.makeCall(), Error::ConnectionLost, bytes);
    }
}

// The end of an empty chunked body in two pieces ended a process by an assertion.
Test(HttpClientAnswers, AnEmptyChunkedBodyMayEndInPieces)
{
    Fixture fixture({.bytes = ChunkedHead + "0\r\n", .late = "\r", .lateAfter = 50ms});
    HttpCall call = fixture.makeCall();
    call.silenceTimeout = CallTime;
    fixture.checkFails(std::move(call), Error::TimedOut, "half of the end");
}

Test(HttpClientAnswers, InterimAnswersAreSkipped)
{
    Fixture fixture({.bytes = "HTTP/1.1 100 Continue\r\n\r\n"
                              "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
                         + OkAnswer});
    for (int count = 0; count < 2; ++count) {
        const auto answer = fixture.call();
        cr_assert(static_cast<bool>(answer));
        cr_assert_eq(answer->status, 200U);
        cr_assert_eq(answer->body, "ok");
    }
    cr_assert_eq(fixture.server.connections(), 1);
}

// A server that sent bytes without end made the client hold a core, or memory, for as long as the
// bytes came.
Test(HttpClientAnswers, FastBytesWithoutEndAreCut)
{
    const std::string block(64 * 1024, 'x');
    const std::string late = "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 2\r\n\r\nno";
    const struct
    {
        const char *name;
        RawAnswer answer;
        Error expected;
    } cases[] = {
        {"status line", endless("", block), Error::Malformed},
        {"reason", endless("HTTP/1.1 200 ", block), Error::TooLarge},
        {"header fields", endless("HTTP/1.1 200 OK\r\n", repeated("A: b\r\n", 5000)),
         Error::TooLarge},
        {"interim answers", endless("", repeated("HTTP/1.1 100 Continue\r\n\r\n", 1000)),
         Error::Malformed},
        {"body", endless("HTTP/1.1 200 OK\r\n\r\n", block), Error::TooLarge},
        {"chunks", endless(ChunkedHead, "10000\r\n" + block + "\r\n"), Error::TooLarge},
        {"small chunks", endless(ChunkedHead, repeated("1\r\nx\r\n", 10000)), Error::TooLarge},
        {"chunk size", endless(ChunkedHead, std::string(64 * 1024, '0')), Error::TooLarge},
        {"chunk extension", endless(ChunkedHead + "1;a=", block), Error::TooLarge},
        {"trailers", endless(ChunkedHead + "0\r\n", repeated("A: b\r\n", 10000)), Error::TooLarge},
        {"late answer", endless("HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\n", block), Error::TooLarge},
        {"late answers", endless("", repeated(late, 1000)), Error::ConnectionLost},
    };
    for (const auto &entry : cases) {
        Fixture fixture(entry.answer);
        fixture.checkFails(fixture.makeCall(), entry.expected, entry.name);
    }
}

// Each byte in time, but the answer without end.
Test(HttpClientAnswers, SlowBytesWithoutEndAreCut)
{
    const struct
    {
        const char *name;
        RawAnswer answer;
    } cases[] = {
        {"status line", endless("HTTP/1.1 200 ", "x", 20ms)},
        {"header fields", endless("HTTP/1.1 200 OK\r\n", "A: b\r\n", 20ms)},
        {"interim answers", endless("", "HTTP/1.1 100 Continue\r\n\r\n", 200ms)},
        {"body", endless("HTTP/1.1 200 OK\r\n\r\n", "x", 20ms)},
        {"body with a length",
         endless("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n", "x", 20ms)},
        {"chunks", endless(ChunkedHead, "1\r\nx\r\n", 20ms)},
        {"chunk extension", endless(ChunkedHead + "1;a=", "x", 20ms)},
        {"trailers", endless(ChunkedHead + "0\r\n", "A: b\r\n", 20ms)},
        {"late answer", endless("HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\n", "x", 20ms)},
    };
    for (const auto &entry : cases) {
        Fixture fixture(entry.answer);
        HttpCall limited = fixture.makeCall();
        limited.totalTimeout = CallTime;
        fixture.checkFails(std::move(limited), Error::TimedOut, entry.name);
    }
}

Test(HttpClientAnswers, ACallWithoutATotalTimeEndsByTheSumOfItsLimits)
{
    Fixture fixture(endless("HTTP/1.1 200 OK\r\n\r\n", "x", 20ms));
    HttpCall limited = fixture.makeCall();
    limited.connectTimeout = limited.headTimeout = limited.silenceTimeout = CallTime / 3;
    fixture.checkFails(std::move(limited), Error::TimedOut, "sum");
}

Test(HttpClientAnswers, ALateAnswerWithoutEndEndsBeforeItsCall)
{
    // A request that waits longer has to be sent elsewhere.
    Fixture fixture(endless("HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\n", "x", 20ms));
    fixture.checkFails(fixture.makeCall(), Error::TimedOut, "late answer");
}

namespace {

std::string answerTo(const std::string &id, const std::string &body)
{
    const std::string echoed = id.empty() ? "" : "X-Id: " + id + "\r\n";
    return "HTTP/1.1 200 OK\r\n" + echoed + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

HttpCall callWithId(const Fixture &fixture, const std::string &id)
{
    HttpCall call = fixture.makeCall();
    call.request.headers.set("X-Id", id);
    call.echoedHeader = {"X-Id", id};
    return call;
}

} // namespace

// Servers sent an answer twice, and the second copy was taken for the answer to the next request on
// the connection. A copy that arrives while the connection is idle makes ConnectionPool::take()
// discard it.
Test(HttpClientAnswers, ACopyOnAnIdleConnectionIsNotTheNextAnswer)
{
    int requests = 0;
    Fixture fixture([&](const std::string &) -> RawAnswer {
        const std::string number = std::to_string(++requests);
        return {.bytes = answerTo(number, number),
                .late = requests == 1 ? answerTo({}, number) : "",
                .lateAfter = 5ms};
    });
    cr_assert_eq(fixture.call(callWithId(fixture, "1"))->body, "1");
    fixture.context.restart();
    fixture.context.run_for(50ms);
    cr_assert_eq(fixture.call(callWithId(fixture, "2"))->body, "2");
    cr_assert_eq(fixture.server.connections(), 2);
}

// The copy arrives after the next request was written. Its id tells it from the answer.
Test(HttpClientAnswers, ACopyBeforeTheNextAnswerIsSkipped)
{
    int requests = 0;
    Fixture fixture([&](const std::string &) -> RawAnswer {
        const std::string number = std::to_string(++requests);
        const std::string copy = requests == 2 ? answerTo("1", "1") : "";
        return {.bytes = copy + answerTo(number, number)};
    });
    for (const char *number : {"1", "2", "3"})
        cr_assert_eq(fixture.call(callWithId(fixture, number))->body, number);
    cr_assert_eq(fixture.server.connections(), 1);
}

// A copy without the id was taken for the next answer, which was then left for the call after it.
Test(HttpClientAnswers, AnAnswerWithoutItsIdOnAReusedConnectionIsNotTrusted)
{
    int requests = 0;
    Fixture fixture([&](const std::string &) -> RawAnswer {
        const std::string number = std::to_string(++requests);
        return {.bytes = (requests == 2 ? answerTo({}, "1") : "") + answerTo(number, number)};
    });
    cr_assert_eq(fixture.call(callWithId(fixture, "1"))->body, "1");
    fixture.checkFails(callWithId(fixture, "2"), Error::Malformed, "without an id");
    cr_assert_eq(fixture.call(callWithId(fixture, "3"))->body, "3");
}

// Copies of answers to calls without an id, and of answers that name none, could not be told from
// the next answer on the connection.
Test(HttpClientAnswers, AConnectionIsNotReusedAfterAnAnswerWithoutAnId)
{
    for (const bool asksForId : {true, false}) {
        int requests = 0;
        Fixture fixture([&](const std::string &) -> RawAnswer {
            ++requests;
            return {.bytes = answerTo(requests == 1 ? "" : "2", std::to_string(requests))};
        });
        HttpCall first = callWithId(fixture, "1");
        if (!asksForId)
            first.echoedHeader = {};
        cr_assert_eq(fixture.call(std::move(first))->body, "1");
        cr_assert_eq(fixture.call(callWithId(fixture, "2"))->body, "2");
        cr_assert_eq(fixture.server.connections(), 2);
    }
}

namespace {

/// Checks that an answer that consists of these parts is refused.
void checkMalformed(std::initializer_list<std::string_view> parts)
{
    const std::string bytes = joined(parts);
    Fixture fixture({.bytes = bytes, .end = AnswerEnd::Finish});
    fixture.checkFails(fixture.makeCall(), Error::Malformed, bytes.c_str());
}

} // namespace

// Blanks, control bytes and other characters that a name must not have, and no name at all.
Test(HttpClientAnswers, AFieldWithAnotherCharacterInItsNameIsRefused)
{
    using namespace std::string_literals;
    for (const std::string &field : {"X Y: v"s,
                                     "X : v"s,
                                     "X\t: v"s,
                                     " X: v"s,
                                     "\tX: v"s,
                                     "X\x01: v"s,
                                     "X\0Y: v"s,
                                     "X\x0bY: v"s,
                                     "X\x1b: v"s,
                                     "X\x7f: v"s,
                                     "X\rY: v"s,
                                     "X\nY: v"s,
                                     "X\xe9: v"s,
                                     "X(: v"s,
                                     "X/Y: v"s,
                                     ": v"s,
                                     "X"s,
                                     "Content Length: 2"s,
                                     "Content-Length : 2"s,
                                     "Content-Length\t: 2"s,
                                     "Content-Length\x01: 2"s,
                                     "\x01"s + "Content-Length: 2"s,
                                     "Transfer-Encoding : chunked"s}) {
        checkMalformed({"HTTP/1.1 200 OK\r\n", field, "\r\nX-Id: mine\r\n\r\nok"});
        checkMalformed({"HTTP/1.1 200 OK\r\n", field, "\r\n", OkFields});
        checkMalformed({"HTTP/1.1 103 Early Hints\r\n", field, "\r\n\r\n", OkAnswer});
        checkMalformed({ChunkedHead, "2\r\nok\r\n0\r\n", field, "\r\n\r\n"});
    }
}

Test(HttpClientAnswers, AFieldWithAControlByteInItsValueIsRefused)
{
    using namespace std::string_literals;
    for (const std::string &field :
         {"X: \x01"s, "X: a\0b"s, "X: a\x0b"s, "X: a\x1b[0m"s, "X: a\x7f"s, "X: a\rY: b"s,
          "X: a\nY: b"s, "Content-Length: 2\x01"s, "Transfer-Encoding: chunked\x0b"s}) {
        checkMalformed({"HTTP/1.1 200 OK\r\n", field, "\r\nX-Id: mine\r\n\r\nok"});
        checkMalformed({"HTTP/1.1 103 Early Hints\r\n", field, "\r\n\r\n", OkAnswer});
        checkMalformed({ChunkedHead, "2\r\nok\r\n0\r\n", field, "\r\n\r\n"});
    }
}

Test(HttpClientAnswers, FieldsWithLessCommonCharactersPassUnchanged)
{
    const std::string fields
        = "X!#$%&'*+-.^_`|~1: a\tb\xe9(c)\r\nX-Empty:\r\nX-Folded: a\r\n b\r\n";
    Fixture fixture({.bytes = "HTTP/1.1 200 OK\r\n" + fields + OkFields});
    const Result<HttpResponse> answer = fixture.call();
    cr_assert(static_cast<bool>(answer));
    cr_assert_eq(answer->body, "ok");
    cr_assert_eq(answer->headers.find("X!#$%&'*+-.^_`|~1"), "a\tb\xe9(c)");
    cr_assert(answer->headers.contains("X-Empty"));
    cr_assert_eq(answer->headers.find("X-Folded"), "a b");
}

Test(HttpClientAnswers, AStatusLineOfAnotherFormIsRefused)
{
    for (const char *line : {"HTTP/1.1 20 OK",    "HTTP/1.1 2000 OK",    "HTTP/1.1 2 0 OK",
                             "HTTP/1.1 0x0 OK",   "HTTP/1.1 -20 OK",     "HTTP/1.1 +20 OK",
                             "HTTP/1.1 20a OK",   "HTTP/1.1 200OK",      "HTTP/1.1  200 OK",
                             "HTTP/1.1\t200 OK",  "HTTP/1.2 200 OK",     "HTTP/2.0 200 OK",
                             "HTTP/0.9 200 OK",   "http/1.1 200 OK",     "HTTP/11 200 OK",
                             " HTTP/1.1 200 OK",  "HTTP/1.1 200 O\x01K", "HTTP/1.1 200 O\x7fK",
                             "HTTP/1.1 200 O\rK", "HTTP/1.1 200 O\nK",   "nonsense"})
        checkMalformed({line, "\r\n", OkFields});
}

Test(HttpClientAnswers, AStatusOutsideTheClassesIsRefused)
{
    for (const std::string status : {"000", "001", "099", "600", "999"}) {
        checkMalformed({"HTTP/1.1 ", status, " Unknown\r\n", OkFields});
        checkMalformed({"HTTP/1.1 ", status, " Unknown\r\n\r\n", OkAnswer});
        checkMalformed(
            {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 ", status, " Unknown\r\n", OkFields});
    }
    for (const unsigned status : {200U, 299U, 418U, 599U}) {
        Fixture fixture(
            {.bytes = joined({"HTTP/1.1 ", std::to_string(status), " Some Reason\r\n", OkFields})});
        const Result<HttpResponse> answer = fixture.call();
        cr_assert(static_cast<bool>(answer));
        cr_assert_eq(answer->status, status);
        cr_assert_eq(answer->body, "ok");
    }
}

// The body was passed on as it came, or without the coding that its head names.
Test(HttpClientAnswers, ABodyInAnotherTransferCodingIsRefused)
{
    const std::string chunks = "2\r\nok\r\n0\r\n\r\n";
    for (const std::string coding :
         {"gzip", "gzip, chunked", "chunked, gzip", "chunked, chunked", "xchunked", "\"chunked\"",
          "identity", "", "gzip\r\nTransfer-Encoding: chunked",
          "chunked\r\nTransfer-Encoding: chunked", "gzip\r\nContent-Length: 2",
          "gzip\r\nContent-Length: 0", "chunked\r\nContent-Length: 2"})
        checkMalformed(
            {"HTTP/1.1 200 OK\r\nX-Id: mine\r\nTransfer-Encoding: ", coding, "\r\n\r\n", chunks});
    for (const std::string coding : {"chunked", "CHUNKED", " chunked\t", "chunked,"}) {
        Fixture fixture({.bytes = joined({"HTTP/1.1 200 OK\r\nTransfer-Encoding: ", coding,
                                          "\r\n\r\n", chunks})});
        const Result<HttpResponse> answer = fixture.call();
        cr_assert(static_cast<bool>(answer), "%s", coding.c_str());
        cr_assert_eq(answer->body, "ok");
    }
    // It would be the coding of a body that is not sent.
    const RawAnswer unmodified{.bytes
                               = "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: gzip\r\n\r\n"};
    Fixture fixture(unmodified);
    cr_assert_eq(fixture.call()->status, 304U);
}

namespace {

constexpr int SmallReceiveBuffer = 4096;
/// More than a socket's send buffer takes.
constexpr std::size_t LongRequestBytes = 24UL * 1024 * 1024;

/// An answer to a long request that the server has not read.
struct EarlyAnswer
{
    Result<std::string> body;
    bool wasWriting = false; ///< The request was still being written when the head came.
};

asio::awaitable<void> readEarlyAnswer(std::shared_ptr<HttpExchange> exchange,
                                      std::optional<EarlyAnswer> &answer)
{
    const std::error_code error = co_await exchange->open();
    // A pending write holds the exchange beside this coroutine and its caller.
    const bool wasWriting = exchange.use_count() > 2;
    Result<std::string> body(error);
    if (!error)
        body = co_await exchange->readAll();
    answer.emplace(EarlyAnswer{std::move(body), wasWriting});
}

EarlyAnswer callWithLongRequest(Fixture &fixture)
{
    HttpCall call = fixture.makeCall();
    call.request.method = "POST";
    call.request.body.assign(LongRequestBytes, 'x');
    const std::shared_ptr<HttpExchange> exchange = fixture.client.exchange(std::move(call));
    std::optional<EarlyAnswer> answer;
    asio::co_spawn(fixture.context, readEarlyAnswer(exchange, answer), asio::detached);
    const TimePoint end = RuntimeClock::now() + TestTime;
    while (!answer && RuntimeClock::now() < end) {
        fixture.context.restart();
        fixture.context.run_one_for(20ms);
    }
    cr_assert(answer.has_value(), "the call did not end");
    return *answer;
}

} // namespace

// Callers got the part of a body that had come before a reset as a whole body: the pending write
// took the error, and the read saw an end of the stream.
Test(HttpClientAnswers, ABodyThatIsResetDuringTheWriteOfTheRequestIsLost)
{
    for (const char *fields : {"", "Connection: close\r\n"}) {
        for (const char *body : {"half", ""}) {
            for (const Duration resetAfter : {Duration(20ms), Duration(200ms), Duration()}) {
                Fixture fixture({.bytes = joined({"HTTP/1.1 200 OK\r\n", fields, "\r\n", body}),
                                 .end = AnswerEnd::Reset,
                                 .early = true,
                                 .resetAfter = resetAfter},
                                SmallReceiveBuffer);
                const EarlyAnswer answer = callWithLongRequest(fixture);
                cr_assert(answer.wasWriting || resetAfter == Duration());
                cr_assert_not(static_cast<bool>(answer.body), "whole: \"%s\"", body);
                cr_assert(answer.body.error() == Error::ConnectionLost);
            }
        }
    }
}

// A server may answer early, end its side of the connection and read on, or not.
Test(HttpClientAnswers, ABodyThatEndsInOrderDuringTheWriteOfTheRequestIsWhole)
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const struct
    {
        std::string bytes;
        AnswerEnd end;
    } cases[] = {
        {head + "\r\nwhole", AnswerEnd::Finish},
        {head + "\r\nwhole", AnswerEnd::FinishAndReset},
        {head + "Content-Length: 5\r\n\r\nwhole", AnswerEnd::KeepOpen},
        {head + "Content-Length: 5\r\n\r\nwhole", AnswerEnd::Finish},
        {head + "Content-Length: 5\r\n\r\nwhole", AnswerEnd::Reset},
        {ChunkedHead + "5\r\nwhole\r\n0\r\n\r\n", AnswerEnd::KeepOpen},
        {ChunkedHead + "5\r\nwhole\r\n0\r\n\r\n", AnswerEnd::Reset},
    };
    for (const auto &entry : cases) {
        Fixture fixture({.bytes = entry.bytes, .end = entry.end, .early = true},
                        SmallReceiveBuffer);
        const EarlyAnswer answer = callWithLongRequest(fixture);
        cr_assert(static_cast<bool>(answer.body), "%s", entry.bytes.c_str());
        cr_assert_eq(*answer.body, "whole");
    }
}
