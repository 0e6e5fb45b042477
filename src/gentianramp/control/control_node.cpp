#include <gentianramp/control/control_node.hpp>

#include "control_pages.hpp"
#include "operator_service.hpp"
#include <gentianramp/control/ledger_driver.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <gentianramp/core/invariant.hpp>
#include <gentianramp/core/log.hpp>
#include <gentianramp/core/run_context.hpp>
#include <gentianramp/http/server.hpp>
#include <gentianramp/http/server_metrics.hpp>
#include <map>

namespace gentianramp {

namespace asio = boost::asio;

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(50);
/// Requests for the state of the process have no body; some clients send a short one.
constexpr std::uint64_t MaxStatusBodyBytes = 1024;
constexpr Duration LedgerTtl = std::chrono::seconds(1);
constexpr Duration DistributionTtl = std::chrono::seconds(2);
constexpr Duration OperatorTtl = std::chrono::seconds(2);
/// Time for which a process that shuts down stays up to transfer the ledger's leadership.
constexpr Duration LeadershipTransferTime = std::chrono::milliseconds(300);

std::vector<MeshPeer> meshPeers(const std::vector<PeerSettings> &peers)
{
    std::vector<MeshPeer> mesh;
    mesh.reserve(peers.size());
    for (const PeerSettings &peer : peers)
        mesh.push_back({peer.instance, peer.endpoint, peer.publicKey, peer.furtherKeys});
    return mesh;
}

DistributionOptions distributionOptions(const NodeSettings &settings)
{
    DistributionOptions options{.self = settings.instance};
    options.members.push_back({settings.instance, settings.dataCentre, true, settings.voter});
    for (const PeerSettings &peer : settings.peers) {
        if (peer.instance != settings.instance)
            options.members.push_back(
                {peer.instance, peer.dataCentre, peer.kind == ProcessKind::Control, peer.voter});
    }
    return options;
}

ReplicaOptions replicaOptions(const NodeSettings &settings, std::uint64_t seed)
{
    ReplicaOptions options;
    options.self = settings.instance;
    options.seed = seed;
    options.voters.push_back(settings.instance);
    for (const PeerSettings &peer : settings.peers) {
        if (peer.voter && peer.instance != settings.instance)
            options.voters.push_back(peer.instance);
    }
    return options;
}

/// A hook that is called periodically.
struct PeriodicHook
{
    Duration interval;
    std::function<void(TimePoint)> hook;
};

/// A hook by which a component ends its work at shutdown.
struct ShutdownHook
{
    Duration timeout;
    std::function<void(std::function<void()>)> hook;
};

} // namespace

struct ControlNode::State
{
    explicit State(ControlOptions controlOptions)
        : options(std::move(controlOptions))
        , settings(options.settings)
        , timeline({.file = settings.timelineFile,
                    .instance = settings.instance.value(),
                    .maxBytes = settings.timelineMaxBytes})
        , distribution(distributionOptions(settings), RuntimeClock::now())
    { }

    Result<std::uint16_t> start();
    Result<bool> startLedger();
    void startOperators();
    void startMesh();
    Result<std::uint16_t> startHttp();
    asio::awaitable<void> answerHttp(HttpRequest request, ResponseWriter &writer);
    asio::awaitable<void> runTicks();
    asio::awaitable<void> runPeriodic(PeriodicHook periodic);
    void dispatch(const ReceivedMessage &message);
    void perform(DistributionOutput output);
    void reportLeader();
    void updateMetrics(TimePoint now);
    void send(const InstanceId &to, PayloadKind kind, std::string payload, Duration ttl);
    void beginShutdown();
    void finishShutdownStep();
    asio::awaitable<void> stopAfter(Duration timeout);
    ControlStatus status() const;

    ControlOptions options;
    const NodeSettings &settings;
    asio::io_context context{1};
    MetricsRegistry metrics;
    TimelineWriter timeline;
    ConfigurationDistribution distribution;
    std::unique_ptr<LedgerDriver> ledger;
    std::unique_ptr<OperatorService> operators;
    std::map<PayloadKind, std::function<void(const ReceivedMessage &)>> handlers;
    std::map<proto::OperatorRequest::RequestCase, OperatorHandler> operatorHandlers;
    std::vector<std::function<void(const AcceptedConfiguration &)>> configurationHooks;
    std::vector<PeriodicHook> periodicHooks;
    std::vector<ShutdownHook> shutdownHooks;
    std::unique_ptr<HttpServer> http;
    std::unique_ptr<Mesh> mesh;
    std::size_t pendingShutdownSteps = 0; ///< Hooks and the transfer of leadership.
    bool shuttingDown = false;
    bool failed = false; ///< The data folder, or a handler.
};

ControlNode::ControlNode(ControlOptions options)
    : m_state(std::make_unique<State>(std::move(options)))
{ }

ControlNode::~ControlNode()
{
    m_state->mesh.reset(); // Its thread posts to the executor.
}

void ControlNode::handleMessages(PayloadKind kind,
                                 std::function<void(const ReceivedMessage &)> handler)
{
    m_state->handlers[kind] = std::move(handler);
}

void ControlNode::onConfiguration(std::function<void(const AcceptedConfiguration &)> hook)
{
    m_state->configurationHooks.push_back(std::move(hook));
}

void ControlNode::every(Duration interval, std::function<void(TimePoint)> hook)
{
    m_state->periodicHooks.push_back({interval, std::move(hook)});
}

void ControlNode::onShutdown(Duration timeout, std::function<void(std::function<void()>)> hook)
{
    m_state->shutdownHooks.push_back({timeout, std::move(hook)});
}

void ControlNode::answerLocally(proto::OperatorRequest::RequestCase kind, OperatorHandler handler)
{
    m_state->operatorHandlers[kind] = std::move(handler);
}

void ControlNode::send(const InstanceId &to, PayloadKind kind, std::string payload, Duration ttl)
{
    m_state->send(to, kind, std::move(payload), ttl);
}

const NodeSettings &ControlNode::settings() const
{
    return m_state->settings;
}

const AcceptedConfiguration &ControlNode::configuration() const
{
    return m_state->distribution.current();
}

MetricsRegistry &ControlNode::metrics()
{
    return m_state->metrics;
}

TimelineWriter &ControlNode::timeline()
{
    return m_state->timeline;
}

asio::any_io_executor ControlNode::executor()
{
    return m_state->context.get_executor();
}

Result<std::uint16_t> ControlNode::start()
{
    return m_state->start();
}

bool ControlNode::run()
{
    runContext(m_state->context, [this] {
        m_state->failed = true;
        m_state->context.stop();
    });
    m_state->mesh.reset();
    m_state->timeline.record({.kind = EventKind::ProcessStopped});
    m_state->timeline.flush();
    return !m_state->failed;
}

void ControlNode::shutdown()
{
    asio::post(m_state->context, [this] { m_state->beginShutdown(); });
}

void ControlNode::setPeers(const std::vector<PeerSettings> &peers,
                           std::vector<std::string> operatorKeys)
{
    m_state->mesh->setPeers(meshPeers(peers), std::move(operatorKeys));
}

Result<std::uint16_t> ControlNode::State::start()
{
    timeline.record({.kind = EventKind::ProcessStarted});
    startMesh();
    if (const Result<bool> started = startLedger(); !started)
        return {started.error(), started.message()};
    startOperators();
    for (const PeriodicHook &periodic : periodicHooks)
        asio::co_spawn(context, runPeriodic(periodic), asio::detached);
    asio::co_spawn(context, runTicks(), asio::detached);
    return startHttp();
}

Result<bool> ControlNode::State::startLedger()
{
    if (!settings.voter)
        return true;
    Result<DataFolder> dataFolder = openFolder(settings.dataFolder);
    if (!dataFolder)
        return {dataFolder.error(), dataFolder.message()};
    LedgerHooks hooks;
    hooks.send = [this](const InstanceId &to, std::string payload) {
        send(to, PayloadKind::Ledger, std::move(payload), LedgerTtl);
    };
    hooks.decided = [this](const CommandId &command, const CommandAnswer &answer) {
        if (operators) // Not yet created while start() reads the data folder.
            operators->onDecided(command, answer);
    };
    hooks.accepted = [this](const AcceptedConfiguration &configuration) {
        timeline.record(
            {.kind = EventKind::ConfigurationAccepted, .term = configuration.revision.value()});
        perform(distribution.distribute(configuration, RuntimeClock::now()));
    };
    hooks.leadership = [this](bool leads, Term term) {
        logInfo("ledger_leadership", {{"leads", leads ? "yes" : "no"}, {"term", term.value()}});
        if (leads)
            timeline.record({.kind = EventKind::LeaderElected, .term = term.value()});
    };
    hooks.storageFailed = [this](const std::string &reason) {
        logError("storage_failed", {{"reason", reason}});
        failed = true;
        context.stop();
    };
    ledger = std::make_unique<LedgerDriver>(replicaOptions(settings, options.seed),
                                            std::move(dataFolder).value(), std::move(hooks));
    return ledger->start(RuntimeClock::now());
}

void ControlNode::State::startOperators()
{
    OperatorHooks hooks;
    hooks.reply = [this](const std::string &replyRoute, const proto::OperatorAnswer &answer) {
        mesh->reply(replyRoute, PayloadKind::OperatorAnswer, answer.SerializeAsString(),
                    OperatorTtl);
    };
    hooks.forward = [this](const InstanceId &to, const proto::OperatorRequest &request) {
        send(to, PayloadKind::Operator, request.SerializeAsString(), OperatorTtl);
    };
    operators = std::make_unique<OperatorService>(settings.instance, ledger.get(), distribution,
                                                  options.operations, std::move(hooks), metrics);
    for (const auto &[kind, handler] : operatorHandlers)
        operators->answerLocally(kind, handler);
}

void ControlNode::State::startMesh()
{
    MeshOptions meshOptions;
    meshOptions.instance = settings.instance;
    meshOptions.incarnation = options.incarnation;
    meshOptions.endpoint = settings.endpoint;
    meshOptions.keys = options.keys;
    meshOptions.peers = meshPeers(settings.peers);
    meshOptions.operatorKeys = options.operatorKeys;
    meshOptions.faultFile = settings.faultFile;
    meshOptions.metrics = &metrics;
    meshOptions.timeline = &timeline;
    mesh = std::make_unique<Mesh>(std::move(meshOptions), [this](ReceivedMessage message) {
        asio::post(context, [this, message = std::move(message)] {
            if (!message.expired(RuntimeClock::now()))
                dispatch(message);
        });
    });
}

Result<std::uint16_t> ControlNode::State::startHttp()
{
    HttpServerOptions httpOptions;
    httpOptions.host = settings.httpHost;
    httpOptions.port = settings.httpPort;
    httpOptions.name = "status";
    httpOptions.maxConnections = 64;
    httpOptions.maxBodyBytes = MaxStatusBodyBytes;
    httpOptions.unreadHook = countUnread(metrics, httpOptions.name);
    http = std::make_unique<HttpServer>(context.get_executor(), std::move(httpOptions),
                                        [this](HttpRequest request, ResponseWriter &writer) {
                                            return answerHttp(std::move(request), writer);
                                        });
    return http->start();
}

asio::awaitable<void> ControlNode::State::answerHttp(HttpRequest request, ResponseWriter &writer)
{
    const std::string_view path = request.path();
    HttpResponse response = controlNotFoundPage();
    if (path == "/healthz")
        response = controlHealthPage();
    else if (path == "/readyz")
        response = controlReadyPage(status(), distribution, RuntimeClock::now());
    else if (path == "/metrics")
        response = controlMetricsPage(metrics);
    co_await writer.send(std::move(response));
}

asio::awaitable<void> ControlNode::State::runTicks()
{
    while (true) {
        // Each reads the clock: callbacks of the ones before pass later times on.
        if (ledger)
            ledger->tick(RuntimeClock::now());
        reportLeader();
        perform(distribution.tick(RuntimeClock::now()));
        operators->tick(RuntimeClock::now());
        updateMetrics(RuntimeClock::now());
        co_await sleepFor(TickInterval);
    }
}

asio::awaitable<void> ControlNode::State::runPeriodic(PeriodicHook periodic)
{
    while (true) {
        periodic.hook(RuntimeClock::now());
        co_await sleepFor(periodic.interval);
    }
}

void ControlNode::State::dispatch(const ReceivedMessage &message)
{
    const TimePoint now = RuntimeClock::now();
    switch (message.kind) {
    case PayloadKind::Ledger:
        if (ledger)
            ledger->onMessage(message.sender, message.payload, now);
        return;
    case PayloadKind::Configuration:
        return perform(distribution.onMessage(message.sender, message.payload, now));
    case PayloadKind::Operator:
        return operators->onRequest(message.replyRoute, message.payload, now);
    case PayloadKind::OperatorAnswer:
        return operators->onAnswer(message.payload);
    default:
        break;
    }
    if (const auto handler = handlers.find(message.kind); handler != handlers.end())
        handler->second(message);
}

void ControlNode::State::perform(DistributionOutput output)
{
    for (DistributionMessage &message : output.messages)
        send(message.to, PayloadKind::Configuration, std::move(message.payload), DistributionTtl);
    if (!output.accepted)
        return;
    timeline.record(
        {.kind = EventKind::ConfigurationInForce, .term = output.accepted->revision.value()});
    for (const auto &hook : configurationHooks)
        hook(*output.accepted);
}

/// Passes the ledger's leader and the time of its last confirmation to the distribution.
void ControlNode::State::reportLeader()
{
    if (!ledger)
        return;
    distribution.noteLeader(ledger->replica().leader(), ledger->confirmedAt());
}

void ControlNode::State::updateMetrics(TimePoint now)
{
    metrics.gauge("gentianramp_configuration_revision", "Accepted revision in force here")
        .set(static_cast<double>(distribution.current().revision.value()));
    if (const auto age = distribution.age(now))
        metrics
            .gauge("gentianramp_configuration_age_seconds",
                   "Since the leader of the ledger confirmed the configuration")
            .set(std::chrono::duration<double>(*age).count());
    if (!ledger)
        return;
    const Replica &replica = ledger->replica();
    metrics.gauge("gentianramp_ledger_leads", "1 while this voter leads")
        .set(ledger->leads() ? 1 : 0);
    metrics.gauge("gentianramp_ledger_admitted", "1 while the data folder counts as a voter")
        .set(replica.admitted() ? 1 : 0);
    metrics.gauge("gentianramp_ledger_term", "Term of the ledger")
        .set(static_cast<double>(replica.term().value()));
    metrics.gauge("gentianramp_ledger_commit_index", "Last committed entry")
        .set(static_cast<double>(replica.commitIndex().value()));
    metrics
        .gauge("gentianramp_ledger_refused_confirmations",
               "Confirmations of leaders with an age that can't be")
        .set(static_cast<double>(ledger->refusedConfirmations()));
    metrics.gauge("gentianramp_broken_invariants", "Invariants that were found broken so far")
        .set(static_cast<double>(brokenInvariantCount()));
    metrics.gauge("gentianramp_ledger_log_bytes", "Size of the log file")
        .set(static_cast<double>(ledger->logBytes()));
}

void ControlNode::State::send(const InstanceId &to, PayloadKind kind, std::string payload,
                              Duration ttl)
{
    mesh->send(to, kind, std::move(payload), ttl);
}

void ControlNode::State::beginShutdown()
{
    if (std::exchange(shuttingDown, true))
        return;
    timeline.record({.kind = EventKind::ProcessStopping});
    Duration timeout = LeadershipTransferTime;
    if (ledger)
        ledger->transferLeadership(RuntimeClock::now());
    pendingShutdownSteps = shutdownHooks.size() + 1;
    for (const ShutdownHook &each : shutdownHooks) {
        timeout = std::max(timeout, each.timeout);
        each.hook([this] { finishShutdownStep(); });
    }
    asio::co_spawn(context, stopAfter(timeout), asio::detached);
    asio::co_spawn(
        context,
        [this]() -> asio::awaitable<void> {
            co_await sleepFor(LeadershipTransferTime);
            finishShutdownStep();
        },
        asio::detached);
}

void ControlNode::State::finishShutdownStep()
{
    if (--pendingShutdownSteps == 0)
        context.stop();
}

asio::awaitable<void> ControlNode::State::stopAfter(Duration timeout)
{
    co_await sleepFor(timeout);
    context.stop();
}

ControlStatus ControlNode::State::status() const
{
    return {.instance = settings.instance,
            .dataCentre = settings.dataCentre,
            .voter = settings.voter,
            .leads = ledger && ledger->leads(),
            .shuttingDown = shuttingDown};
}

std::error_code initialiseDataFolder(const NodeSettings &settings, std::uint64_t seed)
{
    Result<DataFolder> dataFolder = openFolder(settings.dataFolder);
    if (!dataFolder)
        return dataFolder.error();
    return LogStore(std::move(dataFolder).value()).initialise(seed);
}

} // namespace gentianramp
