#include "backend_context.hpp"
#include "completion_service.hpp"
#include "names.hpp"
#include "plain_service.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gentianramp/http/server.hpp>

namespace gentianramp {

namespace {

namespace asio = boost::asio;
using nlohmann::json;

constexpr std::uint32_t AllRequests = UINT32_MAX;

std::string hexOf(PrefixHash hash)
{
    std::ostringstream out;
    out << std::hex << hash;
    return out.str();
}

std::uint64_t queryNumber(std::string_view target, std::string_view name)
{
    const std::string field = std::string(name) + '=';
    const std::size_t at = target.find(field);
    if (at == std::string_view::npos)
        return 0;
    return std::strtoull(std::string(target.substr(at + field.size())).c_str(), nullptr, 10);
}

} // namespace

struct FakeBackend::State : std::enable_shared_from_this<State>
{
    State(asio::any_io_executor executor, FakeBackendOptions options)
        : context(std::make_shared<BackendContext>(std::move(executor), std::move(options)))
        , completions(context)
        , orders(context->options.checksFencing, [this](const EngineOrder &order) { apply(order); })
    { }

    asio::awaitable<void> handle(HttpRequest request, ResponseWriter &writer)
    {
        const std::string path(request.path());
        if (path.starts_with("/engine/"))
            co_await handleControl(path, request, writer);
        else if (context->options.kind == ServiceKind::Plain)
            co_await answerPlain(context, request, writer);
        else if (path == "/v1/completions" || path == "/v1/chat/completions")
            co_await completions.answer(request, writer);
        else
            co_await writer.send(notRun(404, "no such path"));
        // An engine that fails closes its connections.
        if (!writer.started())
            writer.closeWithoutResponse();
    }

    asio::awaitable<void> handleControl(const std::string &path, const HttpRequest &request,
                                        ResponseWriter &writer)
    {
        const json body = json::parse(request.body, nullptr, false);
        if (path == "/engine/state")
            co_await writer.send(jsonResponse(200, stateJson()));
        else if (path == "/engine/load")
            co_await writer.send(jsonResponse(200, loadJson()));
        else if (path == "/engine/runs")
            co_await writer.send(jsonResponse(200, context->runs.toJson()));
        else if (path == "/engine/orders")
            co_await writer.send(jsonResponse(200, orders.toJson()));
        else if (path == "/engine/cache-events")
            co_await writer.send(
                jsonResponse(200, cacheJson(queryNumber(request.target, "after"))));
        else if (!body.is_object())
            co_await writer.send(notRun(400, "body is not a JSON object"));
        else
            co_await writer.send(controlAnswer(path, body));
    }

    HttpResponse controlAnswer(const std::string &path, const json &body)
    {
        try {
            if (path == "/engine/order")
                return orderAnswer(body);
            if (path == "/engine/cancel") {
                context->host->cancel({RequestId(body.at("request_id").get<std::string>()),
                                       Attempt(body.value("attempt", 1U))});
                return jsonResponse(200, json::object());
            }
            if (path == "/engine/kv/export")
                return jsonResponse(200, {{"kv_handle", body.at("kv_handle")}});
            if (path == "/engine/kv/import") {
                context->importedKv.insert(body.at("kv_handle").get<std::string>());
                return jsonResponse(200, json::object());
            }
            if (path == "/engine/fault")
                return faultAnswer(body);
        } catch (const json::exception &problem) {
            return notRun(400, problem.what());
        }
        return notRun(404, "no such path");
    }

    HttpResponse orderAnswer(const json &body)
    {
        EngineOrder order;
        order.fencing = FencingNumber(body.at("fencing").get<std::uint64_t>());
        order.id = body.at("order_id").get<std::string>();
        order.kind = body.at("kind").get<std::string>();
        order.role = body.value("role", std::string());
        order.model = body.value("model", std::string());
        order.adapter = body.value("adapter", std::string());
        order.version = body.value("version", std::string());
        const OrderAnswer answer = orders.take(order, RuntimeClock::now());
        return jsonResponse(answer.accepted ? 200 : 409, {{"fencing", answer.fencing.value()}});
    }

    HttpResponse faultAnswer(const json &body)
    {
        const auto kind = parseFaultKind(body.at("kind").get<std::string>());
        if (!kind)
            return notRun(400, "unknown fault");
        if (*kind == FaultKind::Leave)
            context->host->model().setLeaving(RuntimeClock::now());
        else
            context->faults.set(*kind, body.value("count", AllRequests));
        if (*kind == FaultKind::Blackhole)
            ++context->blackholeRound;
        return jsonResponse(200, json::object());
    }

    void apply(const EngineOrder &order)
    {
        const TimePoint now = RuntimeClock::now();
        if (order.kind == "set_role")
            context->host->model().setRole(parseRole(order.role), now);
        else if (order.kind == "drain" || order.kind == "undrain")
            context->host->model().setDraining(order.kind == "drain", now);
        else if (order.kind == "unload")
            context->versions.erase(order.model);
        else if (order.kind == "load")
            asio::co_spawn(context->executor, load(order), asio::detached);
    }

    asio::awaitable<void> load(EngineOrder order)
    {
        const auto self = shared_from_this();
        context->loading = true;
        co_await sleepFor(context->options.loadTime);
        context->loading = false;
        if (!order.model.empty())
            context->versions[order.model] = order.version;
        if (!order.adapter.empty())
            context->adapters.insert(order.adapter);
    }

    bool orderRunning() const
    {
        return context->loading || context->host->model().phase() == BackendPhase::Changing;
    }

    json stateJson()
    {
        json state{{"backend", context->options.id.value()},
                   {"model", context->options.model},
                   {"versions", context->versions},
                   {"adapters", context->adapters},
                   {"role",
                    context->options.kind == ServiceKind::Plain
                        ? "service"
                        : roleName(context->host->model().role())},
                   {"phase", phaseName(context->host->model().phase())},
                   {"running", context->host->model().outstanding() + context->plainRunning},
                   {"fencing", orders.highest().value()},
                   {"checks_fencing", orders.checksFencing()}};
        if (const EngineOrder *last = orders.last())
            state["order"] = {{"id", last->id},
                              {"kind", last->kind},
                              {"phase", orderRunning() ? "running" : "done"}};
        return state;
    }

    json loadJson()
    {
        const TimePoint now = RuntimeClock::now();
        const LoadReport report = context->host->model().loadReport(now);
        const bool known = report.takenAt != TimePoint{};
        return {{"age_ms", known ? toMilliseconds(now - report.takenAt) : 0},
                {"running", report.running + context->plainRunning},
                {"queued", report.queued},
                {"queued_prompt_tokens", report.promptTokens},
                {"outstanding_tokens", report.outputTokens},
                {"kv_tokens", report.kvTokens},
                {"kv_capacity_tokens", report.kvCapacityTokens}};
    }

    json cacheJson(std::uint64_t after)
    {
        const CacheEvents published
            = context->host->model().cacheEvents(after, RuntimeClock::now());
        json events = json::array();
        std::uint64_t next = after;
        for (const CacheEvent &event : published.events) {
            events.push_back({{"seq", event.sequence},
                              {"kind", event.stored ? "stored" : "evicted"},
                              {"prefix", hexOf(event.prefix)},
                              {"tokens", event.tokens}});
            next = event.sequence;
        }
        return {{"next", next}, {"restarted", published.restarted}, {"events", events}};
    }

    std::shared_ptr<BackendContext> context;
    CompletionService completions;
    OrderBook orders;
    std::unique_ptr<HttpServer> server;
};

FakeBackend::FakeBackend(asio::any_io_executor executor, FakeBackendOptions options)
    : m_state(std::make_shared<State>(std::move(executor), std::move(options)))
{ }

FakeBackend::~FakeBackend()
{
    stop();
}

Result<std::uint16_t> FakeBackend::start()
{
    HttpServerOptions options;
    options.host = m_state->context->options.host;
    options.port = m_state->context->options.port;
    options.connectionExecutor = [executor = m_state->context->executor] { return executor; };
    m_state->server = std::make_unique<HttpServer>(
        m_state->context->executor, options,
        [state = m_state.get()](HttpRequest request, ResponseWriter &writer) {
            return state->handle(std::move(request), writer);
        });
    asio::co_spawn(m_state->context->executor, m_state->context->host->run(), asio::detached);
    return m_state->server->start();
}

void FakeBackend::stop()
{
    m_state->context->host->stop();
    if (m_state->server)
        m_state->server->stop();
}

} // namespace gentianramp
