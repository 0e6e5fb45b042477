#include "completion_request.hpp"
#include "engine_host.hpp"
#include "fault_switch.hpp"
#include "order_book.hpp"
#include "run_record.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gentianramp/fakes/fake_backend.hpp>
#include <gentianramp/http/server.hpp>
#include <gentianramp/http/sse.hpp>
#include <set>

namespace gentianramp {

namespace {

namespace asio = boost::asio;
using nlohmann::json;

constexpr Duration StreamPollInterval = std::chrono::seconds(1);
constexpr Duration HangTime = std::chrono::hours(1);
constexpr int SlowFactor = 20;
constexpr std::uint32_t AllRequests = UINT32_MAX;

HttpResponse jsonResponse(unsigned status, const json &body)
{
    HttpResponse response;
    response.status = status;
    response.headers.add("Content-Type", "application/json");
    response.body = body.dump();
    return response;
}

HttpResponse notRun(unsigned status, const std::string &message)
{
    HttpResponse response = jsonResponse(status, {{"error", {{"message", message}}}});
    response.headers.add("Gentianramp-Verdict", "NotRun");
    return response;
}

std::string_view roleName(EngineRole role)
{
    switch (role) {
    case EngineRole::Prefill:
        return "prefill";
    case EngineRole::Decode:
        return "decode";
    case EngineRole::Mixed:
        break;
    }
    return "mixed";
}

EngineRole parseRole(const std::string &name)
{
    if (name == "prefill")
        return EngineRole::Prefill;
    return name == "decode" ? EngineRole::Decode : EngineRole::Mixed;
}

std::string_view phaseName(BackendPhase phase)
{
    switch (phase) {
    case BackendPhase::Draining:
        return "draining";
    case BackendPhase::Changing:
        return "changing";
    case BackendPhase::Leaving:
        return "leaving";
    default:
        return "serving";
    }
}

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

RunEntry runEntry(const HttpRequest &request)
{
    RunEntry entry;
    entry.request = RequestId(std::string(request.headers.find("Gentianramp-Request-Id")));
    const std::string attempt(request.headers.find("Gentianramp-Attempt"));
    entry.attempt = Attempt(static_cast<std::uint32_t>(std::strtoul(attempt.c_str(), nullptr, 10)));
    entry.key = IdempotencyKey(std::string(request.headers.find("Idempotency-Key")));
    entry.startedMs = wallClockMs();
    return entry;
}

/// Identifies the answer with the request and attempt that it belongs to.
void identify(HttpResponse &response, const EngineRequest &work)
{
    response.headers.add("Gentianramp-Request-Id", work.id.value());
    response.headers.add("Gentianramp-Attempt", std::to_string(work.attempt.value()));
}

json tokenChoice(const CompletionRequest &request, const std::string &text)
{
    json choice{{"index", 0}};
    if (request.chat)
        choice["delta"] = {{"content", text}};
    else
        choice["text"] = text;
    return {{"choices", json::array({choice})}};
}

} // namespace

struct FakeBackend::State : std::enable_shared_from_this<State>
{
    State(asio::any_io_executor chosen, FakeBackendOptions wanted)
        : executor(std::move(chosen))
        , options(std::move(wanted))
        , host(std::make_shared<EngineHost>(executor, options.engine))
        , orders(options.checksFencing, [this](const EngineOrder &order) { apply(order); })
        , runs(options.recordFile)
    {
        if (!options.model.empty())
            versions[options.model] = options.version;
    }

    asio::awaitable<void> handle(HttpRequest request, ResponseWriter &writer)
    {
        const std::string path(request.path());
        if (path.starts_with("/engine/"))
            co_await handleControl(path, request, writer);
        else if (options.kind == ServiceKind::Plain)
            co_await handlePlain(request, writer);
        else if (path == "/v1/completions" || path == "/v1/chat/completions")
            co_await handleCompletion(request, writer);
        else
            co_await writer.send(notRun(404, "no such path"));
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
            co_await writer.send(jsonResponse(200, runs.toJson()));
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
                host->cancel({RequestId(body.at("request_id").get<std::string>()),
                              Attempt(body.value("attempt", 1U))});
                return jsonResponse(200, json::object());
            }
            if (path == "/engine/kv/export")
                return jsonResponse(200, {{"kv_handle", body.at("kv_handle")}});
            if (path == "/engine/kv/import") {
                imported.insert(body.at("kv_handle").get<std::string>());
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
            host->model().setLeaving(RuntimeClock::now());
        else
            faults.set(*kind, body.value("count", AllRequests));
        if (*kind == FaultKind::Blackhole)
            ++blackholeRound;
        return jsonResponse(200, json::object());
    }

    void apply(const EngineOrder &order)
    {
        const TimePoint now = RuntimeClock::now();
        if (order.kind == "set_role")
            host->model().setRole(parseRole(order.role), now);
        else if (order.kind == "drain" || order.kind == "undrain")
            host->model().setDraining(order.kind == "drain", now);
        else if (order.kind == "unload")
            versions.erase(order.model);
        else if (order.kind == "load")
            asio::co_spawn(executor, load(order), asio::detached);
    }

    asio::awaitable<void> load(EngineOrder order)
    {
        const auto self = shared_from_this();
        loading = true;
        co_await sleepFor(options.loadTime);
        loading = false;
        if (!order.model.empty())
            versions[order.model] = order.version;
        if (!order.adapter.empty())
            adapters.insert(order.adapter);
    }

    bool orderRunning() const { return loading || host->model().phase() == BackendPhase::Changing; }

    json stateJson()
    {
        json state{
            {"backend", options.id.value()},
            {"model", options.model},
            {"versions", versions},
            {"adapters", adapters},
            {"role",
             options.kind == ServiceKind::Plain ? "service" : roleName(host->model().role())},
            {"phase", phaseName(host->model().phase())},
            {"running", host->model().outstanding() + plainRunning},
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
        const LoadReport report = host->model().loadReport(now);
        const bool known = report.takenAt != TimePoint{};
        return {{"age_ms", known ? toMilliseconds(now - report.takenAt) : 0},
                {"running", report.running + plainRunning},
                {"queued", report.queued},
                {"queued_prompt_tokens", report.promptTokens},
                {"outstanding_tokens", report.outputTokens},
                {"kv_tokens", report.kvTokens},
                {"kv_capacity_tokens", report.kvCapacityTokens}};
    }

    json cacheJson(std::uint64_t after)
    {
        const CacheEvents published = host->model().cacheEvents(after, RuntimeClock::now());
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

    /// Refusal when no new work is taken, before anything has run.
    std::optional<HttpResponse> refusal(const HttpRequest &request)
    {
        if (faults.take(FaultKind::Refuse))
            return notRun(503, "refused");
        const BackendPhase phase = host->model().phase();
        if (phase == BackendPhase::Serving)
            return std::nullopt;
        if (phase == BackendPhase::Leaving)
            runs.addLateArrival(runEntry(request));
        HttpResponse response = notRun(503, std::string(phaseName(phase)));
        response.headers.add("Gentianramp-Backend-Phase", std::string(phaseName(phase)));
        return response;
    }

    asio::awaitable<void> handlePlain(const HttpRequest &request, ResponseWriter &writer)
    {
        if (auto refused = refusal(request)) {
            co_await writer.send(std::move(*refused));
            co_return;
        }
        if (plainRunning >= options.plainSlots) {
            co_await writer.send(notRun(503, "busy"));
            co_return;
        }
        const std::uint32_t runCount = runs.add(runEntry(request));
        ++plainRunning;
        if (faults.take(FaultKind::Hang))
            co_await sleepFor(HangTime);
        const bool slow = faults.take(FaultKind::Slow);
        co_await sleepFor(slow ? options.serviceTime * SlowFactor : options.serviceTime);
        --plainRunning;
        if (faults.take(FaultKind::LoseAnswer))
            co_return;
        const std::string requestId(request.headers.find("Gentianramp-Request-Id"));
        const std::string key(request.headers.find("Idempotency-Key"));
        HttpResponse response = jsonResponse(
            200,
            {{"request_id", requestId},
             {"key", key},
             {"runs", runCount},
             {"result", "done " + std::string(request.path()) + " for " + requestId}});
        response.headers.add("Gentianramp-Request-Id", requestId);
        response.headers.add("Gentianramp-Attempt",
                             std::string(request.headers.find("Gentianramp-Attempt")));
        co_await writer.send(std::move(response));
    }

    asio::awaitable<void> handleCompletion(const HttpRequest &request, ResponseWriter &writer)
    {
        Result<CompletionRequest> parsed = parseCompletionRequest(request);
        if (!parsed) {
            co_await writer.send(notRun(400, parsed.message()));
            co_return;
        }
        CompletionRequest completion = *parsed;
        if (!versions.contains(completion.model)) {
            co_await writer.send(notRun(404, "model is not loaded"));
            co_return;
        }
        if (auto refused = refusal(request)) {
            co_await writer.send(std::move(*refused));
            co_return;
        }
        completion.work.kvImported = imported.erase(completion.kvHandle) > 0;
        if (!host->submit(completion.work)) {
            co_await writer.send(notRun(503, "not serving"));
            co_return;
        }
        runs.add(runEntry(request));
        const AttemptKey key{completion.work.id, completion.work.attempt};
        writer.setCallerGoneHook([self = shared_from_this(), key] { self->host->cancel(key); });
        if (faults.take(FaultKind::Hang))
            co_await sleepFor(HangTime);
        if (completion.work.prefillOnly)
            co_await answerPrefill(completion, writer);
        else if (completion.stream)
            co_await streamAnswer(completion, writer);
        else
            co_await wholeAnswer(completion, writer);
        host->cancel(key);
    }

    asio::awaitable<bool> waitUntilFinished(const CompletionRequest &completion)
    {
        const AttemptKey key{completion.work.id, completion.work.attempt};
        StreamState state;
        while (!state.finished && !state.cut)
            state = co_await host->wait(key, UINT32_MAX, StreamPollInterval);
        co_return state.finished;
    }

    asio::awaitable<void> answerPrefill(const CompletionRequest &completion, ResponseWriter &writer)
    {
        if (!co_await waitUntilFinished(completion))
            co_return;
        const std::string handle = options.id.value() + '/' + std::to_string(++lastHandle);
        HttpResponse response = jsonResponse(
            200, {{"kv_handle", handle}, {"prompt_tokens", completion.work.promptTokens}});
        identify(response, completion.work);
        co_await writer.send(std::move(response));
    }

    asio::awaitable<void> wholeAnswer(const CompletionRequest &completion, ResponseWriter &writer)
    {
        if (!co_await waitUntilFinished(completion))
            co_return;
        std::string text;
        const EngineRequest &work = completion.work;
        for (std::uint32_t offset = work.resumeOffset + 1; offset <= work.outputTokens; ++offset)
            text += tokenText(offset, work.id);
        json choice{{"index", 0}, {"finish_reason", "length"}};
        if (completion.chat)
            choice["message"] = {{"role", "assistant"}, {"content", text}};
        else
            choice["text"] = text;
        HttpResponse response
            = jsonResponse(200,
                           {{"id", work.id.value()},
                            {"model", completion.model},
                            {"choices", json::array({choice})},
                            {"usage",
                             {{"prompt_tokens", work.promptTokens},
                              {"completion_tokens", work.outputTokens - work.resumeOffset}}}});
        identify(response, work);
        co_await writer.send(std::move(response));
    }

    asio::awaitable<void> streamAnswer(const CompletionRequest &completion, ResponseWriter &writer)
    {
        HttpResponse head;
        head.headers.add("Content-Type", "text/event-stream");
        identify(head, completion.work);
        if (co_await writer.startStream(std::move(head)))
            co_return;
        const AttemptKey key{completion.work.id, completion.work.attempt};
        const std::uint64_t round = blackholeRound;
        std::uint32_t sent = completion.work.resumeOffset;
        for (;;) {
            const StreamState state = co_await host->wait(key, sent, StreamPollInterval);
            if (writer.callerGone() || state.cut)
                co_return;
            if (round != blackholeRound)
                co_await sleepFor(HangTime);
            if (state.tokens > sent && co_await sendTokens(completion, writer, sent, state.tokens))
                co_return;
            sent = state.tokens;
            if (sent > completion.work.resumeOffset && faults.take(FaultKind::CrashMidStream))
                co_return;
            if (state.finished)
                break;
        }
        const std::error_code lost = co_await writer.writePiece("data: [DONE]\n\n");
        if (!lost)
            co_await writer.finishStream();
    }

    asio::awaitable<std::error_code> sendTokens(const CompletionRequest &completion,
                                                ResponseWriter &writer, std::uint32_t sent,
                                                std::uint32_t until)
    {
        std::string piece;
        for (std::uint32_t offset = sent + 1; offset <= until; ++offset) {
            const std::string text = tokenText(offset, completion.work.id);
            appendSse(piece, {std::to_string(offset), {}, tokenChoice(completion, text).dump()});
        }
        co_return co_await writer.writePiece(piece);
    }

    asio::any_io_executor executor;
    const FakeBackendOptions options;
    std::shared_ptr<EngineHost> host;
    OrderBook orders;
    RunRecord runs;
    FaultSwitch faults;
    std::map<std::string, std::string> versions;
    std::set<std::string> adapters;
    std::set<std::string> imported;
    std::unique_ptr<HttpServer> server;
    std::uint64_t blackholeRound = 0;
    std::uint64_t lastHandle = 0;
    std::uint32_t plainRunning = 0;
    bool loading = false;
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
    options.host = m_state->options.host;
    options.port = m_state->options.port;
    options.connectionExecutor = [state = m_state] { return state->executor; };
    m_state->server = std::make_unique<HttpServer>(
        m_state->executor, options,
        [state = m_state.get()](HttpRequest request, ResponseWriter &writer) {
            return state->handle(std::move(request), writer);
        });
    asio::co_spawn(m_state->executor, m_state->host->run(), asio::detached);
    return m_state->server->start();
}

void FakeBackend::stop()
{
    m_state->host->stop();
    if (m_state->server)
        m_state->server->stop();
}

} // namespace gentianramp
