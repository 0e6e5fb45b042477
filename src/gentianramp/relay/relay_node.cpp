#include <gentianramp/relay/relay_node.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <gentianramp/core/log.hpp>
#include <gentianramp/wire/mesh.hpp>

namespace gentianramp {

namespace asio = boost::asio;

namespace {

constexpr Duration FeedTick = std::chrono::milliseconds(50);
constexpr Duration MessageTtl = std::chrono::seconds(1);
/// What is sent later than 3 s after the signal has to be answered before the process ends.
constexpr Duration AnswerAllWhileLeaving = std::chrono::milliseconds(2800);
/// New connections come until two questions in a row, a second apart, found it not ready.
constexpr Duration AcceptWhileLeaving = std::chrono::milliseconds(4000);
/// For final answers to reach callers.
constexpr Duration LastAnswersTime = std::chrono::milliseconds(150);
/// Answers in time before the process would be killed: a sixth of the grace is left over.
constexpr int GraceSixths = 5;
constexpr Duration LeaveCheckInterval = std::chrono::milliseconds(50);
/// Of the 4,100 descriptors of the smallest instances; the rest is for backend servers and files.
constexpr std::size_t MaxCallerConnections = 2500;
constexpr Duration LogFlushInterval = std::chrono::milliseconds(250);

} // namespace

struct RelayNode::State : std::enable_shared_from_this<RelayNode::State>
{
    State(asio::any_io_executor given, RelayNodeOptions chosen)
        : executor(std::move(given))
        , options(std::move(chosen))
        , feed({.dataCentre = options.relay.dataCentre,
                .seeds = options.seeds,
                .seed = options.relay.seed},
               RuntimeClock::now())
        , relay(executor, relayOptions())
    { }

    RelayOptions relayOptions()
    {
        RelayOptions made = options.relay;
        made.declarationAge = [this] { return feed.declarationAge(RuntimeClock::now()); };
        made.listingAge = [this] { return feed.listingAge(RuntimeClock::now()); };
        return made;
    }

    std::unique_ptr<HttpServer> makeServer(const HttpAddress &address, HttpHandler handler) const
    {
        HttpServerOptions server;
        server.host = address.host;
        server.port = address.port;
        server.maxConnections = MaxCallerConnections;
        // All work of the process is on one thread: connections need no strand of their own.
        server.connectionExecutor = [executor = executor] { return executor; };
        return std::make_unique<HttpServer>(executor, std::move(server), std::move(handler));
    }

    Result<bool> start()
    {
        callers = makeServer(options.callers, relay.handler());
        readiness = makeServer(options.readiness, pages(options.readinessPath));
        std::vector<HttpServer *> servers{callers.get(), readiness.get()};
        if (options.metricsAddress.port != 0) {
            metrics = makeServer(options.metricsAddress, pages({}));
            servers.push_back(metrics.get());
        }
        for (HttpServer *server : servers) {
            const Result<std::uint16_t> port = server->start();
            if (!port)
                return {port.error(), port.message()};
        }
        MeshOptions mesh;
        mesh.instance = options.self;
        mesh.incarnation = Incarnation(options.relay.seed);
        mesh.keyed = false;
        mesh.metrics = options.relay.metrics;
        link = std::make_unique<Mesh>(std::move(mesh), [this](ReceivedMessage message) {
            asio::post(executor, [weak = weak_from_this(), message = std::move(message)] {
                if (const auto self = weak.lock())
                    self->perform(
                        self->feed.onMessage(message.sender, message.payload, RuntimeClock::now()));
            });
        });
        asio::co_spawn(executor, runFeed(), asio::detached);
        return true;
    }

    HttpHandler pages(const std::string &readyPath)
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

    bool ready() const { return relay.supplied() && !leaving; }

    asio::awaitable<void> runFeed()
    {
        const auto self = shared_from_this();
        TimePoint flushDue{};
        while (!stopping) {
            const TimePoint now = RuntimeClock::now();
            perform(feed.tick(now));
            if (now >= flushDue) {
                flushLog();
                flushDue = now + LogFlushInterval;
            }
            co_await sleepFor(FeedTick);
        }
    }

    void perform(FeedOutput output)
    {
        const bool wasSupplied = relay.supplied();
        if (output.reconnect)
            link->reconnect(*output.reconnect);
        if (output.requestTo)
            link->send(*output.requestTo, PayloadKind::Registry, std::move(output.request),
                       MessageTtl);
        if (output.declaration)
            putInForce(*output.declaration);
        if (output.listing) {
            logInfo("backend_list",
                    {{"servers", output.listing->servers.size()},
                     {"digest", output.listing->digest},
                     {"age_ms", toMilliseconds(RuntimeClock::now() - output.listing->takenAt)}});
            relay.publish(*output.listing);
        }
        if (output.loads)
            relay.publish(*output.loads);
        relay.setInstances(feed.entryProcessCount());
        if (!wasSupplied && relay.supplied())
            logInfo("ready", {{"declaration", relay.declarationNumber()}});
    }

    void putInForce(const RawDeclaration &stored)
    {
        Result<Declaration> declaration = options.parseDeclaration(stored);
        if (!declaration) {
            logError("declaration_unreadable",
                     {{"number", stored.number}, {"reason", declaration.message()}});
            return;
        }
        const CallerLimits &limits = declaration->limits;
        callers->setCallerBounds(limits.maxHeaderBytes, limits.maxBodyBytes, limits.headerTimeout,
                                 limits.idleTimeout);
        logInfo("declaration_in_force",
                {{"number", stored.number}, {"routes", declaration->routes.size()}});
        relay.publish(std::move(declaration).value());
    }

    asio::awaitable<void> leave(std::function<void()> done)
    {
        const auto self = shared_from_this();
        const TimePoint began = RuntimeClock::now();
        const TimePoint latest = began + options.grace / (GraceSixths + 1) * GraceSixths;
        leaving = true;
        logInfo("leaving",
                {{"active", callers->activeRequests()}, {"connections", callers->connections()}});
        co_await sleepFor(AnswerAllWhileLeaving);
        relay.setEnd(latest);
        callers->closeAfterAnswers();
        co_await sleepFor(AcceptWhileLeaving - AnswerAllWhileLeaving);
        callers->stopListening();
        do {
            co_await sleepFor(LeaveCheckInterval);
        } while (RuntimeClock::now() < latest && callers->activeRequests() > 0);
        if (callers->activeRequests() > 0) {
            relay.expireAll();
            co_await sleepFor(LastAnswersTime);
        }
        logInfo("left",
                {{"active", callers->activeRequests()},
                 {"after_ms", toMilliseconds(RuntimeClock::now() - began)}});
        stopping = true;
        done();
    }

    asio::any_io_executor executor;
    RelayNodeOptions options;
    RegistryFeed feed;
    RelayService relay;
    std::unique_ptr<HttpServer> callers;
    std::unique_ptr<HttpServer> readiness;
    std::unique_ptr<HttpServer> metrics;
    bool leaving = false;
    bool stopping = false;
    std::unique_ptr<Mesh> link; ///< Last, so that its thread ends first.
};

RelayNode::RelayNode(asio::any_io_executor executor, RelayNodeOptions options)
    : m_state(std::make_shared<State>(std::move(executor), std::move(options)))
{ }

RelayNode::~RelayNode()
{
    m_state->stopping = true;
    m_state->link.reset();
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
