#include <gentianramp/entry/entry_service.hpp>

#include "backend_watch.hpp"
#include "gentianramp/entry/generated/notice.pb.h"
#include "header_names.hpp"
#include "pipeline.hpp"
#include "status_pages.hpp"
#include "worker_threads.hpp"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <gentianramp/core/invariant.hpp>
#include <gentianramp/core/log.hpp>
#include <gentianramp/http/server_metrics.hpp>
#include <map>
#include <set>

namespace gentianramp {

namespace asio = boost::asio;

namespace {

constexpr Duration KeyTickInterval = std::chrono::milliseconds(20);
constexpr Duration RouterTickInterval = std::chrono::milliseconds(50);
constexpr Duration SlowTickInterval = std::chrono::seconds(1);
/// After a longer gap between ticks the process was suspended: the phases of all backend servers
/// are read again before requests are dispatched.
constexpr Duration MaxTickGap = std::chrono::seconds(1);
constexpr Duration NoticeTtl = std::chrono::seconds(2);
constexpr Duration LimitTtl = std::chrono::seconds(2);

std::vector<InstanceId> entryInstances(const NodeSettings &settings)
{
    std::vector<InstanceId> instances{settings.instance};
    for (const PeerSettings &peer : settings.peers) {
        if (peer.kind == ProcessKind::Entry)
            instances.push_back(peer.instance);
    }
    return instances;
}

std::vector<PlacedInstance> instancesWithSites(const NodeSettings &settings)
{
    std::vector<PlacedInstance> instances{{settings.instance, settings.dataCentre}};
    for (const PeerSettings &peer : settings.peers) {
        if (peer.kind == ProcessKind::Entry)
            instances.push_back({peer.instance, peer.dataCentre});
    }
    return instances;
}

Duration longestTimeout(const DeclaredConfiguration &configuration)
{
    Duration longest = std::chrono::seconds(1);
    for (const ServiceDeclaration &service : configuration.services)
        longest = std::max(longest, service.timeout);
    return longest;
}

KeyServiceOptions keyOptions(const EntryOptions &options)
{
    KeyServiceOptions keys;
    keys.self = options.settings.instance;
    keys.incarnation = options.incarnation;
    keys.instances = instancesWithSites(options.settings);
    keys.sites = options.configuration.sites;
    keys.lifetime = options.configuration.idempotencyLifetime;
    keys.longestWait = longestTimeout(options.configuration);
    keys.startWallMs = wallClockMs();
    keys.noPriorClaims = options.firstStart;
    keys.seed = options.seed;
    return keys;
}

std::vector<MeshPeer> meshPeers(const std::vector<PeerSettings> &peers)
{
    std::vector<MeshPeer> mesh;
    mesh.reserve(peers.size());
    for (const PeerSettings &peer : peers)
        mesh.push_back({peer.instance, peer.endpoint, peer.publicKey, peer.furtherKeys});
    return mesh;
}

MeshOptions meshOptions(const EntryOptions &options, MetricsRegistry &metrics,
                        TimelineWriter &timeline)
{
    MeshOptions mesh;
    mesh.instance = options.settings.instance;
    mesh.incarnation = options.incarnation;
    mesh.endpoint = options.settings.endpoint;
    mesh.keys = options.keys;
    mesh.peers = meshPeers(options.settings.peers);
    mesh.faultFile = options.settings.faultFile;
    mesh.metrics = &metrics;
    mesh.timeline = &timeline;
    return mesh;
}

TimelineOptions timelineOptions(const NodeSettings &settings)
{
    TimelineOptions options;
    options.file = settings.timelineFile;
    options.instance = settings.instance.value();
    options.maxBytes = settings.timelineMaxBytes;
    return options;
}

RouterOptions routerOptions(const EntryOptions &options, MetricsRegistry &metrics)
{
    RouterOptions router;
    router.instance = options.settings.instance;
    router.site = options.settings.dataCentre;
    router.seed = options.seed;
    router.instances = entryInstances(options.settings);
    router.metrics = &metrics;
    return router;
}

} // namespace

struct EntryService::State
{
    explicit State(EntryOptions serviceOptions)
        : options(std::move(serviceOptions))
        , memory(std::make_shared<MemoryBudget>(options.settings.requestMemoryBytes))
        , timeline(timelineOptions(options.settings))
        , router(routerOptions(options, metrics))
        , workers(options.settings.threads)
        , telemetry(metrics, timeline)
        , keyService(std::make_shared<SharedKeyService>(keyOptions(options), keySender()))
        , backendWatch(std::make_shared<BackendWatch>(workers.background(), router, client,
                                                      timeline, options.settings.dataCentre))
        , pipeline(pipelineOptions())
        , server(workers.background(), serverOptions(),
                 [this](HttpRequest request, ResponseWriter &writer) {
                     return handle(std::move(request), writer);
                 })
    { }

    KeySendHook keySender()
    {
        return [this](const InstanceId &to, std::string payload) {
            send(to, PayloadKind::KeyClaim, std::move(payload), KeyMessageTtl);
        };
    }

    PipelineOptions pipelineOptions()
    {
        PipelineOptions result;
        result.instance = options.settings.instance;
        result.incarnation = options.incarnation;
        result.context.router = &router;
        result.context.client = &client;
        result.context.telemetry = &telemetry;
        result.context.memory = memory;
        result.context.onStatedPhase = [this](const BackendId &backend, BackendPhase phase) {
            router.markPhase(backend, phase, RuntimeClock::now());
            asio::post(workers.background(),
                       [this, backend, phase] { applyPhase(backend, phase, true); });
        };
        result.context.viewIsStale = [this] { return viewIsStale(); };
        result.context.spawn = [this](asio::awaitable<void> work) {
            asio::co_spawn(workers.background(), std::move(work), asio::detached);
        };
        result.keyService = keyService;
        result.directory = [this] { return directory.load(); };
        result.shuttingDown = [this] { return shuttingDown.load(std::memory_order_relaxed); };
        return result;
    }

    HttpServerOptions serverOptions()
    {
        HttpServerOptions server;
        server.host = options.settings.httpHost;
        server.port = options.settings.httpPort;
        server.name = "callers";
        server.maxConnections = options.settings.maxConnections;
        server.memory = memory;
        server.unreadHook = countUnread(metrics, server.name);
        server.errorResponseHeaders.add(header::Verdict, std::string(toString(Verdict::NotRun)));
        server.handlerErrorHeaders.add(header::Verdict, std::string(toString(Verdict::MayHaveRun)));
        server.connectionExecutor = [this] { return workers.next(); };
        return server;
    }

    asio::awaitable<void> handle(HttpRequest request, ResponseWriter &writer)
    {
        const std::string path(request.path());
        const bool read = request.method == "GET" || request.method == "HEAD";
        if (read && path == "/healthz")
            co_await writer.send(healthPage());
        else if (read && path == "/readyz")
            co_await writer.send(readyPage(status(), *directory.load(), RuntimeClock::now()));
        else if (read && path == "/metrics")
            co_await writer.send(metricsPage(metrics));
        else if (read && path == "/v1/models")
            co_await writer.send(modelsPage(*directory.load()));
        else
            co_await pipeline.serve(std::move(request), writer);
    }

    InstanceStatus status()
    {
        InstanceStatus status;
        status.instance = options.settings.instance;
        status.dataCentre = options.settings.dataCentre;
        status.shuttingDown = shuttingDown;
        status.keysLearning = keyService->statistics().learning;
        status.activeRequests = server.activeRequests();
        status.waiting = router.waiting();
        return status;
    }

    void onMessage(ReceivedMessage message)
    {
        asio::post(workers.background(), [this, message = std::move(message)]() mutable {
            handleMessage(std::move(message));
        });
    }

    void handleMessage(ReceivedMessage message)
    {
        switch (message.kind) {
        case PayloadKind::KeyClaim:
            keyService->onMessage(message.sender, message.payload);
            return;
        case PayloadKind::Limit:
            sendLimits(
                router.applyLimitMessage(message.sender, message.payload, RuntimeClock::now()));
            return;
        case PayloadKind::Notice:
            handleNotice(message.payload);
            return;
        default:
            break;
        }
        const auto hook = messageHooks.find(message.kind);
        if (hook != messageHooks.end())
            hook->second(std::move(message));
    }

    void handleNotice(const std::string &payload)
    {
        proto::BackendNotice notice;
        if (!notice.ParseFromString(payload))
            return;
        const auto phase = parseBackendPhase(notice.phase());
        if (phase && *phase != BackendPhase::Serving)
            applyPhase(BackendId(notice.backend()), *phase, false);
    }

    /// Runs on the background executor.
    void applyPhase(const BackendId &backend, BackendPhase phase, bool notifyNeighbours)
    {
        if (!backendWatch->updatePhase(backend, phase) || !notifyNeighbours)
            return;
        proto::BackendNotice notice;
        notice.set_backend(backend.value());
        notice.set_phase(std::string(toString(phase)));
        for (const PeerSettings &peer : options.settings.peers) {
            const bool neighbour
                = peer.kind == ProcessKind::Entry && peer.dataCentre == options.settings.dataCentre;
            if (neighbour)
                send(peer.instance, PayloadKind::Notice, notice.SerializeAsString(), NoticeTtl);
        }
    }

    void send(const InstanceId &to, PayloadKind kind, std::string payload, Duration ttl)
    {
        if (mesh)
            mesh->send(to, kind, std::move(payload), ttl);
    }

    void sendLimits(const std::vector<LimitMessage> &messages)
    {
        for (const LimitMessage &message : messages)
            send(message.to, PayloadKind::Limit, message.payload, LimitTtl);
    }

    asio::awaitable<void> tickKeys()
    {
        while (!stopped) {
            keyService->tick();
            co_await sleepFor(KeyTickInterval);
        }
    }

    asio::awaitable<void> tickRouter()
    {
        while (!stopped) {
            const TimePoint now = RuntimeClock::now();
            if (now - lastTick.load() > MaxTickGap)
                co_await backendWatch->refresh();
            router.tick(RuntimeClock::now());
            lastTick = RuntimeClock::now();
            co_await sleepFor(RouterTickInterval);
        }
    }

    /// True when the background thread was suspended and has not refreshed the phases since;
    /// lastTick is set only after the refresh.
    bool viewIsStale() const
    {
        return RuntimeClock::now() - lastTick.load(std::memory_order_acquire) > MaxTickGap;
    }

    asio::awaitable<void> tickSlowly()
    {
        Gauge &connections
            = metrics.gauge("gentianramp_caller_connections", "Open connections of callers");
        Gauge &active = metrics.gauge("gentianramp_active_requests", "Requests under way");
        Gauge &revisionAge = metrics.gauge("gentianramp_revision_age_seconds",
                                           "Time that the revision in force is in force");
        Gauge &heldKeys
            = metrics.gauge("gentianramp_held_keys", "Idempotency keys kept by this replica");
        while (!stopped) {
            sendLimits(router.limitMessages(RuntimeClock::now()));
            client.closeIdle();
            connections.set(static_cast<double>(server.connections()));
            active.set(static_cast<double>(server.activeRequests()));
            heldKeys.set(static_cast<double>(keyService->statistics().keys));
            const Duration age = RuntimeClock::now() - directory.load()->inForceSince();
            revisionAge.set(std::chrono::duration<double>(age).count());
            co_await sleepFor(SlowTickInterval);
        }
    }

    void publish(const FleetView &fleet)
    {
        router.publishFleet(fleet, RuntimeClock::now());
        asio::post(workers.background(), [this, fleet] { backendWatch->setFleet(fleet); });
    }

    /// Publishes the declared backend servers of each data centre without a fleet table.
    void publishDeclared()
    {
        const DeclaredConfiguration &configuration = directory.load()->configuration();
        for (const DataCentreId &site : configuration.sites) {
            if (!sitesWithFleetTable.contains(site))
                publish(declaredFleet(configuration, site));
        }
    }

    /// Puts @p configuration in force.
    void install(DeclaredConfiguration configuration, Revision revision)
    {
        const TimePoint now = RuntimeClock::now();
        router.configure(configuration, now);
        auto next
            = std::make_shared<const ServiceDirectory>(std::move(configuration), revision, now);
        const auto old = directory.load();
        checkInvariant(!old || old->revision() < revision, "revision_grows",
                       std::to_string(revision.value()));
        directory.store(next);
        metrics.gauge("gentianramp_revision", "Revision of the configuration in force")
            .set(static_cast<double>(revision.value()));
        TimelineEvent event;
        event.kind = EventKind::ConfigurationInForce;
        event.term = revision.value();
        timeline.record(std::move(event));
        logInfo("configuration_in_force", {{"revision", revision.value()}});
    }

    EntryOptions options;
    std::shared_ptr<MemoryBudget> memory;
    MetricsRegistry metrics;
    TimelineWriter timeline;
    Router router;
    WorkerPool workers;
    HttpClient client;
    Telemetry telemetry;
    std::shared_ptr<SharedKeyService> keyService;
    std::shared_ptr<BackendWatch> backendWatch;
    std::atomic<std::shared_ptr<const ServiceDirectory>> directory;
    std::mutex installMutex; ///< Held while a configuration or fleet table is applied.
    std::set<DataCentreId> sitesWithFleetTable;
    std::atomic<bool> shuttingDown{false};
    std::atomic<bool> stopped{false};
    std::atomic<TimePoint> lastTick{RuntimeClock::now()};
    std::map<PayloadKind, MessageHook> messageHooks;
    std::unique_ptr<Mesh> mesh;
    Pipeline pipeline;
    HttpServer server;
};

EntryService::EntryService(EntryOptions options)
    : m_state(std::make_shared<State>(std::move(options)))
{
    const EntryOptions &initial = m_state->options;
    m_state->install(initial.configuration, initial.revision);
}

EntryService::~EntryService()
{
    m_state->stopped = true;
    m_state->router.shutDown(RuntimeClock::now());
    m_state->server.stop();
    m_state->mesh.reset();
    m_state->workers.stop();
}

Result<std::uint16_t> EntryService::start()
{
    State &state = *m_state;
    if (!state.options.settings.endpoint.empty()) {
        state.mesh = std::make_unique<Mesh>(
            meshOptions(state.options, state.metrics, state.timeline),
            [&state](ReceivedMessage message) { state.onMessage(std::move(message)); });
    }
    Result<std::uint16_t> port = state.server.start();
    if (!port)
        return port;
    {
        const std::lock_guard lock(state.installMutex);
        state.publishDeclared();
    }
    const asio::any_io_executor executor = state.workers.background();
    asio::co_spawn(executor, state.tickKeys(), asio::detached);
    asio::co_spawn(executor, state.tickRouter(), asio::detached);
    asio::co_spawn(executor, state.tickSlowly(), asio::detached);
    state.workers.start(state.options.failed);
    state.timeline.record({.kind = EventKind::ProcessStarted});
    return port;
}

void EntryService::setPeers(const std::vector<PeerSettings> &peers)
{
    if (m_state->mesh)
        m_state->mesh->setPeers(meshPeers(peers), {});
}

void EntryService::beginShutdown()
{
    if (m_state->shuttingDown.exchange(true))
        return;
    m_state->server.disableKeepAlive();
    m_state->timeline.record({.kind = EventKind::ProcessStopping});
    logInfo("shutting_down", {{"active_requests", m_state->server.activeRequests()}});
}

void EntryService::stopListening()
{
    m_state->server.stopListening();
}

bool EntryService::hasActiveRequests() const
{
    return m_state->server.unansweredRequests() > 0;
}

bool EntryService::hasOpenSettlements() const
{
    return m_state->keyService->statistics().openSettlements > 0;
}

bool EntryService::applyConfiguration(DeclaredConfiguration configuration, Revision revision)
{
    const std::lock_guard lock(m_state->installMutex);
    if (revision <= this->revision())
        return false;
    m_state->install(std::move(configuration), revision);
    m_state->publishDeclared();
    return true;
}

Revision EntryService::revision() const
{
    return m_state->directory.load()->revision();
}

void EntryService::publishFleet(const FleetView &fleet)
{
    const std::lock_guard lock(m_state->installMutex);
    m_state->sitesWithFleetTable.insert(fleet.site);
    m_state->publish(fleet);
}

DemandSample EntryService::takeDemand()
{
    return m_state->router.takeDemand(RuntimeClock::now());
}

void EntryService::setMessageHook(PayloadKind kind, MessageHook hook)
{
    m_state->messageHooks[kind] = std::move(hook);
}

void EntryService::send(const InstanceId &to, PayloadKind kind, std::string payload, Duration ttl)
{
    m_state->send(to, kind, std::move(payload), ttl);
}

MetricsRegistry &EntryService::metrics()
{
    return m_state->metrics;
}

TimelineWriter &EntryService::timeline()
{
    return m_state->timeline;
}

} // namespace gentianramp
