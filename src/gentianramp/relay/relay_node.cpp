#include <gentianramp/relay/relay_node.hpp>

#include "forwarded_headers.hpp"
#include "relay_state.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <gentianramp/core/log.hpp>
#include <gentianramp/core/verdict.hpp>
#include <gentianramp/http/server_metrics.hpp>
#include <gentianramp/peers/peer_group.hpp>
#include <gentianramp/peers/record_keepers.hpp>
#include <gentianramp/relay/retry_after.hpp>
#include <gentianramp/wire/mesh.hpp>

namespace gentianramp {

namespace asio = boost::asio;

namespace {

constexpr Duration FeedTickInterval = std::chrono::milliseconds(50);
constexpr Duration MessageTtl = std::chrono::seconds(1);
/// Time from SIGTERM until requests that may outlast the process are refused. Requests sent later
/// than 3 s after the signal must be answered before the process ends, so refusals start earlier.
constexpr Duration LongRequestRefusalDelay = std::chrono::milliseconds(2800);
/// Time from SIGTERM until the process stops listening. New connections arrive until two readiness
/// probes in a row, a second apart, have failed.
constexpr Duration StopListeningDelay = std::chrono::milliseconds(4000);
/// Time for the final answers to reach callers.
constexpr Duration FinalAnswersDelay = std::chrono::milliseconds(150);
/// Sixths of the grace period that draining may take. The last sixth is a margin before the process
/// is killed.
constexpr int DrainSixthsOfGrace = 5;
constexpr Duration DrainCheckInterval = std::chrono::milliseconds(50);
/// The process ends after this time without a request. The first bytes of a request on a connection
/// that was accepted last, or was idle, may be on their way for a round trip.
constexpr Duration QuietBeforeEnd = std::chrono::milliseconds(250);
/// Shares of the sockets; the rest is left for connections to backend servers and registry
/// processes.
constexpr double CallerShare = 0.64;
constexpr double HelperShare = 0.1; ///< Other instances that are cut off from all backend servers.
constexpr double StatusShare = 0.015; ///< Readiness and metrics, each.
/// Requests for the state of the process have no body; some clients send a short one.
constexpr std::uint64_t MaxStatusBodyBytes = 1024;
/// Another instance can take a request that this one has no room for.
constexpr Duration UnreadRetryAfter = std::chrono::milliseconds(200);
/// Room for the headers that an instance adds to a request that it hands over.
constexpr std::uint32_t HandOverHeaderBytes = 1024;
constexpr Duration LogFlushInterval = std::chrono::milliseconds(250);

} // namespace

struct RelayNode::State : std::enable_shared_from_this<RelayNode::State>
{
    State(asio::any_io_executor ioExecutor, RelayNodeOptions nodeOptions)
        : executor(std::move(ioExecutor))
        , options(std::move(nodeOptions))
        , memory(std::make_shared<MemoryBudget>(options.resources.requestBytes()))
        , crashes(std::make_shared<CrashEvidence>())
        , usage(usageCounter())
        , feed({.dataCentre = options.relay.dataCentre,
                .seeds = options.seeds,
                .seed = options.relay.seed,
                .maxConfirmationAge = options.relay.maxDeclarationAge / 2,
                .firstDeclarationTimeout = 2 * options.contactTime,
                .crashes = crashes.get(),
                .usage = usage ? &*usage : nullptr},
               RuntimeClock::now())
        , peers({.self = options.self, .dataCentre = options.relay.dataCentre})
        , relay(executor, relayOptions())
    { }

    std::optional<UsageCounter> usageCounter() const
    {
        if (!options.usageWindow)
            return std::nullopt;
        return UsageCounter({.window = *options.usageWindow, .incarnation = options.relay.seed});
    }

    UsageHooks usageHooks()
    {
        UsageHooks hooks;
        hooks.arrived = [this](const std::string &customer, TimePoint at) {
            usage->noteArrived(customer, feed.trueMs(at));
        };
        hooks.begun = [this](const std::string &customer, TimePoint at) {
            usage->noteBegun(customer, feed.trueMs(at));
        };
        hooks.work = [this](const std::string &customer, std::uint64_t tokens, TimePoint at) {
            usage->addWork(customer, tokens, feed.trueMs(at));
        };
        return hooks;
    }

    RelayOptions relayOptions()
    {
        RelayOptions result = options.relay;
        result.declarationAge = [this] { return feed.declarationAge(RuntimeClock::now()); };
        result.instance = options.self;
        result.crashes = crashes;
        result.memory = memory;
        result.versionSettleTime = options.contactTime;
        result.peers.keepers = [this](std::string_view key) { return peers.keepers(key); };
        result.peers.witnesses = [this](std::string_view key) { return peers.witnesses(key); };
        result.peers.helpers = [this](const std::string &service, std::uint64_t random) {
            return helpers(service, random);
        };
        result.peers.noteHelperFailed
            = [this](const InstanceId &instance, const std::string &service) {
                  peers.noteFailed(instance, service, RuntimeClock::now());
              };
        result.peers.helperAddress
            = [this](const InstanceId &instance) { return helperAddress(instance); };
        result.peers.heldDeclaration = [this] { return heldDeclaration; };
        result.peers.offerDeclaration
            = [this](const RawDeclaration &offered) { takeOffered(offered); };
        result.peers.send = [this](const InstanceId &to, std::string payload) {
            mesh->send(to, PayloadKind::Peer, std::move(payload), MessageTtl);
        };
        result.peers.registryKeepers = [this](std::string_view key) {
            return rankedInstances(feed.registryProcesses(RuntimeClock::now()), key,
                                   RegistryKeepers);
        };
        result.peers.registryWitnesses = [this](std::string_view key) {
            return rankedInstances(feed.registryProcesses(RuntimeClock::now()), key,
                                   RegistryWitnesses);
        };
        // An older registry instance ignores this field; a message of PayloadKind::Peer would cost
        // it a log line.
        result.peers.sendToRegistry = [this](const InstanceId &to, std::string payload) {
            mesh->send(to, PayloadKind::Registry, RegistryFeed::wrapPeerMessage(std::move(payload)),
                       MessageTtl);
        };
        if (usage)
            result.usage = usageHooks();
        result.listingAge = [this] { return feed.listingAge(RuntimeClock::now()); };
        return result;
    }

    /// Other instances listen at the same port for requests that they take over.
    std::vector<RelayHelper> helpers(const std::string &service, std::uint64_t random) const
    {
        std::vector<RelayHelper> result;
        for (const PeerInstance &peer : peers.helpers(service, random, RuntimeClock::now())) {
            const std::optional<HttpAddress> address = parseHttpAddress(peer.instance.value());
            if (address)
                result.push_back(
                    {peer.instance, {address->host, options.helperListenAddress.port}});
        }
        return result;
    }

    /// Empty unless the registry has listed the instance.
    std::optional<HttpAddress> helperAddress(const InstanceId &instance) const
    {
        const std::vector<PeerInstance> known = peers.peers();
        const bool isKnown = std::any_of(known.begin(), known.end(), [&](const PeerInstance &peer) {
            return peer.instance == instance;
        });
        std::optional<HttpAddress> address = parseHttpAddress(instance.value());
        if (!isKnown || !address)
            return std::nullopt;
        address->port = options.helperListenAddress.port;
        return address;
    }

    HttpServerOptions serverOptions(std::string name, const HttpAddress &address,
                                    double share) const
    {
        HttpServerOptions server;
        server.name = std::move(name);
        server.host = address.host;
        server.port = address.port;
        server.maxConnections = options.resources.connections(share);
        server.memory = memory;
        server.retryAfter = formatRetryAfter(UnreadRetryAfter);
        if (options.relay.metrics)
            server.unreadHook = countUnread(*options.relay.metrics, server.name);
        // The process runs on one thread, so connections need no strand of their own.
        server.connectionExecutor = [executor = executor] { return executor; };
        return server;
    }

    std::unique_ptr<HttpServer> makeStatusServer(std::string name, const HttpAddress &address,
                                                 const std::string &readyPath)
    {
        HttpServerOptions server = serverOptions(std::move(name), address, StatusShare);
        server.maxBodyBytes = MaxStatusBodyBytes;
        return std::make_unique<HttpServer>(executor, std::move(server), statusHandler(readyPath));
    }

    /// Counts callers' requests without a complete response by their reason.
    std::function<void(const UnansweredRequest &)> unansweredCounter() const
    {
        return [metrics = options.relay.metrics](const UnansweredRequest &request) {
            if (metrics)
                metrics
                    ->counter("gentianramp_relay_unanswered_total",
                              "Connections ended without a complete response",
                              {{"reason", std::string(toString(request.reason))}})
                    .add();
        };
    }

    Result<bool> start()
    {
        HttpServerOptions forCallers
            = serverOptions("callers", options.callerListenAddress, CallerShare);
        forCallers.unansweredHook = unansweredCounter();
        callers = std::make_unique<HttpServer>(executor, std::move(forCallers), relay.handler());
        readiness
            = makeStatusServer("readiness", options.readinessListenAddress, options.readinessPath);
        HttpServerOptions forInstances
            = serverOptions("hand_over", options.helperListenAddress, HelperShare);
        // Without it, the instance that hands over has to take a refusal for a request that may
        // have run.
        forInstances.errorResponseHeaders.add(instance_headers::Verdict,
                                              std::string(toString(gentianramp::Verdict::NotRun)));
        helper = std::make_unique<HttpServer>(executor, std::move(forInstances),
                                              relay.helperHandler());
        std::vector<HttpServer *> servers{callers.get(), readiness.get(), helper.get()};
        if (options.metricsAddress.port != 0) {
            metrics = makeStatusServer("metrics", options.metricsAddress, {});
            servers.push_back(metrics.get());
        }
        for (HttpServer *server : servers) {
            const Result<std::uint16_t> port = server->start();
            if (!port)
                return {port.error(), port.message()};
        }
        MeshOptions meshOptions;
        meshOptions.instance = options.self;
        meshOptions.endpoint = "tcp://" + options.peerListenAddress.value();
        meshOptions.incarnation = Incarnation(options.relay.seed);
        meshOptions.curveEnabled = false;
        meshOptions.metrics = options.relay.metrics;
        mesh = std::make_unique<Mesh>(std::move(meshOptions), [this](ReceivedMessage message) {
            asio::post(executor, [weak = weak_from_this(), message = std::move(message)] {
                const auto self = weak.lock();
                if (self && message.kind == PayloadKind::Peer)
                    self->relay.onPeerMessage(message.sender, message.payload);
                if (self && message.kind == PayloadKind::Registry)
                    self->receiveRegistryMessage(message);
            });
        });
        asio::co_spawn(executor, runFeed(), asio::detached);
        return true;
    }

    void receiveRegistryMessage(const ReceivedMessage &message)
    {
        FeedOutput output = feed.onMessage(message.sender, message.payload, RuntimeClock::now());
        if (!output.peerMessage.empty())
            return relay.onPeerMessage(message.sender, output.peerMessage);
        applyFeedOutput(std::move(output));
    }

    /// Answers readiness probes on @p readyPath, if it is not empty, and /metrics.
    HttpHandler statusHandler(const std::string &readyPath)
    {
        return [weak = weak_from_this(),
                readyPath](HttpRequest request, ResponseWriter &writer) -> asio::awaitable<void> {
            const auto self = weak.lock();
            HttpResponse response;
            response.status = 404;
            if (self && !readyPath.empty() && request.path() == readyPath)
                response.status = self->ready() ? 200 : 503;
            if (self && request.path() == "/metrics" && self->options.relay.metrics) {
                response.status = 200;
                response.headers.add("Content-Type", "text/plain; version=0.0.4");
                response.body = self->options.relay.metrics->prometheusText();
            }
            co_await writer.send(std::move(response));
        };
    }

    bool ready() const { return relay.hasRoutingData() && !leaving; }

    asio::awaitable<void> runFeed()
    {
        const auto self = shared_from_this();
        TimePoint nextFlushAt{};
        while (!stopping) {
            const TimePoint now = RuntimeClock::now();
            feed.setDelays(relay.delays(now));
            if (usage)
                feed.setUsageCompleteAt(relay.oldestUncounted().value_or(now));
            feed.addSpeeds(relay.takeSpeedObservations());
            relay.resendPeerMessages(now);
            relay.checkReach(now);
            noteCutOff(relay.isCutOff());
            feed.setWantsVersions(!relay.knowsVersions());
            feed.setRefusedParts(relay.refusedParts(now));
            if (const auto age = feed.listingAge(now))
                relay.confirmListing(now - *age);
            feed.setLimits(relay.takeStatedLimits(now), relay.demand(now));
            applyFeedOutput(feed.tick(now));
            if (now >= nextFlushAt) {
                flushLog();
                nextFlushAt = now + LogFlushInterval;
            }
            co_await sleepFor(FeedTickInterval);
        }
    }

    void noteCutOff(bool isCutOff)
    {
        feed.setCutOff(isCutOff);
        if (std::exchange(cutOff, isCutOff) != isCutOff)
            logWarning(isCutOff ? "servers_lost" : "servers_regained",
                       {{"list_age_ms", ageMs(feed.listingAge(RuntimeClock::now()))}});
    }

    void applyFeedOutput(FeedOutput output)
    {
        const bool hadRoutingData = relay.hasRoutingData();
        if (output.reconnect)
            mesh->reconnect(*output.reconnect);
        if (output.requestTo)
            mesh->send(*output.requestTo, PayloadKind::Registry, std::move(output.request),
                       MessageTtl);
        if (output.declaration)
            applyDeclaration(*output.declaration);
        if (output.listing) {
            logInfo("backend_list",
                    {{"servers", output.listing->servers.size()},
                     {"digest", output.listing->digest},
                     {"age_ms", toMilliseconds(RuntimeClock::now() - output.listing->takenAt)}});
            relay.publish(*output.listing);
        }
        if (output.versions)
            relay.publish(*output.versions);
        if (output.loads)
            relay.publish(*output.loads);
        relay.publish(output.crashes);
        relay.setInstances(feed.entryProcessCount());
        if (output.limits)
            relay.publish(*output.limits);
        if (output.peers)
            publishPeers(*output.peers);
        if (!hadRoutingData && relay.hasRoutingData())
            logInfo("ready", {{"declaration", relay.declarationNumber()}});
    }

    void publishPeers(const std::vector<PeerInstance> &listed)
    {
        const std::vector<PeerInstance> before = peers.peers();
        peers.publish(listed, RuntimeClock::now());
        const std::vector<PeerInstance> known = peers.peers();
        if (known == before)
            return;
        const auto cutOff = std::count_if(known.begin(), known.end(),
                                          [](const PeerInstance &peer) { return peer.cutOff; });
        logInfo("peers", {{"known", known.size()}, {"cut_off", cutOff}});
    }

    /// A process without a declaration waits for the registry: another instance may be as far
    /// behind as what was in force before a restart.
    void takeOffered(const RawDeclaration &offered)
    {
        if (relay.declarationNumber() == 0
            || !isNewerDeclaration(offered.number, relay.declarationNumber()))
            return;
        const Result<Declaration> declaration = options.parseDeclaration(offered);
        if (declaration && declaration->number != offered.number) {
            logError("declaration_misnumbered",
                     {{"number", offered.number}, {"content", declaration->number}});
            return;
        }
        applyDeclaration(offered);
        feed.noteDeclaration(relay.declarationNumber());
    }

    void applyDeclaration(const RawDeclaration &stored)
    {
        Result<Declaration> declaration = options.parseDeclaration(stored);
        if (!declaration) {
            logError("declaration_unreadable",
                     {{"number", stored.number}, {"reason", declaration.message()}});
            return;
        }
        const CallerLimits &limits = declaration->limits;
        callers->setRequestLimits(limits.maxHeaderBytes, limits.maxBodyBytes, limits.headerTimeout,
                                  limits.idleTimeout);
        helper->setRequestLimits(limits.maxHeaderBytes + HandOverHeaderBytes, limits.maxBodyBytes,
                                 limits.headerTimeout, limits.idleTimeout);
        logInfo("declaration_in_force",
                {{"number", stored.number},
                 {"routes", declaration->routes.size()},
                 {"confirmed_ms", ageMs(feed.declarationAge(RuntimeClock::now()))}});
        relay.publish(std::move(declaration).value());
        if (relay.declarationNumber() == stored.number)
            heldDeclaration = stored;
    }

    /// Requests of callers and of other instances that have no answer yet. Those that are being
    /// read count too: a process that ended meanwhile cut them off without an answer.
    std::size_t unansweredRequests() const
    {
        return callers->unansweredRequests() + helper->unansweredRequests();
    }

    asio::awaitable<void> leave(std::function<void()> done)
    {
        const auto self = shared_from_this();
        const TimePoint drainStartedAt = RuntimeClock::now();
        const TimePoint drainDeadline
            = drainStartedAt + options.gracePeriod / (DrainSixthsOfGrace + 1) * DrainSixthsOfGrace;
        leaving = true;
        logInfo("leaving",
                {{"active", callers->activeRequests()}, {"connections", callers->connections()}});
        co_await sleepFor(LongRequestRefusalDelay);
        relay.setShutdownDeadline(drainDeadline);
        callers->disableKeepAlive();
        helper->disableKeepAlive();
        co_await sleepFor(StopListeningDelay - LongRequestRefusalDelay);
        callers->stopListening();
        helper->stopListening();
        TimePoint busyAt = RuntimeClock::now();
        do {
            co_await sleepFor(DrainCheckInterval);
            if (unansweredRequests() > 0)
                busyAt = RuntimeClock::now();
            // Reports counts of usage while nothing arrives: a request that arrives during a wait
            // after this loop would be cut off.
            if (usage && unansweredRequests() == 0)
                feed.hurry();
        } while (RuntimeClock::now() < drainDeadline
                 && RuntimeClock::now() - busyAt < QuietBeforeEnd);
        if (unansweredRequests() > 0) {
            relay.expireAll();
            co_await sleepFor(FinalAnswersDelay);
        }
        logInfo("left",
                {{"active", unansweredRequests()},
                 {"after_ms", toMilliseconds(RuntimeClock::now() - drainStartedAt)}});
        stopping = true;
        done();
    }

    asio::any_io_executor executor;
    RelayNodeOptions options;
    std::shared_ptr<MemoryBudget> memory;
    std::shared_ptr<CrashEvidence> crashes;
    std::optional<UsageCounter> usage; ///< Empty: customers' requests are not counted.
    RegistryFeed feed;
    PeerGroup peers;
    RelayService relay;
    std::unique_ptr<HttpServer> callers;
    std::unique_ptr<HttpServer> readiness;
    std::unique_ptr<HttpServer> helper; ///< For requests of other instances.
    std::unique_ptr<HttpServer> metrics;
    RawDeclaration heldDeclaration; ///< In force; as the registry stores it.
    bool cutOff = false;            ///< No backend server answers.
    bool leaving = false;
    bool stopping = false;
    std::unique_ptr<Mesh> mesh; ///< Declared last, so that its thread ends first.
};

RelayNode::RelayNode(asio::any_io_executor executor, RelayNodeOptions options)
    : m_state(std::make_shared<State>(std::move(executor), std::move(options)))
{ }

RelayNode::~RelayNode()
{
    m_state->stopping = true;
    m_state->mesh.reset();
}

Result<bool> RelayNode::start()
{
    return m_state->start();
}

void RelayNode::setSeeds(std::vector<InstanceId> seeds)
{
    m_state->feed.setSeeds(std::move(seeds));
}

void RelayNode::drain(std::function<void()> done)
{
    if (!m_state->leaving)
        asio::co_spawn(m_state->executor, m_state->leave(std::move(done)), asio::detached);
}

} // namespace gentianramp
