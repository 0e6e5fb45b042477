#pragma once

#include <gentianramp/relay/relay_service.hpp>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <map>

namespace gentianramp::test {

namespace asio = boost::asio;

using Handler = std::function<asio::awaitable<void>(HttpRequest, ResponseWriter &)>;

/// Number of the part of a prompt that crashes servers.
constexpr std::uint64_t DeadlyPart = 0xdead;

inline BackendProtocol makeProtocol(const std::function<void(BackendProtocol &)> &change = {})
{
    BackendProtocol names;
    names.requestId = "X-Id";
    names.timeBudget = "X-Budget";
    names.lastEventId = "Last-Event-Id";
    names.resumes = "X-Resumes";
    names.signature = "X-Signature";
    names.target = "X-Target";
    names.notRun = "X-Not-Run";
    names.priority = "X-Priority";
    names.authorization = "Authorization";
    names.customer = "X-Customer";
    names.load = "X-Load";
    names.leaving = "X-Leaving";
    names.leavingValue = "1";
    names.limit = "X-Limit";
    names.prefixSource = "X-Fetch";
    names.prefillOnly = "X-Stage";
    names.prefillValue = "prefill";
    names.kvSource = "X-Take";
    names.strippedHeaders = {"X-Budget", "X-Target", "X-Stage", "X-Take", "X-Customer"};
    names.reportPath = "/report";
    names.prompt = [](const HttpHeaders &headers) -> std::optional<PromptDescription> {
        if (!headers.contains("X-Prompt"))
            return std::nullopt;
        // The number names the part that belongs to the request alone.
        const std::uint64_t own
            = std::strtoull(std::string(headers.find("X-Prompt")).c_str(), nullptr, 10);
        PromptDescription prompt{.parts = {{1, 10'000}}, .outputTokens = 50};
        if (headers.contains("X-Middle-Part"))
            prompt.parts.push_back({DeadlyPart, 100});
        prompt.parts.push_back({2 + own, 1000});
        return prompt;
    };
    names.parseLimit = [](std::string_view text) -> Result<double> {
        if (text.empty() || text.find_first_not_of("0123456789.") != std::string_view::npos)
            return Result<double>(std::make_error_code(std::errc::invalid_argument));
        return std::stod(std::string(text));
    };
    names.handle = [](std::string_view body) { return std::string(body); };
    names.freeHandle = [](const std::string &handle) {
        return HttpRequest{.method = "DELETE", .target = "/handle/" + handle};
    };
    if (change)
        change(names);
    return names;
}

/// A relay with scripted backend servers on loopback.
class RelayFixture
{
public:
    explicit RelayFixture(RetryBounds retries = {},
                          const std::function<void(BackendProtocol &)> &changeProtocol = {},
                          PeerHooks peers = {})
        : relay(m_context.get_executor(),
                {.dataCentre = DataCentreId("a"),
                 .protocol = makeProtocol(changeProtocol),
                 .retries = retries,
                 .seed = 1,
                 .declarationAge = [this] { return declarationAge; },
                 .instance = InstanceId("entry"),
                 .crashes = crashes,
                 .peers = std::move(peers)})
    {
        m_callerServer
            = std::make_unique<HttpServer>(m_context.get_executor(), options(), relay.handler());
        m_port = m_callerServer->start().value();
    }

    ~RelayFixture()
    {
        m_callerServer->stop();
        for (auto &[id, server] : m_servers)
            server->stop();
        m_context.run_for(std::chrono::milliseconds(20));
    }

    void addServer(const std::string &id, Handler handler, bool prefill = false,
                   const std::string &service = "s", const std::string &version = {})
    {
        auto server = std::make_unique<HttpServer>(
            m_context.get_executor(), options(),
            [this, id, handler = std::move(handler)](HttpRequest request, ResponseWriter &writer) {
                receivedRequests.push_back({id, request});
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
                                     .prefillOnly = prefill,
                                     .softwareVersion = version});
        publishListing();
    }

    void declare(Route route, const std::vector<ServiceShare> &shares = {{"s", 1}})
    {
        route.name = "r";
        route.host = "host.example";
        route.pathPrefix = "/p/";
        if (route.timeout == Duration{})
            route.timeout = std::chrono::seconds(5);
        route.shares = shares;
        Declaration declaration;
        declaration.number = 1;
        declaration.routes = {route};
        declaration.services = {{.name = "s", .healthPath = "/health"}};
        declaration.customers = customers;
        relay.publish(std::move(declaration));
    }

    /// Sends a request and returns the whole answer, or the error that ended it.
    Result<HttpResponse> call(HttpRequest request)
    {
        HttpCall httpCall;
        httpCall.address = {"127.0.0.1", m_port};
        request.headers.set("Host", "host.example");
        if (request.target == "/")
            request.target = "/p/x?q=1";
        if (!request.headers.contains("X-Id"))
            request.headers.set("X-Id", "id-" + std::to_string(++m_calls));
        httpCall.request = std::move(request);
        httpCall.freshConnection = true;
        std::optional<Result<HttpResponse>> answer;
        asio::co_spawn(
            m_context,
            [&, httpCall = std::move(httpCall)]() mutable -> asio::awaitable<void> {
                answer.emplace(co_await m_client.request(std::move(httpCall)));
            },
            asio::detached);
        while (!answer)
            m_context.run_one();
        return *answer;
    }

    /// Ends the server as in a crash: its connections break and nothing listens at its address.
    void crash(const std::string &id) { m_servers.at(id)->stop(); }

    void wait(Duration time) { m_context.run_for(time); }

    /// Publishes a listing in which the server has restarted under its id.
    void restart(const std::string &id)
    {
        for (ListedServer &server : m_listing.servers)
            server.startedAtMs += server.id == BackendId(id) ? 1 : 0;
        m_listing.digest = listingDigest(m_listing.servers);
        relay.publish(m_listing);
    }

    /// Publishes a listing without the server.
    void remove(const std::string &id)
    {
        std::erase_if(m_listing.servers,
                      [&](const ListedServer &server) { return server.id == BackendId(id); });
        publishListing();
    }

    /// Publishes a listing in which the server is draining.
    void drain(const std::string &id)
    {
        for (ListedServer &server : m_listing.servers)
            server.draining = server.draining || server.id == BackendId(id);
        publishListing();
    }

    /// The relay loses all servers: they are listed at an address where nothing listens.
    void cutOff()
    {
        BackendListing unreachable = m_listing;
        for (ListedServer &server : unreachable.servers)
            server.port = 1;
        unreachable.digest = listingDigest(unreachable.servers);
        relay.publish(unreachable);
    }

    asio::io_context &context() { return m_context; }
    /// Where callers connect to.
    HttpAddress callerAddress() const { return {"127.0.0.1", m_port}; }
    const BackendListing &listing() const { return m_listing; }

    int requestsAt(const std::string &id) const
    {
        return static_cast<int>(
            std::count_if(receivedRequests.begin(), receivedRequests.end(), [&](const auto &entry) {
                return entry.first == id && entry.second.path().starts_with("/p/");
            }));
    }

    std::shared_ptr<CrashEvidence> crashes = std::make_shared<CrashEvidence>();
    std::vector<std::pair<std::string, HttpRequest>> receivedRequests;
    std::optional<Duration> declarationAge = Duration{};
    std::optional<std::vector<Customer>> customers; ///< Of the next declaration.

private:
    static HttpServerOptions options() { return {}; }

    void publishListing()
    {
        m_listing.digest = listingDigest(m_listing.servers);
        m_listing.takenAt = RuntimeClock::now();
        relay.publish(m_listing);
    }

    asio::io_context m_context{1};
    HttpClient m_client;
    std::map<std::string, std::unique_ptr<HttpServer>> m_servers;
    BackendListing m_listing;
    std::unique_ptr<HttpServer> m_callerServer;
    std::uint16_t m_port = 0;
    int m_calls = 0;

public:
    RelayService relay;
};

inline HttpResponse signedAnswer(const HttpRequest &request, unsigned status = 200,
                                 std::string body = "body")
{
    HttpResponse response;
    response.status = status;
    response.headers.add("X-Signature", "signed");
    response.headers.add("X-Id", std::string(request.headers.find("X-Id")));
    response.body = std::move(body);
    return response;
}

/// Streams the events after the request's Last-Event-Id, or from @p first, up to @p last. Without
/// @p whole the stream breaks off within an event.
inline Handler streams(int first, int last, bool whole)
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

} // namespace gentianramp::test
