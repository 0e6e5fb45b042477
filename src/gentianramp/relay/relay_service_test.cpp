#include <gentianramp/relay/relay_service.hpp>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <map>

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

namespace asio = boost::asio;

using Handler = std::function<asio::awaitable<void>(HttpRequest, ResponseWriter &)>;

BackendProtocol protocol()
{
    BackendProtocol names;
    names.requestId = "X-Id";
    names.timeBudget = "X-Budget";
    names.lastEventId = "Last-Event-Id";
    names.signature = "X-Signature";
    names.target = "X-Target";
    names.notRun = "X-Not-Run";
    names.priority = "X-Priority";
    names.load = "X-Load";
    names.fetchFrom = "X-Fetch";
    names.prefillOnly = "X-Stage";
    names.prefillValue = "prefill";
    names.takeFrom = "X-Take";
    names.own = {"X-Budget", "X-Target", "X-Stage", "X-Take"};
    names.reportPath = "/report";
    names.prompt = [](const HttpHeaders &headers) -> std::optional<PromptShape> {
        if (!headers.contains("X-Prompt"))
            return std::nullopt;
        return PromptShape{.parts = {{1, 10'000}, {2, 1000}}, .outputTokens = 50};
    };
    names.handle = [](std::string_view body) { return std::string(body); };
    names.freeHandle = [](const std::string &handle) {
        return HttpRequest{.method = "DELETE", .target = "/handle/" + handle};
    };
    return names;
}

/// A relay with scripted backend servers on loopback.
class Site
{
public:
    Site()
        : relay(m_context.get_executor(),
                {.dataCentre = DataCentreId("a"), .protocol = protocol(), .seed = 1})
    {
        m_front
            = std::make_unique<HttpServer>(m_context.get_executor(), options(), relay.handler());
        m_port = m_front->start().value();
    }

    ~Site()
    {
        m_front->stop();
        for (auto &[id, server] : m_servers)
            server->stop();
        m_context.run_for(std::chrono::milliseconds(20));
    }

    void addServer(const std::string &id, Handler handler, bool prefill = false,
                   const std::string &service = "s")
    {
        auto server = std::make_unique<HttpServer>(
            m_context.get_executor(), options(),
            [this, id, handler = std::move(handler)](HttpRequest request, ResponseWriter &writer) {
                seen.push_back({id, request});
                return handler(std::move(request), writer);
            });
        const std::uint16_t port = server->start().value();
        m_servers.emplace(id, std::move(server));
        m_listing.servers.push_back({.id = BackendId(id),
                                     .service = service,
                                     .host = "127.0.0.1",
                                     .port = port,
                                     .dataCentre = DataCentreId("a"),
                                     .slots = 8,
                                     .engine = prefill,
                                     .prefillOnly = prefill});
        m_listing.digest = listingDigest(m_listing.servers);
        relay.publish(m_listing);
    }

    void declare(Route route)
    {
        route.name = "r";
        route.host = "host.example";
        route.pathPrefix = "/p/";
        if (route.timeout == Duration{})
            route.timeout = std::chrono::seconds(5);
        route.shares = {{"s", 1}};
        Declaration declaration;
        declaration.number = 1;
        declaration.routes = {route};
        declaration.services = {{.name = "s", .healthPath = "/health"}};
        relay.publish(std::move(declaration));
    }

    /// Sends a request and returns the whole answer, or the error that cut it.
    Result<HttpResponse> call(HttpRequest request)
    {
        HttpCall made;
        made.address = {"127.0.0.1", m_port};
        request.headers.set("Host", "host.example");
        if (request.target == "/")
            request.target = "/p/x?q=1";
        if (!request.headers.contains("X-Id"))
            request.headers.set("X-Id", "id-" + std::to_string(++m_calls));
        made.request = std::move(request);
        made.freshConnection = true;
        std::optional<Result<HttpResponse>> answer;
        asio::co_spawn(
            m_context,
            [&, made = std::move(made)]() mutable -> asio::awaitable<void> {
                answer.emplace(co_await m_client.request(std::move(made)));
            },
            asio::detached);
        while (!answer)
            m_context.run_one();
        return *answer;
    }

    /// The platform lists the server as one that leaves.
    void drain(const std::string &id)
    {
        for (ListedServer &server : m_listing.servers)
            server.draining = server.draining || server.id == BackendId(id);
        m_listing.digest = listingDigest(m_listing.servers);
        relay.publish(m_listing);
    }

    int runsAt(const std::string &id) const
    {
        return static_cast<int>(std::count_if(seen.begin(), seen.end(), [&](const auto &entry) {
            return entry.first == id && entry.second.path().starts_with("/p/");
        }));
    }

    std::vector<std::pair<std::string, HttpRequest>> seen;

private:
    static HttpServerOptions options() { return {}; }

    asio::io_context m_context{1};
    HttpClient m_client;
    std::map<std::string, std::unique_ptr<HttpServer>> m_servers;
    BackendListing m_listing;
    std::unique_ptr<HttpServer> m_front;
    std::uint16_t m_port = 0;
    int m_calls = 0;

public:
    RelayService relay;
};

HttpResponse signedAnswer(const HttpRequest &request, unsigned status = 200,
                          std::string body = "body")
{
    HttpResponse response;
    response.status = status;
    response.headers.add("X-Signature", "signed");
    response.headers.add("X-Id", std::string(request.headers.find("X-Id")));
    response.body = std::move(body);
    return response;
}

Handler answers(unsigned status, bool notRun = false)
{
    return [=](HttpRequest request, ResponseWriter &writer) -> asio::awaitable<void> {
        HttpResponse response = signedAnswer(request, status);
        if (notRun)
            response.headers.add("X-Not-Run", "1");
        co_await writer.send(std::move(response));
    };
}

/// Takes the request and closes the connection without an answer.
Handler breaksOff()
{
    return [](HttpRequest, ResponseWriter &) -> asio::awaitable<void> { co_return; };
}

/// Streams the events after the one that the request names up to @p last; cut when not @p whole.
Handler streams(int first, int last, bool whole)
{
    return [=](HttpRequest request, ResponseWriter &writer) -> asio::awaitable<void> {
        HttpResponse head = signedAnswer(request);
        head.headers.add("Content-Type", "text/event-stream");
        const std::string_view after = request.headers.find("Last-Event-Id");
        const int start = after.empty() ? first : std::stoi(std::string(after)) + 1;
        co_await writer.startStream(std::move(head));
        for (int id = start; id <= last; ++id) {
            const std::string event
                = "id: " + std::to_string(id) + "\ndata: " + std::to_string(id) + "\n\n";
            co_await writer.writePiece(event);
        }
        if (whole)
            co_await writer.finishStream();
        else
            co_await writer.writePiece("id: 99\nda"); // Stops in the middle of an event.
    };
}

/// Succeeds without a signature.
Handler answersUnsigned()
{
    return [](HttpRequest, ResponseWriter &writer) -> asio::awaitable<void> {
        HttpResponse response;
        response.body = "not from the service";
        co_await writer.send(std::move(response));
    };
}

/// What an engine that reads prompts was asked.
struct ReaderCalls
{
    int reads = 0;
    int freed = 0; ///< Prompts that nobody took.
};

Handler readsPrompts(ReaderCalls &calls)
{
    return [&calls](HttpRequest request, ResponseWriter &writer) -> asio::awaitable<void> {
        const bool frees = request.method == "DELETE";
        cr_assert(frees || request.headers.find("X-Stage") == "prefill");
        ++(frees ? calls.freed : calls.reads);
        co_await writer.send(signedAnswer(request, 200, "handle7"));
    };
}

/// Reads a prompt; meanwhile the engine that was to run it begins to leave, and another one comes.
Handler readsWhileTheRunnerLeaves(Site &site)
{
    return [&site](HttpRequest request, ResponseWriter &writer) -> asio::awaitable<void> {
        if (site.runsAt("reader") == 1) {
            site.addServer("successor", streams(1, 3, true));
            site.drain("runner");
        }
        co_await writer.send(signedAnswer(request, 200, "handle7"));
    };
}

/// The process has to end while it works on the request.
Handler outlastsTheProcess(Site &site)
{
    return [&site](HttpRequest request, ResponseWriter &writer) -> asio::awaitable<void> {
        site.relay.expireAll();
        for (int step = 0; step < 100 && !writer.callerGone(); ++step)
            co_await sleepFor(std::chrono::milliseconds(5));
        co_await writer.send(signedAnswer(request));
    };
}

Handler neverAnswers()
{
    return [](HttpRequest, ResponseWriter &writer) -> asio::awaitable<void> {
        while (!writer.callerGone())
            co_await sleepFor(std::chrono::milliseconds(5));
    };
}

std::string eventsUpTo(int last)
{
    std::string events;
    for (int id = 1; id <= last; ++id)
        events += "id: " + std::to_string(id) + "\ndata: " + std::to_string(id) + "\n\n";
    return events;
}

} // namespace

Test(relay_service, answersOfBackendServersPassUnchanged)
{
    Site site;
    site.addServer("one", answers(200));
    site.declare({.kind = RouteKind::RunOnce});
    HttpRequest request;
    request.method = "POST";
    request.body = "question";
    request.headers.add("X-Target", "chosen by the caller");
    request.headers.add("X-Own", "kept");
    request.headers.add("X-Hop", "dropped");
    request.headers.add("Connection", "x-hop");
    const Result<HttpResponse> answer = site.call(request);
    cr_assert_eq(answer->status, 200U);
    cr_assert_eq(answer->body, "body");
    cr_assert_eq(answer->headers.find("X-Signature"), "signed");
    const HttpRequest &got = site.seen.front().second;
    cr_assert_eq(got.method, "POST");
    cr_assert_eq(got.target, "/p/x?q=1");
    cr_assert_eq(got.body, "question");
    cr_assert_eq(got.headers.find("Host"), "host.example");
    cr_assert_eq(got.headers.find("X-Target"), "one");
    cr_assert_eq(got.headers.find("X-Own"), "kept");
    cr_assert_not(got.headers.contains("X-Hop"));
}

Test(relay_service, unknownRoutesAndMissingDeclarationsDiffer)
{
    Site site;
    cr_assert_eq(site.call({})->status, 503U);
    site.addServer("one", answers(200));
    cr_assert_eq(site.call({})->status, 503U);
    site.declare({.kind = RouteKind::RunOnce});
    cr_assert_eq(site.call({.target = "/elsewhere"})->status, 404U);
    cr_assert_eq(site.call({})->status, 200U);
}

Test(relay_service, whatMayRunOnceIsNotSentAgain)
{
    Site site;
    site.addServer("one", breaksOff());
    site.addServer("two", breaksOff());
    site.declare({.kind = RouteKind::RunOnce, .attempts = 3});
    const Result<HttpResponse> answer = site.call({.method = "POST"});
    // No promise that it did not run.
    cr_assert_eq(answer->status, 502U);
    cr_assert_not(answer->headers.contains("X-Signature"));
    cr_assert_eq(site.runsAt("one") + site.runsAt("two"), 1);
}

Test(relay_service, aRefusalThatDidNotRunIsTold)
{
    Site site;
    site.addServer("one", answers(503, true));
    site.declare({.kind = RouteKind::RunOnce, .attempts = 1});
    const Result<HttpResponse> answer = site.call({.method = "POST"});
    cr_assert_eq(answer->status, 503U);
    cr_assert(answer->headers.contains("Retry-After"));
    cr_assert_not(answer->headers.contains("X-Signature"));
    cr_assert_eq(site.runsAt("one"), 1);
}

Test(relay_service, repeatableCallsGoToAnotherServer)
{
    Site site;
    site.addServer("bad", breaksOff());
    site.addServer("good", answers(200));
    site.declare({.kind = RouteKind::Repeatable, .attempts = 2});
    for (int count = 0; count < 6; ++count)
        cr_assert_eq(site.call({})->status, 200U);
}

Test(relay_service, noMoreServersThanDeclared)
{
    Site site;
    for (const char *id : {"one", "two", "three"})
        site.addServer(id, answers(500));
    site.declare({.kind = RouteKind::Repeatable, .attempts = 2});
    const Result<HttpResponse> answer = site.call({});
    // The failure of a backend server passes as it is.
    cr_assert_eq(answer->status, 500U);
    cr_assert_eq(answer->headers.find("X-Signature"), "signed");
    cr_assert_eq(site.runsAt("one") + site.runsAt("two") + site.runsAt("three"), 2);
}

Test(relay_service, anUnsignedSuccessIsNoAnswer)
{
    Site site;
    site.addServer("one", answersUnsigned());
    site.declare({.kind = RouteKind::RunOnce});
    cr_assert_eq(site.call({.method = "POST"})->status, 502U);
}

Test(relay_service, aBrokenStreamGoesOnAtAnotherServer)
{
    Site site;
    site.addServer("cuts", streams(1, 4, false));
    site.declare({.kind = RouteKind::Stream, .attempts = 2, .resumable = true});
    site.addServer("goes-on", streams(1, 9, true));
    for (int count = 0; count < 6; ++count) {
        const Result<HttpResponse> answer = site.call({.method = "POST"});
        cr_assert(answer);
        cr_assert_eq(answer->body, eventsUpTo(9));
    }
}

Test(relay_service, aStreamThatMayNotGoOnIsCutVisibly)
{
    Site site;
    site.addServer("cuts", streams(1, 4, false));
    site.declare({.kind = RouteKind::Stream, .attempts = 2});
    const Result<HttpResponse> answer = site.call({.method = "POST"});
    cr_assert_not(answer); // The answer ends without its last chunk.
    cr_assert_eq(site.runsAt("cuts"), 1);
}

Test(relay_service, promptsAreReadApartAndTaken)
{
    Site site;
    ReaderCalls calls;
    site.addServer("reader", readsPrompts(calls), true);
    site.addServer("runner", streams(1, 3, true));
    site.declare({.kind = RouteKind::Stream, .carriesPrompt = true});
    HttpRequest request{.method = "POST"};
    request.headers.add("X-Prompt", "yes");
    request.headers.add("X-Take", "10.0.0.1:1/stolen");
    const Result<HttpResponse> answer = site.call(request);
    cr_assert_eq(answer->body, eventsUpTo(3));
    cr_assert_eq(site.seen.size(), 2U);
    const std::string taken(site.seen.back().second.headers.find("X-Take"));
    cr_assert(taken.ends_with("/handle7"));
    cr_assert_not(site.seen.back().second.headers.contains("X-Stage"));
}

Test(relay_service, aMisdirectedRunKeepsTheReadPrompt)
{
    // The list shows an engine as decoding that was ordered to read meanwhile.
    Site site;
    ReaderCalls calls;
    site.addServer("reader", readsPrompts(calls), true);
    site.addServer("changed", answers(421));
    site.declare(
        {.kind = RouteKind::Stream, .attempts = 2, .carriesPrompt = true, .resumable = true});
    HttpRequest request{.method = "POST"};
    request.headers.add("X-Prompt", "yes");
    cr_assert_eq(site.call(request)->status, 503U);
    site.addServer("runner", streams(1, 3, true));
    for (int count = 0; count < 4; ++count)
        cr_assert_eq(site.call(request)->body, eventsUpTo(3));
    cr_assert_eq(calls.reads, 5);
    cr_assert_eq(calls.freed, 1);
}

Test(relay_service, whatEnginesAreFarBehindForIsRefusedAtOnce)
{
    // Load pattern of an outage: the only reading engine has minutes of prompts waiting.
    Site site;
    ReaderCalls calls;
    site.addServer("reader", readsPrompts(calls), true);
    site.addServer("runner", streams(1, 3, true));
    site.declare(
        {.kind = RouteKind::Stream, .timeout = std::chrono::seconds(2), .carriesPrompt = true});
    site.relay.publish(LoadReports{
        RuntimeClock::now(), {{.engine = BackendId("reader"), .waiting = 2000, .running = 64}}});
    HttpRequest request{.method = "POST"};
    request.headers.add("X-Prompt", "yes");
    const Result<HttpResponse> answer = site.call(request);
    cr_assert_eq(answer->status, 503U);
    cr_assert(answer->headers.contains("Retry-After"));
    cr_assert_eq(calls.reads, 0);
    cr_assert_eq(site.runsAt("runner"), 0);
}

Test(relay_service, aLeavingInstanceRefusesWhatMayOutlastIt)
{
    Site site;
    site.addServer("one", answers(200));
    site.declare({.kind = RouteKind::RunOnce, .timeout = std::chrono::seconds(5)});
    site.relay.setEnd(RuntimeClock::now() + std::chrono::seconds(2));
    HttpRequest longRequest{.method = "POST"};
    longRequest.headers.add("X-Budget", "4000");
    cr_assert_eq(site.call(longRequest)->status, 503U);
    HttpRequest shortRequest{.method = "POST"};
    shortRequest.headers.add("X-Budget", "1000");
    cr_assert_eq(site.call(shortRequest)->status, 200U);
    cr_assert_eq(site.runsAt("one"), 1);
}

Test(relay_service, theRoutesTimeoutEndsARequest)
{
    Site site;
    site.addServer("never", neverAnswers());
    site.declare({.kind = RouteKind::RunOnce, .timeout = std::chrono::milliseconds(80)});
    HttpRequest request{.method = "POST"};
    request.headers.add("X-Budget", "60000");
    cr_assert_eq(site.call(request)->status, 504U);
    const std::string budget(site.seen.front().second.headers.find("X-Budget"));
    cr_assert_leq(std::stoi(budget), 80);
}

Test(relay_service, anEngineThatLeavesWhileThePromptIsReadDoesNotRunIt)
{
    // Reading took 2.4 s behind others; the runner was listed as leaving 3.2 s before it was asked.
    Site site;
    site.addServer("reader", readsWhileTheRunnerLeaves(site), true);
    site.addServer("runner", streams(1, 3, true));
    site.declare({.kind = RouteKind::Stream, .carriesPrompt = true});
    HttpRequest request{.method = "POST"};
    request.headers.add("X-Prompt", "yes");
    cr_assert_eq(site.call(request)->body, eventsUpTo(3));
    cr_assert_eq(site.runsAt("runner"), 0);
    cr_assert_eq(site.runsAt("successor"), 1);
    cr_assert_eq(site.runsAt("reader"), 1);
}

Test(relay_service, whatIsStillOpenWhenTheProcessHasToEndIsAnswered)
{
    // A server went silent while the instance left; the caller's connection was cut without a word.
    Site site;
    site.addServer("b", outlastsTheProcess(site));
    site.declare({.kind = RouteKind::RunOnce});
    const Result<HttpResponse> answer = site.call({.method = "POST"});
    cr_assert(static_cast<bool>(answer), "%s", answer.error().message().c_str());
    cr_assert_eq(answer->status, 504U);
}
