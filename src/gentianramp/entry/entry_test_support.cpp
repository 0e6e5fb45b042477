#include "entry_test_support.hpp"

#include <gentianramp/core/digest.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_future.hpp>
#include <cstdlib>
#include <future>
#include <gentianramp/core/invariant.hpp>
#include <gentianramp/http/sse.hpp>
#include <optional>

namespace gentianramp {

namespace asio = boost::asio;

namespace {

constexpr const char *Key = "secret";
constexpr Duration CallTimeout = std::chrono::seconds(20);

const DataCentreId Site("north");

asio::awaitable<std::optional<Result<HttpResponse>>> callOnce(HttpClient &client, HttpCall call)
{
    co_return co_await client.request(std::move(call));
}

DeclaredConfiguration declaredServices(const EngineServiceOptions &options)
{
    DeclaredConfiguration configuration;
    configuration.sites = {Site};
    configuration.priorityClasses = {{"urgent", 0, 0}, {"normal", 1, 0}};
    configuration.models = {{.id = ModelId("m"), .version = "1"}};
    ServiceDeclaration modelService{.id = ServiceId("desk"), .model = ModelId("m")};
    modelService.priorityClass = "normal";
    modelService.idempotent = options.idempotent;
    modelService.timeout = std::chrono::seconds(15);
    modelService.firstTokenTarget = std::chrono::milliseconds(300);
    modelService.tokenTarget = std::chrono::milliseconds(20);
    ServiceDeclaration plainService{.id = ServiceId("bay"), .kind = ServiceKind::Plain};
    plainService.pathPrefix = "/bay";
    plainService.priorityClass = "urgent";
    plainService.idempotent = false;
    plainService.idempotentPaths = {"/bay/lookup"};
    plainService.timeout = std::chrono::seconds(3);
    configuration.services = {modelService, plainService};
    configuration.customers = {{.id = CustomerId("customer"), .keySha256 = {sha256Hex({Key})}}};
    return configuration;
}

FakeBackendOptions fakeOptions(unsigned number, bool engine, double streamTokensPerSecond = 100)
{
    FakeBackendOptions options;
    options.id = BackendId((engine ? "engine-" : "service-") + std::to_string(number));
    options.kind = engine ? ServiceKind::Model : ServiceKind::Plain;
    options.model = engine ? "m" : "";
    options.engine.prefillTokensPerSecond = 1e5;
    options.engine.decodeTokensPerSecond = 1e4;
    options.engine.streamTokensPerSecond = streamTokensPerSecond;
    options.serviceTime = std::chrono::milliseconds(5);
    return options;
}

} // namespace

EntryFixture::EntryFixture(unsigned engines, unsigned services, EngineServiceOptions options)
    : m_configuration(declaredServices(options))
{
    for (unsigned number = 0; number < engines; ++number)
        addBackend(fakeOptions(number, true, options.streamTokensPerSecond), "desk");
    for (unsigned number = 0; number < services; ++number)
        addBackend(fakeOptions(number, false), "bay");
    setInvariantHook([](std::string_view, std::string_view) { std::abort(); });
    m_thread.start([] {});
    EntryOptions entryOptions;
    entryOptions.settings.instance = InstanceId("entry-1");
    entryOptions.settings.dataCentre = Site;
    entryOptions.configuration = m_configuration;
    entryOptions.incarnation = Incarnation(1);
    entryOptions.firstStart = true;
    m_service = std::make_unique<EntryService>(std::move(entryOptions));
    m_port = m_service->start().value();
}

EntryFixture::~EntryFixture()
{
    m_service.reset();
    std::promise<void> stopped;
    asio::post(m_thread.executor(), [&] {
        for (const auto &backend : m_backends)
            backend->stop();
        stopped.set_value();
    });
    stopped.get_future().wait();
    m_thread.stop();
}

void EntryFixture::addBackend(FakeBackendOptions options, const std::string &service)
{
    BackendDeclaration declared;
    declared.id = options.id;
    declared.site = Site;
    declared.service = ServiceId(service);
    declared.host = "127.0.0.1";
    m_backends.push_back(std::make_unique<FakeBackend>(m_thread.executor(), std::move(options)));
    declared.port = m_backends.back()->start().value();
    m_ports.push_back(declared.port);
    m_configuration.backends.push_back(std::move(declared));
}

Result<HttpResponse> EntryFixture::send(std::uint16_t port, HttpRequest request)
{
    HttpCall call;
    call.address = {"127.0.0.1", port};
    call.request = std::move(request);
    call.headTimeout = CallTimeout;
    call.silenceTimeout = CallTimeout;
    return asio::co_spawn(m_thread.executor(), callOnce(m_client, std::move(call)),
                          asio::use_future)
        .get()
        .value();
}

Result<HttpResponse> EntryFixture::call(const std::string &target, const std::string &body,
                                        HttpHeaders headers)
{
    headers.add("Authorization", std::string("Bearer ") + Key);
    return send(m_port, {"POST", target, std::move(headers), body});
}

Result<HttpResponse> EntryFixture::stream(unsigned tokens, HttpHeaders headers)
{
    const nlohmann::json body{
        {"model", "m"}, {"prompt", "a b"}, {"max_tokens", tokens}, {"stream", true}};
    return call("/v1/completions", body.dump(), std::move(headers));
}

nlohmann::json EntryFixture::callBackend(std::size_t backend, const std::string &target,
                                         const nlohmann::json &body)
{
    HttpRequest request;
    request.method = body.is_null() ? "GET" : "POST";
    request.target = target;
    request.body = body.is_null() ? "" : body.dump();
    const Result<HttpResponse> response = send(m_ports[backend], std::move(request));
    return response ? nlohmann::json::parse(response->body) : nlohmann::json();
}

void EntryFixture::fault(std::size_t backend, const std::string &kind, unsigned count)
{
    callBackend(backend, "/engine/fault", {{"kind", kind}, {"count", count}});
}

std::size_t EntryFixture::runs()
{
    std::size_t total = 0;
    for (std::size_t backend = 0; backend < m_backends.size(); ++backend)
        total += callBackend(backend, "/engine/runs").size();
    return total;
}

std::string expectedStream(const std::string &request, unsigned tokens, unsigned skipped)
{
    std::string text;
    for (unsigned offset = skipped + 1; offset <= tokens; ++offset)
        text += "t" + std::to_string(offset) + "-" + request + " ";
    return text + "[DONE]";
}

std::string streamText(const std::string &body)
{
    SseParser parser;
    parser.feed(body);
    std::string text;
    while (const auto event = parser.next()) {
        if (event->data == "[DONE]") {
            text += event->data;
            continue;
        }
        const auto data = nlohmann::json::parse(event->data);
        text += data.contains("choices") ? data["choices"][0]["text"].get<std::string>()
                                         : event->data;
    }
    return text;
}

} // namespace gentianramp
