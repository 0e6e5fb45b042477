#include "authority_controller.hpp"

#include "authority_engine_client.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gentianramp/core/log.hpp>
#include <gentianramp/fleet/fleet_table.hpp>
#include <gentianramp/planner/demand_summary.hpp>
#include <map>
#include <set>
#include <utility>

namespace gentianramp {

namespace asio = boost::asio;

namespace {

/// Time to send all copies of the release message, one at each tick.
constexpr Duration ReleaseSendTime = std::chrono::milliseconds(100);
constexpr Duration PlanInterval = std::chrono::seconds(1);
constexpr Duration TableInterval = std::chrono::seconds(1);
constexpr Duration FirstTableDelay = std::chrono::milliseconds(300); // For the first reports.
/// Successive polls without an answer after which a backend server counts as unreachable.
constexpr int MaxMissedPolls = 3;
constexpr std::int64_t MillisecondsInSecond = 1000;

/// A backend server that the lease holder polls.
struct MonitoredBackend
{
    BackendDeclaration declared;
    EngineReport report;
    TimePoint lastReport;
    TimePoint roleSince;
    bool everReported = false;
    bool polling = false;
    int missedPolls = 0;

    bool reachable() const { return everReported && missedPolls < MaxMissedPolls; }
};

LeaseOptions leaseOptions(const AuthorityOptions &options)
{
    LeaseOptions lease;
    lease.self = options.settings.instance;
    lease.dataCentre = options.settings.dataCentre;
    lease.incarnation = options.incarnation;
    lease.instances.push_back({options.settings.instance, options.settings.dataCentre});
    for (const PeerSettings &peer : options.settings.peers) {
        if (peer.kind == ProcessKind::Control && peer.instance != options.settings.instance)
            lease.instances.push_back({peer.instance, peer.dataCentre});
    }
    lease.fencingFloor = FencingNumber(
        static_cast<std::uint64_t>(wallClockMs() / MillisecondsInSecond) * FencingBlockSize);
    lease.seed = options.seed;
    return lease;
}

/// Receivers of the fleet table: the entry instances of this data centre, and the members of the
/// lease groups of all data centres, which answer operators' requests.
std::vector<InstanceId> fleetTableReaders(const NodeSettings &settings)
{
    std::set<InstanceId> readers;
    std::set<DataCentreId> sites{settings.dataCentre};
    std::vector<PlacedInstance> control{{settings.instance, settings.dataCentre}};
    for (const PeerSettings &peer : settings.peers) {
        if (peer.kind == ProcessKind::Control && peer.instance != settings.instance) {
            control.push_back({peer.instance, peer.dataCentre});
            sites.insert(peer.dataCentre);
        } else if (peer.dataCentre == settings.dataCentre && peer.kind == ProcessKind::Entry) {
            readers.insert(peer.instance);
        }
    }
    for (const DataCentreId &site : sites) {
        const std::vector<InstanceId> group = leaseGroup(site, control);
        readers.insert(group.begin(), group.end());
    }
    return {readers.begin(), readers.end()};
}

BackendPhase fleetPhase(const MonitoredBackend &backend)
{
    if (!backend.reachable())
        return backend.everReported ? BackendPhase::Unreachable : BackendPhase::Serving;
    switch (backend.report.phase) {
    case EnginePhase::Changing:
        return BackendPhase::Changing;
    case EnginePhase::Draining:
        return BackendPhase::Draining;
    case EnginePhase::Leaving:
        return BackendPhase::Leaving;
    case EnginePhase::Serving:
        break;
    }
    return backend.declared.drained ? BackendPhase::Draining : BackendPhase::Serving;
}

bool sameTableEntry(const EngineReport &left, const EngineReport &right)
{
    return left.phase == right.phase && left.role == right.role && left.versions == right.versions
        && left.adapters == right.adapters;
}

} // namespace

struct AuthorityController::State : std::enable_shared_from_this<AuthorityController::State>
{
    explicit State(AuthorityOptions controllerOptions);

    void updateLease(TimePoint now);
    void becomeHolder(const HeldLease &lease, TimePoint now);
    void poll(const BackendId &backend);
    asio::awaitable<void> pollOnce(BackendId backend, HttpAddress address);
    void onReport(const BackendId &backend, EngineReport report, TimePoint requestedAt);
    void sendOrder(const SentOrder &order);
    asio::awaitable<void> deliverOrder(SentOrder order, HttpAddress address, TimePoint submittedAt);
    void reconcile(TimePoint now);
    void planRoles(TimePoint now);
    void planService(const ServiceDeclaration &service, TimePoint now);
    void publishFleet(TimePoint now);
    FleetView fleetView() const;
    std::vector<EngineReport> engineReports() const;
    double loadRate() const;
    void record(EventKind kind, const std::string &peer, const std::string &detail,
                FencingNumber fencing);

    AuthorityOptions options;
    LeaseService lease;
    OrderGate gate;
    HttpClient http;
    AuthorityEngineClient engineClient;
    FleetSender fleetSender;
    DemandSummary demand;
    DeclaredConfiguration configuration;
    std::vector<InstanceId> tableReaders;
    std::map<BackendId, MonitoredBackend> backends;
    std::map<BackendId, EngineRole> desiredRoles; ///< Kept for the current lease only.
    std::map<ServiceId, RolePolicy> policies;
    LoadPacer pacer;
    std::optional<HeldLease> currentLease;
    TimePoint nextPollAt;
    TimePoint nextPlanAt;
    TimePoint nextTableAt;
    std::optional<TimePoint> releaseEndsAt;
    std::function<void()> releaseDone;
};

AuthorityController::State::State(AuthorityOptions controllerOptions)
    : options(std::move(controllerOptions))
    , lease(
          leaseOptions(options),
          [this](const InstanceId &to, std::string payload) {
              options.send(to, PayloadKind::Lease, std::move(payload), LeaseMessageTtl);
          },
          RuntimeClock::now())
    , gate(options.settings.dataCentre, LeaseOptions{}.orderTimeout,
           {.clock = [] { return RuntimeClock::now(); },
            .lease = [this](TimePoint now) { return lease.held(now); },
            .send = [this](const SentOrder &order) { sendOrder(order); },
            .raiseFencing
            = [this](FencingNumber seen) { lease.raiseFencing(seen, RuntimeClock::now()); }})
    , engineClient(http, LeaseOptions{}.orderTimeout)
    , fleetSender(options.settings.dataCentre)
    , tableReaders(fleetTableReaders(options.settings))
{ }

void AuthorityController::State::record(EventKind kind, const std::string &peer,
                                        const std::string &detail, FencingNumber fencing)
{
    if (options.timeline == nullptr)
        return;
    options.timeline->record(
        {.kind = kind, .term = fencing.value(), .peer = peer, .detail = detail});
}

void AuthorityController::State::updateLease(TimePoint now)
{
    const std::optional<HeldLease> held = lease.held(now);
    const bool same = held && currentLease && held->fencing == currentLease->fencing;
    if (!same && currentLease) {
        record(EventKind::LeaseLost, {}, {}, currentLease->fencing);
        logInfo("lease_lost", {{"fencing", currentLease->fencing.value()}});
    }
    if (!same && held)
        becomeHolder(*held, now);
    currentLease = held;
    if (options.metrics != nullptr) {
        options.metrics->gauge("gentianramp_lease_held", "1 while this process orders the engines")
            .set(held ? 1 : 0);
    }
}

void AuthorityController::State::becomeHolder(const HeldLease &held, TimePoint now)
{
    record(EventKind::LeaseAcquired, {}, {}, held.fencing);
    logInfo("lease_acquired", {{"fencing", held.fencing.value()}});
    // The desired roles start as those that the engines report; a policy may change them.
    desiredRoles.clear();
    policies.clear();
    nextPollAt = now;
    nextTableAt = now + FirstTableDelay;
    nextPlanAt = now + PlanInterval;
}

void AuthorityController::State::poll(const BackendId &backend)
{
    MonitoredBackend &target = backends.at(backend);
    if (std::exchange(target.polling, true))
        return;
    asio::co_spawn(options.executor,
                   pollOnce(backend, {target.declared.host, target.declared.port}), asio::detached);
}

asio::awaitable<void> AuthorityController::State::pollOnce(BackendId backend, HttpAddress address)
{
    const auto self = shared_from_this();
    const TimePoint requestedAt = RuntimeClock::now();
    Result<EngineReport> report = co_await engineClient.state(backend, std::move(address));
    const auto found = backends.find(backend);
    if (found == backends.end())
        co_return;
    found->second.polling = false;
    if (report) {
        onReport(backend, std::move(report).value(), requestedAt);
        co_return;
    }
    if (++found->second.missedPolls == MaxMissedPolls)
        nextTableAt = RuntimeClock::now();
    if (found->second.missedPolls >= MaxMissedPolls)
        gate.onUnreachable(backend, requestedAt);
}

void AuthorityController::State::onReport(const BackendId &backend, EngineReport report,
                                          TimePoint requestedAt)
{
    const TimePoint now = RuntimeClock::now();
    MonitoredBackend &target = backends.at(backend);
    const bool roleChanged = !target.everReported || target.report.role != report.role
        || target.report.phase == EnginePhase::Changing;
    if (roleChanged)
        target.roleSince = now;
    if (!target.reachable() || !sameTableEntry(target.report, report))
        nextTableAt = std::min(nextTableAt, now);
    target.report = std::move(report);
    target.lastReport = now;
    target.everReported = true;
    target.missedPolls = 0;
    if (currentLease)
        desiredRoles.try_emplace(backend, target.report.role);
    gate.onReport(backend, target.report.fencing, requestedAt);
    reconcile(now);
}

void AuthorityController::State::sendOrder(const SentOrder &order)
{
    const auto found = backends.find(order.order.backend);
    if (found == backends.end())
        return;
    record(EventKind::OrderSent, order.order.backend.value(),
           std::string(toString(order.order.kind)) + " " + order.orderId, order.fencing);
    if (options.metrics != nullptr) {
        options.metrics
            ->counter("gentianramp_orders_total", "Orders sent to engines",
                      {{"kind", std::string(toString(order.order.kind))}})
            .add();
    }
    const BackendDeclaration &declared = found->second.declared;
    asio::co_spawn(options.executor,
                   deliverOrder(order, {declared.host, declared.port}, RuntimeClock::now()),
                   asio::detached);
}

asio::awaitable<void> AuthorityController::State::deliverOrder(SentOrder order, HttpAddress address,
                                                               TimePoint submittedAt)
{
    const auto self = shared_from_this();
    const FencingNumber leaseNumber = currentLease ? currentLease->fencing : FencingNumber();
    // Called directly before the first byte is sent, as the lease may have ended while connecting.
    // AuthorityEngineClient::send() abandons the request after the other half of the timeout.
    const auto maySend = [this, submittedAt, leaseNumber] {
        const TimePoint now = RuntimeClock::now();
        const std::optional<HeldLease> held = lease.held(now);
        return held && held->fencing == leaseNumber
            && now - submittedAt < LeaseOptions{}.orderTimeout / 2;
    };
    const OrderResult result = co_await engineClient.send(order, std::move(address), maySend);
    const BackendId &backend = order.order.backend;
    if (!result.sent)
        gate.onNotSent(backend, order.orderId);
    if (!result.answered)
        co_return;
    record(EventKind::OrderAnswered, backend.value(),
           (result.accepted ? "accepted " : "refused ") + order.orderId, order.fencing);
    gate.onAnswer(backend, order.orderId, result.fencing.value_or(order.fencing));
    if (currentLease && backends.contains(backend))
        poll(backend);
}

std::vector<EngineReport> AuthorityController::State::engineReports() const
{
    std::vector<EngineReport> reports;
    for (const auto &[backend, target] : backends) {
        if (target.reachable())
            reports.push_back(target.report);
    }
    return reports;
}

double AuthorityController::State::loadRate() const
{
    // Each data centre gets a fixed share as if all were loading, because no data centre can know
    // the demand of the others during a network partition.
    std::vector<WeightDemand> demands;
    demands.reserve(configuration.sites.size());
    for (const DataCentreId &site : configuration.sites)
        demands.push_back({site, 0, configuration.weightStoreBytesPerSecond});
    const auto shares = shareWeightStore(configuration.weightStoreBytesPerSecond, demands);
    const auto own = shares.find(options.settings.dataCentre);
    return own == shares.end() ? 0 : own->second;
}

void AuthorityController::State::reconcile(TimePoint now)
{
    if (!lease.held(now))
        return;
    const auto desired = desiredEngines(configuration, options.settings.dataCentre, desiredRoles);
    const double rate = loadRate();
    const auto orders = nextOrders(
        desired, engineReports(), options.limits,
        [&](const BackendId &, std::uint64_t bytes) { return pacer.tryStart(bytes, rate, now); });
    for (const PlannedOrder &order : orders)
        gate.trySend(order);
}

void AuthorityController::State::planRoles(TimePoint now)
{
    if (!options.makeRolePolicy)
        return;
    for (const ServiceDeclaration &service : configuration.services) {
        if (service.kind == ServiceKind::Model)
            planService(service, now);
    }
}

void AuthorityController::State::planService(const ServiceDeclaration &service, TimePoint now)
{
    PlanInput input{.now = now,
                    .engines = {},
                    .demand = demand.total(service.id, now),
                    .settings = configuration.planner};
    const FleetView view = fleetView();
    for (const BackendView &backend : view.backends) {
        const auto desired = desiredRoles.find(backend.id);
        if (backend.service != service.id || desired == desiredRoles.end())
            continue;
        input.engines.push_back({.view = backend,
                                 .targetRole = desired->second,
                                 .roleSince = backends.at(backend.id).roleSince});
    }
    if (input.engines.empty())
        return;
    auto &policy = policies[service.id];
    if (!policy)
        policy = options.makeRolePolicy();
    for (const RoleChange &change : policy(input)) {
        if (!desiredRoles.contains(change.backend))
            continue;
        desiredRoles[change.backend] = change.role;
        record(EventKind::RoleChangeStarted, change.backend.value(), {},
               currentLease ? currentLease->fencing : FencingNumber());
    }
}

FleetView AuthorityController::State::fleetView() const
{
    FleetView view = declaredFleet(configuration, options.settings.dataCentre);
    for (BackendView &backend : view.backends) {
        const auto found = backends.find(backend.id);
        if (found == backends.end())
            continue;
        const MonitoredBackend &target = found->second;
        backend.phase = fleetPhase(target);
        if (!target.everReported || backend.models.empty())
            continue;
        backend.role = target.report.role;
        backend.adapters = target.report.adapters;
        backend.models.clear();
        for (const auto &[model, versions] : target.report.versions) {
            for (const std::string &version : versions)
                backend.models.push_back({model, version});
        }
    }
    return view;
}

void AuthorityController::State::publishFleet(TimePoint now)
{
    nextTableAt = now + TableInterval;
    const std::string payload = fleetSender.update(fleetView(), currentLease->fencing);
    for (const InstanceId &reader : tableReaders)
        options.send(reader, PayloadKind::Fleet, payload, FleetMessageTtl);
}

AuthorityController::AuthorityController(AuthorityOptions options)
    : m_state(std::make_shared<State>(std::move(options)))
{ }

AuthorityController::~AuthorityController() = default;

void AuthorityController::onConfiguration(const DeclaredConfiguration &configuration)
{
    State &state = *m_state;
    state.configuration = configuration;
    std::map<BackendId, MonitoredBackend> backends;
    for (const BackendDeclaration &declared : configuration.backends) {
        if (declared.site != state.options.settings.dataCentre)
            continue;
        const auto known = state.backends.find(declared.id);
        MonitoredBackend &target = backends[declared.id];
        if (known != state.backends.end()) {
            target = known->second;
            if (target.declared.role != declared.role)
                state.desiredRoles[declared.id] = declared.role;
        }
        target.declared = declared;
    }
    state.backends = std::move(backends);
    std::vector<BackendId> engines;
    engines.reserve(state.backends.size());
    for (const auto &[backend, target] : state.backends)
        engines.push_back(backend);
    state.gate.setEngines(engines);
    state.policies.clear();
    state.nextTableAt = RuntimeClock::now();
}

void AuthorityController::onMessage(const ReceivedMessage &message)
{
    State &state = *m_state;
    const TimePoint now = RuntimeClock::now();
    if (message.kind == PayloadKind::Lease) {
        state.lease.onMessage(message.sender, message.payload, now);
        state.updateLease(now);
    } else if (message.kind == PayloadKind::Demand) {
        if (const auto sample = decodeDemand(message.payload))
            state.demand.add(*sample, now);
    } else if (message.kind == PayloadKind::Fleet && FleetSender::isRequest(message.payload)) {
        const std::string whole
            = state.currentLease ? state.fleetSender.wholeTable() : std::string();
        if (!whole.empty())
            state.options.send(message.sender, PayloadKind::Fleet, whole, FleetMessageTtl);
    }
}

void AuthorityController::tick(TimePoint now)
{
    State &state = *m_state;
    state.lease.tick(now);
    state.updateLease(now);
    if (state.releaseEndsAt && now >= *state.releaseEndsAt && state.releaseDone)
        std::exchange(state.releaseDone, nullptr)();
    if (!state.currentLease)
        return;
    if (now >= state.nextPollAt) {
        state.nextPollAt = now + state.options.pollInterval;
        for (const auto &[backend, target] : state.backends)
            state.poll(backend);
    }
    if (now >= state.nextPlanAt) {
        state.nextPlanAt = now + PlanInterval;
        state.planRoles(now);
        state.reconcile(now);
        state.http.closeIdle();
    }
    if (now >= state.nextTableAt)
        state.publishFleet(now);
}

void AuthorityController::release(std::function<void()> done)
{
    State &state = *m_state;
    const TimePoint now = RuntimeClock::now();
    const TimePoint arrived = std::max(now, state.gate.ordersArrivedAt());
    state.lease.release(now, arrived);
    state.releaseEndsAt = arrived + ReleaseSendTime;
    state.releaseDone = std::move(done);
    state.updateLease(now);
}

std::optional<HeldLease> AuthorityController::held(TimePoint now) const
{
    return m_state->lease.held(now);
}

std::vector<EngineOverview> AuthorityController::engines() const
{
    std::vector<EngineOverview> overviews;
    for (const auto &[backend, target] : m_state->backends) {
        const auto desired = m_state->desiredRoles.find(backend);
        EngineOverview &overview = overviews.emplace_back();
        overview.report = target.report;
        overview.report.backend = backend;
        overview.desiredRole
            = desired == m_state->desiredRoles.end() ? target.declared.role : desired->second;
        overview.drained = target.declared.drained;
        overview.reachable = target.reachable();
        overview.lastReport = target.lastReport;
    }
    return overviews;
}

} // namespace gentianramp
