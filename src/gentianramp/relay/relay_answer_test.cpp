// Answers of backend servers that end or break off in unusual ways, at the relay's callers.

#include "../http/raw_server.hpp"

#include <gentianramp/relay/relay_service.hpp>

#include <map>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <criterion/criterion.h>

using namespace gentianramp;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;

constexpr Duration TestTime = 8s; ///< Bound on a test that would never end.

BackendProtocol makeProtocol()
{
    BackendProtocol names;
    names.requestId = "X-Id";
    names.timeBudget = "X-Budget";
    names.lastEventId = "Last-Event-Id";
    names.signature = "X-Signature";
    names.target = "X-Target";
    names.notRun = "X-Not-Run";
    names.priority = "X-Priority";
    names.prefillOnly = "X-Stage";
    names.prefillValue = "prefill";
    names.kvSource = "X-Take";
    names.reportPath = "/report";
    names.prompt = [](const HttpHeaders &headers) -> std::optional<PromptDescription> {
        if (!headers.contains("X-Prompt"))
            return std::nullopt;
        return PromptDescription{.parts = {{1, 10'000}, {2, 1000}}, .outputTokens = 50};
    };
    names.handle = [](std::string_view body) { return std::string(body); };
    names.freeHandle = [](const std::string &handle) {
        return HttpRequest{.method = "DELETE", .target = "/handle/" + handle};
    };
    return names;
}

/// Value of a field in the head of a request; empty when it is missing.
std::string fieldOf(const std::string &head, const std::string &name)
{
    const std::size_t at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos)
        return {};
    const std::size_t from = at + name.size() + 4;
    return head.substr(from, head.find("\r\n", from) - from);
}

std::string answerHead(const std::string &request, const std::string &fields)
{
    return "HTTP/1.1 200 OK\r\nX-Signature: signed\r\nX-Id: " + fieldOf(request, "X-Id") + "\r\n"
        + fields + "\r\n";
}

/// A relay with backend servers that send raw bytes.
class AnswerFixture
{
public:
    AnswerFixture()
        : m_relay(m_context.get_executor(),
                  {.dataCentre = DataCentreId("a"),
                   .protocol = makeProtocol(),
                   .seed = 1,
                   .declarationAge = [] { return Duration{}; }})
        , m_callers(m_context.get_executor(), {}, m_relay.handler())
        , m_port(m_callers.start().value())
    { }

    ~AnswerFixture()
    {
        m_callers.stop();
        servers.clear();
        m_context.restart();
        m_context.run_for(20ms);
    }

    /// The server answers health checks properly unless @p health is set.
    void addServer(const std::string &id, RawServer::Script answer, bool prefill = false,
                   RawServer::Script health = {})
    {
        const auto script = [this, id, answer = std::move(answer),
                             health = std::move(health)](const std::string &head) {
            const bool check = head.starts_with("GET /health") || head.starts_with("GET /report");
            if (check && health)
                return health(head);
            if (check)
                return RawAnswer{.bytes = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"};
            ++requests[id];
            return answer(head);
        };
        servers[id] = std::make_unique<RawServer>(m_context, script, receiveBufferBytes);
        m_listing.servers.push_back({.id = BackendId(id),
                                     .service = "s",
                                     .host = "127.0.0.1",
                                     .port = servers[id]->port(),
                                     .dataCentre = DataCentreId("a"),
                                     .slots = 8,
                                     .engine = prefill,
                                     .prefillOnly = prefill});
        publishListing();
    }

    /// Lists an engine as one that prefills, or decodes.
    void setPrefillOnly(const std::string &id, bool prefill)
    {
        for (ListedServer &server : m_listing.servers)
            server.prefillOnly = server.id == BackendId(id) ? prefill : server.prefillOnly;
        publishListing();
    }

    void remove(const std::string &id)
    {
        std::erase_if(m_listing.servers,
                      [&](const ListedServer &server) { return server.id == BackendId(id); });
        publishListing();
    }

    void declare(Route route)
    {
        route.name = "r";
        route.host = "host.example";
        route.pathPrefix = "/p/";
        if (route.timeout == Duration{})
            route.timeout = 5s;
        route.shares = {{"s", 1}};
        Declaration declaration;
        declaration.number = 1;
        declaration.routes = {route};
        declaration.services = {{.name = "s", .healthPath = "/health"}};
        m_relay.publish(std::move(declaration));
    }

    /// Sends a request and returns the whole answer, or the error that ended it.
    Result<HttpResponse> call(bool prompt = false, const std::string &body = {})
    {
        HttpCall httpCall;
        httpCall.address = {"127.0.0.1", m_port};
        httpCall.request.method = "POST";
        httpCall.request.target = "/p/x";
        httpCall.request.body = body;
        httpCall.request.headers.set("Host", "host.example");
        httpCall.request.headers.set("X-Id", "id-" + std::to_string(++m_calls));
        if (prompt)
            httpCall.request.headers.set("X-Prompt", "yes");
        httpCall.freshConnection = true;
        std::optional<Result<HttpResponse>> answer;
        asio::co_spawn(
            m_context,
            [&, httpCall = std::move(httpCall)]() mutable -> asio::awaitable<void> {
                answer.emplace(co_await m_client.request(std::move(httpCall)));
            },
            asio::detached);
        cr_assert(runUntil([&] { return answer.has_value(); }), "the call did not end");
        return *answer;
    }

    bool runUntil(const std::function<bool()> &done)
    {
        const TimePoint end = RuntimeClock::now() + TestTime;
        while (!done() && RuntimeClock::now() < end) {
            m_context.restart();
            m_context.run_one_for(20ms);
        }
        return done();
    }

    /// Sends requests until @p id has got one; each must be answered with @p body.
    void checkServed(const std::string &id, const std::string &body, bool prompt = false,
                     const std::string &requestBody = {})
    {
        for (int count = 0; count < 10 && requests[id] == 0; ++count) {
            const Result<HttpResponse> answer = call(prompt, requestBody);
            cr_assert(static_cast<bool>(answer), "%s", answer.error().message().c_str());
            cr_assert_eq(answer->status, 200U, "status %u: %s", answer->status,
                         answer->body.c_str());
            cr_assert_eq(answer->body, body);
        }
        cr_assert_gt(requests[id], 0);
    }

    /// Checks that the relay closes the connections on which the server sends without end.
    void checkClosed(const std::string &id)
    {
        cr_assert(runUntil([&] { return servers[id]->endlessAnswers() == 0; }));
    }

    int receiveBufferBytes = 0; ///< Of the servers that are added next; 0: the kernel's choice.
    std::map<std::string, int> requests; ///< Without health checks.
    std::map<std::string, std::unique_ptr<RawServer>> servers;

private:
    void publishListing()
    {
        m_listing.digest = listingDigest(m_listing.servers);
        m_listing.takenAt = RuntimeClock::now();
        m_relay.publish(m_listing);
    }

    asio::io_context m_context{1};
    HttpClient m_client;
    BackendListing m_listing;
    RelayService m_relay;
    HttpServer m_callers;
    std::uint16_t m_port = 0;
    int m_calls = 0;
};

const std::string StreamType = "Content-Type: text/event-stream\r\n";

/// How a server shows the end of a body.
enum class Framing { Length, Chunks, Connection };

constexpr Framing Framings[] = {Framing::Length, Framing::Chunks, Framing::Connection};

std::string chunk(const std::string &bytes)
{
    char size[20];
    std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    return bytes.empty() ? "" : size + bytes + "\r\n";
}

/// Answers with @p body, complete in @p framing.
RawServer::Script answers(Framing framing, const std::string &fields, const std::string &body)
{
    return [=](const std::string &head) -> RawAnswer {
        switch (framing) {
        case Framing::Length:
            return {.bytes
                    = answerHead(head,
                                 fields + "Content-Length: " + std::to_string(body.size()) + "\r\n")
                        + body};
        case Framing::Chunks:
            return {.bytes = answerHead(head, fields + "Transfer-Encoding: chunked\r\n")
                        + chunk(body) + "0\r\n\r\n"};
        case Framing::Connection:
            break;
        }
        return {.bytes = answerHead(head, fields) + body, .end = AnswerEnd::Finish};
    };
}

/// Answers with @p body without a length and resets the connection.
RawServer::Script resets(const std::string &fields, const std::string &body)
{
    return [=](const std::string &head) -> RawAnswer {
        return {.bytes = answerHead(head, fields) + body, .end = AnswerEnd::Reset};
    };
}

/// Begins an answer with @p begin and sends @p filler without end.
RawServer::Script sendsWithoutEnd(const std::string &fields, const std::string &begin,
                                  const std::string &filler, Duration interval = {})
{
    return [=](const std::string &head) -> RawAnswer {
        return {answerHead(head, fields) + begin, AnswerEnd::Endless, filler, interval};
    };
}

std::string events(int first, int last)
{
    std::string result;
    for (int id = first; id <= last; ++id)
        result += "id: " + std::to_string(id) + "\ndata: " + std::to_string(id) + "\n\n";
    return result;
}

/// Streams the events after the request's Last-Event-Id up to @p last.
RawServer::Script streamsOn(int last)
{
    return [=](const std::string &head) {
        const std::string after = fieldOf(head, "Last-Event-Id");
        const int first = after.empty() ? 1 : std::stoi(after) + 1;
        return answers(Framing::Chunks, StreamType, events(first, last))(head);
    };
}

Route resumableStream()
{
    return {.kind = RouteKind::Stream, .attempts = 2, .resumable = true};
}

Route runOnceStream()
{
    return {.kind = RouteKind::Stream, .attempts = 2};
}

} // namespace

Test(relay_answers, aWholeAnswerMayEndWithItsConnection)
{
    for (const RouteKind kind : {RouteKind::RunOnce, RouteKind::Repeatable}) {
        AnswerFixture fixture;
        fixture.addServer("one", answers(Framing::Connection, {}, "body"));
        fixture.declare({.kind = kind});
        for (int count = 1; count <= 3; ++count) {
            const Result<HttpResponse> answer = fixture.call();
            cr_assert_eq(answer->status, 200U);
            cr_assert_eq(answer->body, "body");
            cr_assert_eq(answer->headers.find("Content-Length"), "4");
            cr_assert_eq(fixture.servers["one"]->connections(), count);
        }
    }
}

Test(relay_answers, aWholeAnswerThatIsResetIsNotComplete)
{
    AnswerFixture once;
    once.addServer("resets", resets({}, "half"));
    once.declare({.kind = RouteKind::RunOnce});
    const Result<HttpResponse> failure = once.call();
    cr_assert_eq(failure->status, 502U);
    cr_assert_not(failure->headers.contains("X-Signature"));
    AnswerFixture again;
    again.addServer("resets", resets({}, "half"));
    again.addServer("other", answers(Framing::Length, {}, "body"));
    again.declare({.kind = RouteKind::Repeatable, .attempts = 2});
    again.checkServed("resets", "body");
}

Test(relay_answers, aStreamMayEndInEveryFraming)
{
    for (const Framing framing : Framings) {
        AnswerFixture fixture;
        fixture.addServer("one", answers(framing, StreamType, events(1, 4)));
        fixture.declare(runOnceStream());
        for (int count = 0; count < 2; ++count) {
            const Result<HttpResponse> answer = fixture.call();
            cr_assert(static_cast<bool>(answer));
            cr_assert_eq(answer->body, events(1, 4));
            cr_assert_eq(answer->headers.find("Transfer-Encoding"), "chunked");
        }
    }
}

Test(relay_answers, aStreamThatEndsInsideAnEventIsBrokenOff)
{
    for (const Framing framing : Framings) {
        for (const char *part : {"id: 5", "id: 5\n", "id: 5\ndata: 5\n", "version: 2\n", "\r"}) {
            const auto breaksOff = answers(framing, StreamType, events(1, 4) + part);
            AnswerFixture resumed;
            resumed.addServer("breaks-off", breaksOff);
            resumed.addServer("other", streamsOn(9));
            resumed.declare(resumableStream());
            resumed.checkServed("breaks-off", events(1, 9));
            AnswerFixture cut;
            cut.addServer("breaks-off", breaksOff);
            cut.declare(runOnceStream());
            cr_assert_not(static_cast<bool>(cut.call()), "complete after: %s", part);
            cr_assert_eq(cut.requests["breaks-off"], 1);
        }
    }
}

Test(relay_answers, aStreamThatIsResetBetweenEventsIsBrokenOff)
{
    AnswerFixture resumed;
    resumed.addServer("resets", resets(StreamType, events(1, 4)));
    resumed.addServer("other", streamsOn(9));
    resumed.declare(resumableStream());
    resumed.checkServed("resets", events(1, 9));
    AnswerFixture cut;
    cut.addServer("resets", resets(StreamType, events(1, 4)));
    cut.declare(runOnceStream());
    cr_assert_not(static_cast<bool>(cut.call()));
}

// A stream that was complete was cut, or sent again, because of a line after its last event.
Test(relay_answers, linesBetweenEventsAndAfterTheLastOnePassUnchanged)
{
    for (const Framing framing : Framings) {
        for (const char *rest : {"\n", "\r\n", ": end\n", ": end\r\n", ":\n\n: end\n"}) {
            const std::string body = ": begin\n\n" + events(1, 2) + "\n" + events(3, 4) + rest;
            AnswerFixture fixture;
            fixture.addServer("one", answers(framing, StreamType, body));
            fixture.declare(runOnceStream());
            const Result<HttpResponse> answer = fixture.call();
            cr_assert(static_cast<bool>(answer), "cut after: %s", rest);
            cr_assert_eq(answer->body, body);
        }
    }
}

Test(relay_answers, aStreamWithoutLengthAndEventsIsBrokenOff)
{
    for (const char *bytes : {"", "\n", ": begin\n\n"}) {
        AnswerFixture resumed;
        resumed.addServer("empty", answers(Framing::Connection, StreamType, bytes));
        resumed.addServer("other", streamsOn(3));
        resumed.declare(resumableStream());
        for (int count = 0; count < 10 && resumed.requests["empty"] == 0; ++count) {
            const Result<HttpResponse> answer = resumed.call();
            cr_assert(static_cast<bool>(answer));
            cr_assert_eq(answer->body, (resumed.requests["empty"] > 0 ? bytes : "") + events(1, 3));
        }
        cr_assert_gt(resumed.requests["empty"], 0);
        AnswerFixture once;
        once.addServer("empty", answers(Framing::Connection, StreamType, bytes));
        once.declare(runOnceStream());
        const Result<HttpResponse> failure = once.call();
        cr_assert(!failure || failure->status == 502U);
    }
}

// Callers got bytes that are no events as part of a stream.
Test(relay_answers, bytesThatAreNoEventsAreNotPassedOn)
{
    for (const std::string garbage : {"\x01\x02\x03\n\n", "HTTP/1.1 500 Oops\n\n",
                                      "{\"error\": 1}\n\n", "id: 5\nnonsense!\n\n"}) {
        AnswerFixture fixture;
        fixture.addServer("garbles", answers(Framing::Chunks, StreamType, events(1, 4) + garbage));
        fixture.addServer("other", streamsOn(9));
        fixture.declare(resumableStream());
        fixture.checkServed("garbles", events(1, 9));
    }
}

Test(relay_answers, answersWithoutEndAreReplaced)
{
    const std::string block(64 * 1024, 'x');
    const std::string head = "Transfer-Encoding: chunked\r\n";
    for (const auto &endless :
         {sendsWithoutEnd({}, {}, block), sendsWithoutEnd("A: b\r\nC", {}, block),
          sendsWithoutEnd(head, "1;a=", block), sendsWithoutEnd(head, "0\r\n", "A: b\r\n")}) {
        AnswerFixture fixture;
        fixture.addServer("endless", endless);
        fixture.addServer("other", answers(Framing::Length, {}, "body"));
        fixture.declare({.kind = RouteKind::Repeatable, .attempts = 2});
        fixture.checkServed("endless", "body");
        fixture.checkClosed("endless");
    }
}

// Memory of a process is limited: an answer without end may not fill it.
Test(relay_answers, aWholeAnswerIsBounded)
{
    AnswerFixture fixture;
    fixture.addServer("endless", sendsWithoutEnd({}, {}, std::string(64 * 1024, 'x')));
    fixture.declare({.kind = RouteKind::RunOnce});
    cr_assert_eq(fixture.call()->status, 502U);
    fixture.checkClosed("endless");
    cr_assert_leq(fixture.servers["endless"]->fillerBytes(), 32U * 1024 * 1024);
}

Test(relay_answers, streamsOfBytesWithoutEndAreReplaced)
{
    const std::string block(64 * 1024, 'x');
    for (const auto &endless : {sendsWithoutEnd(StreamType, events(1, 4), block),
                                sendsWithoutEnd(StreamType, events(1, 4) + "id: 5\ndata: ", block),
                                sendsWithoutEnd(StreamType, events(1, 4), block + "\n\n")}) {
        AnswerFixture fixture;
        fixture.addServer("endless", endless);
        fixture.addServer("other", streamsOn(9));
        fixture.declare(resumableStream());
        fixture.checkServed("endless", events(1, 9));
        fixture.checkClosed("endless");
    }
}

Test(relay_answers, aPrefillsAnswerWithoutEndIsGivenUp)
{
    // Fast bytes, and slow ones, each of which comes in time.
    for (const bool slow : {false, true}) {
        AnswerFixture fixture;
        fixture.addServer("reader",
                          slow ? sendsWithoutEnd({}, {}, "x", 50ms)
                               : sendsWithoutEnd({}, {}, std::string(64 * 1024, 'x')),
                          true);
        fixture.addServer("decoder", streamsOn(3));
        fixture.declare({.kind = RouteKind::Stream, .attempts = 2, .carriesPrompt = true});
        fixture.checkServed("reader", events(1, 3), true);
        fixture.checkClosed("reader");
    }
}

Test(relay_answers, aPrefillsAnswerMayEndWithItsConnection)
{
    AnswerFixture fixture;
    fixture.addServer("reader", answers(Framing::Connection, {}, "handle7"), true);
    fixture.addServer("decoder", [](const std::string &head) {
        cr_assert(fieldOf(head, "X-Take").ends_with("/handle7"));
        return streamsOn(3)(head);
    });
    fixture.declare({.kind = RouteKind::Stream, .carriesPrompt = true});
    fixture.checkServed("reader", events(1, 3), true);
}

// The check ended never, so that the server was taken for sound and was not checked again.
Test(relay_answers, aHealthCheckWithoutEndFails)
{
    for (const Duration interval : {Duration{}, Duration(50ms)}) {
        int checks = 0;
        AnswerFixture fixture;
        fixture.addServer(
            "silent", [](const std::string &) { return RawAnswer{}; }, // Falls silent.
            false,
            [&](const std::string &) -> RawAnswer {
                ++checks;
                return {"HTTP/1.1 200 OK\r\n\r\n", AnswerEnd::Endless,
                        interval == Duration{} ? std::string(64 * 1024, 'x') : "x", interval};
            });
        fixture.declare({.kind = RouteKind::Repeatable, .attempts = 2});
        fixture.addServer("other", answers(Framing::Length, {}, "body"));
        fixture.checkServed("silent", "body");
        cr_assert(fixture.runUntil([&] { return checks >= 3; }), "%d checks", checks);
    }
}

// A second copy of the first answer carries the id of the request that is sent again, so that only
// another connection tells it from the second answer.
Test(relay_answers, aCopyOfTheFirstAnswerIsNotTheAnswerToTheSecondSend)
{
    AnswerFixture fixture;
    int firstConnection = 0;
    fixture.addServer("one", [&](const std::string &head) -> RawAnswer {
        const std::string failure = "HTTP/1.1 500 Failure\r\nX-Id: " + fieldOf(head, "X-Id")
            + "\r\nContent-Length: 0\r\n\r\n";
        const int connection = fixture.servers["one"]->lastConnection();
        if (firstConnection == 0) {
            firstConnection = connection;
            return {.bytes = failure};
        }
        return {.bytes = (connection == firstConnection ? failure : "")
                    + answers(Framing::Length, {}, "body")(head).bytes};
    });
    fixture.declare({.kind = RouteKind::Repeatable, .attempts = 2});
    const Result<HttpResponse> answer = fixture.call();
    cr_assert_eq(answer->status, 200U);
    cr_assert_eq(answer->body, "body");
    cr_assert_eq(fixture.requests["one"], 2);
}

// An engine may get the prefill of a request and the request itself. A copy of the answer to the
// prefill reached the caller as a success.
Test(relay_answers, aCopyOfThePrefillsAnswerIsNotTheRequestsAnswer)
{
    AnswerFixture fixture;
    int prefillConnection = 0;
    std::string prefillAnswer;
    fixture.addServer(
        "reader",
        [&](const std::string &head) -> RawAnswer {
            const int connection = fixture.servers["reader"]->lastConnection();
            if (fieldOf(head, "X-Stage") == "prefill") {
                // The engine is listed as one that decodes when the prompt is prefilled.
                fixture.setPrefillOnly("reader", false);
                fixture.remove("decoder");
                prefillConnection = connection;
                prefillAnswer = answers(Framing::Length, {}, "handle7")(head).bytes;
                return {.bytes = prefillAnswer};
            }
            return {.bytes = (connection == prefillConnection ? prefillAnswer : "")
                        + streamsOn(3)(head).bytes};
        },
        true);
    fixture.addServer("decoder", streamsOn(3));
    fixture.declare(
        {.kind = RouteKind::Stream, .attempts = 2, .carriesPrompt = true, .resumable = true});
    const Result<HttpResponse> answer = fixture.call(true);
    cr_assert_eq(answer->status, 200U);
    cr_assert_eq(answer->body, events(1, 3));
    cr_assert_eq(fixture.requests["reader"], 2);
}

// Requests that free handles have no id: a copy of their answers was taken for the handle of the
// next prompt.
Test(relay_answers, anAnswerToAFreedHandleIsNotTheNextPrefillsAnswer)
{
    AnswerFixture fixture;
    std::map<int, std::string> copies; // By connection.
    int freed = 0;
    fixture.addServer(
        "reader",
        [&](const std::string &head) -> RawAnswer {
            std::string &copy = copies[fixture.servers["reader"]->lastConnection()];
            if (head.starts_with("DELETE")) {
                ++freed;
                copy = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfreed";
                return {.bytes = copy};
            }
            return {.bytes = copy + answers(Framing::Length, {}, "handle7")(head).bytes};
        },
        true);
    bool rejects = true;
    fixture.addServer("decoder", [&](const std::string &head) -> RawAnswer {
        if (std::exchange(rejects, false))
            return {.bytes = "HTTP/1.1 421 Other\r\nX-Id: " + fieldOf(head, "X-Id")
                        + "\r\nContent-Length: 0\r\n\r\n"};
        cr_assert(fieldOf(head, "X-Take").ends_with("/handle7"), "%s", head.c_str());
        return streamsOn(3)(head);
    });
    fixture.declare(
        {.kind = RouteKind::Stream, .attempts = 1, .carriesPrompt = true, .resumable = true});
    cr_assert_eq(fixture.call(true)->status, 503U);
    cr_assert(fixture.runUntil([&] { return freed == 1; }));
    fixture.addServer("other", [&](const std::string &head) -> RawAnswer {
        cr_assert(fieldOf(head, "X-Take").ends_with("/handle7"), "%s", head.c_str());
        return streamsOn(3)(head);
    });
    fixture.checkServed("other", events(1, 3), true);
}

// Bytes that come now and then kept a stalled stream alive. RelayedRequest::startDeadline() ends it
// with the time of its route, whatever arrives.
Test(relay_answers, aStalledStreamThatSendsBytesEndsWithItsRoutesTime)
{
    for (const char *filler : {": still here\n\n", ":", "x", "\n"}) {
        for (const Route &kind : {resumableStream(), runOnceStream()}) {
            const std::string begun = *filler == 'x' ? "id: 5\ndata: " : "";
            AnswerFixture fixture;
            fixture.addServer("stalls",
                              sendsWithoutEnd(StreamType, events(1, 4) + begun, filler, 100ms));
            Route route = kind;
            route.timeout = 700ms;
            fixture.declare(route);
            const Result<HttpResponse> answer = fixture.call();
            cr_assert_not(static_cast<bool>(answer), "complete with: %s", filler);
            fixture.checkClosed("stalls");
        }
    }
}

Test(relay_answers, aStalledAnswerThatSendsBytesEndsWithItsRoutesTime)
{
    const std::string length = "Content-Length: 100000\r\n";
    for (const RouteKind kind : {RouteKind::RunOnce, RouteKind::Repeatable}) {
        for (const std::string &fields : {length, std::string()}) {
            AnswerFixture fixture;
            fixture.addServer("stalls", sendsWithoutEnd(fields, {}, "x", 100ms));
            fixture.declare({.kind = kind, .timeout = 700ms});
            cr_assert_eq(fixture.call()->status, 504U);
            fixture.checkClosed("stalls");
        }
    }
}

// Callers sent requests again that had run, since the server, or what stands before it, answered
// with a status that promises that they had not.
Test(relay_answers, aRefusalThatDoesNotSayThatTheRequestDidNotRunIsNoPromise)
{
    for (const char *status : {"408 Timeout", "429 Many", "503 Full"}) {
        const std::string line = std::string("HTTP/1.1 ") + status + "\r\n";
        for (const Route &route : {Route{.kind = RouteKind::RunOnce, .attempts = 2},
                                   Route{.kind = RouteKind::Stream, .attempts = 2}}) {
            AnswerFixture fixture;
            for (const char *id : {"one", "two"})
                fixture.addServer(id, [=](const std::string &head) -> RawAnswer {
                    return {.bytes = line + "X-Id: " + fieldOf(head, "X-Id")
                                + "\r\nContent-Length: 0\r\n\r\n"};
                });
            fixture.declare(route);
            const Result<HttpResponse> answer = fixture.call();
            cr_assert_eq(answer->status, 502U, "%u after %s", answer->status, status);
            cr_assert_eq(fixture.requests["one"] + fixture.requests["two"], 1);
        }
    }
}

// The server may have run the request before it ended the connection, also if it answered nothing
// or sent a part of an answer. RelayedRequest::mayRepeat() sends it to no other server then.
Test(relay_answers, aRunOnceRequestIsNotSentAgainAfterAnyPartOfItsAnswerWasLost)
{
    const std::string whole = "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 4\r\n\r\nfull";
    for (const AnswerEnd end : {AnswerEnd::Finish, AnswerEnd::Reset}) {
        for (const std::size_t size : {std::size_t(0), std::size_t(12), whole.find("Content")}) {
            AnswerFixture fixture;
            for (const char *id : {"one", "two"})
                fixture.addServer(id, [=](const std::string &) -> RawAnswer {
                    return {.bytes = whole.substr(0, size), .end = end};
                });
            fixture.declare({.kind = RouteKind::RunOnce, .attempts = 2});
            cr_assert_eq(fixture.call()->status, 502U);
            cr_assert_eq(fixture.requests["one"] + fixture.requests["two"], 1);
        }
    }
}

namespace {

/// Begins an answer with @p body in @p framing and ends the connection before the answer's end.
RawServer::Script breaksOff(Framing framing, const std::string &fields, const std::string &body,
                            AnswerEnd end)
{
    return [=](const std::string &head) -> RawAnswer {
        if (framing == Framing::Chunks)
            return {.bytes
                    = answerHead(head, fields + "Transfer-Encoding: chunked\r\n") + chunk(body),
                    .end = end};
        const std::string length = std::to_string(body.size() + 1);
        return {.bytes = answerHead(head, fields + "Content-Length: " + length + "\r\n") + body,
                .end = end};
    };
}

} // namespace

// The length of an answer, or its last chunk, shows that it broke off, however the connection
// ended. An answer without either is complete when its connection ends in order: nothing tells it
// from one that broke off (see aWholeAnswerMayEndWithItsConnection).
Test(relay_answers, aWholeAnswerThatBreaksOffIsNoSuccess)
{
    for (const Framing framing : {Framing::Length, Framing::Chunks}) {
        for (const AnswerEnd end : {AnswerEnd::Finish, AnswerEnd::Reset}) {
            AnswerFixture once;
            once.addServer("breaks-off", breaksOff(framing, {}, "half", end));
            once.declare({.kind = RouteKind::RunOnce});
            const Result<HttpResponse> failure = once.call();
            cr_assert_eq(failure->status, 502U);
            cr_assert_not(failure->headers.contains("X-Signature"));
            cr_assert_eq(failure->body.find("half"), std::string::npos);
            AnswerFixture again;
            again.addServer("breaks-off", breaksOff(framing, {}, "half", end));
            again.addServer("other", answers(Framing::Length, {}, "body"));
            again.declare({.kind = RouteKind::Repeatable, .attempts = 2});
            again.checkServed("breaks-off", "body");
        }
    }
}

// Between two events only the missing end of the answer shows that the stream broke off.
Test(relay_answers, aStreamThatBreaksOffBetweenEventsIsNotComplete)
{
    for (const Framing framing : {Framing::Length, Framing::Chunks}) {
        for (const AnswerEnd end : {AnswerEnd::Finish, AnswerEnd::Reset}) {
            const auto broken = breaksOff(framing, StreamType, events(1, 4), end);
            AnswerFixture resumed;
            resumed.addServer("breaks-off", broken);
            resumed.addServer("other", streamsOn(9));
            resumed.declare(resumableStream());
            resumed.checkServed("breaks-off", events(1, 9));
            AnswerFixture cut;
            cut.addServer("breaks-off", broken);
            cut.declare(runOnceStream());
            cr_assert_not(static_cast<bool>(cut.call()));
            cr_assert_eq(cut.requests["breaks-off"], 1);
        }
    }
}

// Half of a handle names another prompt, or none.
Test(relay_answers, aPrefillsAnswerThatBreaksOffIsNotUsed)
{
    for (const Framing framing : {Framing::Length, Framing::Chunks}) {
        AnswerFixture fixture;
        fixture.addServer("reader", breaksOff(framing, {}, "hand", AnswerEnd::Finish), true);
        fixture.addServer("decoder", [](const std::string &head) {
            cr_assert(fieldOf(head, "X-Take").empty(), "%s", head.c_str());
            return streamsOn(3)(head);
        });
        fixture.declare({.kind = RouteKind::Stream, .attempts = 2, .carriesPrompt = true});
        fixture.checkServed("reader", events(1, 3), true);
    }
}

namespace {

constexpr RouteKind RouteKinds[] = {RouteKind::RunOnce, RouteKind::Repeatable, RouteKind::Stream};

/// Answers with these bytes, in which "ID" stands for the request's id.
RawServer::Script answersWith(const std::string &bytes)
{
    return [=](const std::string &head) -> RawAnswer {
        std::string answer = bytes;
        answer.replace(answer.find("ID"), 2, fieldOf(head, "X-Id"));
        return {.bytes = answer, .end = AnswerEnd::Finish};
    };
}

/// Checks that callers get nothing of an answer that consists of these parts: 502, or the answer of
/// another server if the request may be sent again.
void checkNotPassedOn(std::initializer_list<std::string_view> parts)
{
    const std::string bytes = joined(parts);
    for (const RouteKind kind : RouteKinds) {
        AnswerFixture once;
        once.addServer("broken", answersWith(bytes));
        once.declare({.kind = kind});
        const Result<HttpResponse> failure = once.call();
        cr_assert(static_cast<bool>(failure), "no answer after: %s", bytes.c_str());
        cr_assert_eq(failure->status, 502U, "%u after: %s", failure->status, bytes.c_str());
        cr_assert_not(failure->headers.contains("X-Signature"));
        cr_assert_eq(failure->body.find("half"), std::string::npos);
    }
    AnswerFixture again;
    again.addServer("broken", answersWith(bytes));
    again.addServer("other", answers(Framing::Length, {}, "body"));
    again.declare({.kind = RouteKind::Repeatable, .attempts = 2});
    again.checkServed("broken", "body");
}

const std::string SignedFields = "X-Signature: signed\r\nX-Id: ID\r\nContent-Length: 4\r\n";

} // namespace

// The parser of the HTTP client refuses such names.
Test(relay_answers, aHeadWithABlankOrAControlByteInANameIsNotPassedOn)
{
    for (const std::string field :
         {"X Y: v", "X : v", "X\t: v", "X\x01: v", ": v", "Content-Length : 4"}) {
        checkNotPassedOn({"HTTP/1.1 200 OK\r\n", field, "\r\n", SignedFields, "\r\nhalf"});
        checkNotPassedOn({"HTTP/1.1 200 OK\r\n", SignedFields, StreamType, field, "\r\n\r\nhalf"});
        checkNotPassedOn({"HTTP/1.1 103 Early Hints\r\n", field, "\r\n\r\nHTTP/1.1 200 OK\r\n",
                          SignedFields, "\r\nhalf"});
    }
}

// Callers got answers with status 0, 1 or 99, which no caller can tell from a success or a failure.
Test(relay_answers, aStatusOutsideTheClassesIsNotPassedOn)
{
    for (const std::string status : {"000", "001", "099", "600", "999"}) {
        const std::string line = joined({"HTTP/1.1 ", status, " Unknown\r\n"});
        checkNotPassedOn({line, SignedFields, "\r\nhalf"});
        checkNotPassedOn({line, SignedFields, StreamType, "\r\nhalf"});
        checkNotPassedOn({line, "\r\nHTTP/1.1 200 OK\r\n", SignedFields, "\r\nhalf"});
        // Not a promise either.
        checkNotPassedOn({line, "X-Not-Run: 1\r\n", SignedFields, "\r\nhalf"});
    }
}

// Callers got chunks, or bytes in a coding that they were not told of, as a server's answer.
Test(relay_answers, aBodyInAnotherTransferCodingIsNotPassedOn)
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Signature: signed\r\nX-Id: ID\r\n";
    for (const std::string coding : {"gzip", "gzip, chunked", "chunked, gzip"}) {
        const std::string fields = joined({"Transfer-Encoding: ", coding, "\r\n"});
        checkNotPassedOn({head, fields, "\r\n", chunk("half"), "0\r\n\r\n"});
        checkNotPassedOn({head, StreamType, fields, "\r\n", chunk(events(1, 4)), "0\r\n\r\n"});
    }
}

// A check whose answer is broken does not show that the server is sound.
Test(relay_answers, aHealthCheckWithABrokenAnswerFails)
{
    int checks = 0;
    AnswerFixture fixture;
    fixture.addServer(
        "silent", [](const std::string &) { return RawAnswer{}; }, // Falls silent.
        false,
        [&](const std::string &) -> RawAnswer {
            ++checks;
            return {.bytes = "HTTP/1.1 000 Unknown\r\nContent-Length: 2\r\n\r\n{}"};
        });
    fixture.declare({.kind = RouteKind::Repeatable, .attempts = 2});
    fixture.addServer("other", answers(Framing::Length, {}, "body"));
    fixture.checkServed("silent", "body");
    cr_assert(fixture.runUntil([&] { return checks >= 3; }), "%d checks", checks);
}

namespace {

constexpr int SmallReceiveBuffer = 4096;
/// More than a socket's send buffer takes, and less than the relay's limit.
const std::string LongBody(7UL * 1024 * 1024, 'x');

/// Answers a long request before it is read, in the way of @p answer.
RawServer::Script early(const RawServer::Script &answer)
{
    return [=](const std::string &head) {
        RawAnswer early = answer(head);
        early.early = true;
        return early;
    };
}

void addEarlyServer(AnswerFixture &fixture, const RawServer::Script &answer, bool prefill = false)
{
    fixture.receiveBufferBytes = SmallReceiveBuffer;
    fixture.addServer("early", early(answer), prefill);
    fixture.receiveBufferBytes = 0;
}

} // namespace

// Callers got the part of an answer that had come before a reset as a complete answer. A reset is
// reported once, to the write of the request or to the read of the answer; here to the write.
Test(relay_answers, anAnswerThatIsResetDuringItsRequestIsNotComplete)
{
    AnswerFixture once;
    addEarlyServer(once, resets({}, "half"));
    once.declare({.kind = RouteKind::RunOnce});
    const Result<HttpResponse> failure = once.call(false, LongBody);
    cr_assert(static_cast<bool>(failure));
    cr_assert_eq(failure->status, 502U, "%u: %s", failure->status, failure->body.c_str());
    cr_assert_not(failure->headers.contains("X-Signature"));
    AnswerFixture again;
    addEarlyServer(again, resets({}, "half"));
    again.addServer("other", answers(Framing::Length, {}, "body"));
    again.declare({.kind = RouteKind::Repeatable, .attempts = 2});
    again.checkServed("early", "body", false, LongBody);
}

Test(relay_answers, aStreamThatIsResetDuringItsRequestIsBrokenOff)
{
    AnswerFixture resumed;
    addEarlyServer(resumed, resets(StreamType, events(1, 4)));
    resumed.addServer("other", streamsOn(9));
    resumed.declare(resumableStream());
    resumed.checkServed("early", events(1, 9), false, LongBody);
    AnswerFixture cut;
    addEarlyServer(cut, resets(StreamType, events(1, 4)));
    cut.declare(runOnceStream());
    cr_assert_not(static_cast<bool>(cut.call(false, LongBody)));
}

Test(relay_answers, aPrefillsAnswerThatIsResetDuringItsRequestIsNotUsed)
{
    AnswerFixture fixture;
    addEarlyServer(fixture, resets({}, "hand"), true);
    fixture.addServer("decoder", [](const std::string &head) {
        cr_assert(fieldOf(head, "X-Take").empty(), "%s", head.c_str());
        return streamsOn(3)(head);
    });
    fixture.declare({.kind = RouteKind::Stream, .attempts = 2, .carriesPrompt = true});
    fixture.checkServed("early", events(1, 3), true, LongBody);
}

// A server may answer before it has read the request, and read on.
Test(relay_answers, anEarlyAnswerThatEndsInOrderIsComplete)
{
    for (const Framing framing : Framings) {
        AnswerFixture whole;
        addEarlyServer(whole, answers(framing, {}, "body"));
        whole.declare({.kind = RouteKind::RunOnce});
        whole.checkServed("early", "body", false, LongBody);
        AnswerFixture stream;
        addEarlyServer(stream, answers(framing, StreamType, events(1, 4)));
        stream.declare(runOnceStream());
        stream.checkServed("early", events(1, 4), false, LongBody);
    }
}
