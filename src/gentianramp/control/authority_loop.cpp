#include "authority_loop.hpp"

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

constexpr Duration ReleaseTime = std::chrono::milliseconds(100); // for the copies of the message
constexpr Duration PlanInterval = std::chrono::seconds(1);
constexpr Duration ConfirmInterval = std::chrono::seconds(1);
constexpr Duration FirstTableDelay = std::chrono::milliseconds(300); // for the first reports
constexpr int LostPolls = 3; ///< Polls without an answer after which a server is unreachable.
constexpr std::int64_t MillisecondsInSecond = 1000;

/// A backend server under the eyes of the holder.
struct Watched
{
    BackendDeclaration declared;
    EngineReport report;
    TimePoint lastReport;
    TimePoint roleSince;
    bool everReported = false;
    bool polling = false;
    int lostPolls = 0;

    bool reachable() const { return everReported && lostPolls < LostPolls; }
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
        static_cast<std::uint64_t>(wallClockMs() / MillisecondsInSecond) * FencingBlock);
    lease.seed = options.seed;
    return lease;
}

/// Entry instances of the data centre, and the lease groups of all, which answer operators.
std::vector<InstanceId> readersOfTable(const NodeSettings &settings)
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

BackendPhase fleetPhase(const Watched &watched)
{
    if (!watched.reachable())
        return watched.everReported ? BackendPhase::Unreachable : BackendPhase::Serving;
    switch (watched.report.phase) {
    case EnginePhase::Changing:
        return BackendPhase::Changing;
    case EnginePhase::Draining:
        return BackendPhase::Draining;
    case EnginePhase::Leaving:
        return BackendPhase::Leaving;
    case EnginePhase::Serving:
        break;
    }
    return watched.declared.drained ? BackendPhase::Draining : BackendPhase::Serving;
}

bool sameInTable(const EngineReport &left, const EngineReport &right)
{
    return left.phase == right.phase && left.role == right.role && left.versions == right.versions
        && left.adapters == right.adapters;
}

} // namespace

struct AuthorityLoop::State : std::enable_shared_from_this<AuthorityLoop::State>
{
    explicit State(AuthorityOptions givenOptions);

    void onLeaseChange(TimePoint now);
    void becomeHolder(const HeldLease &lease, TimePoint now);
    void poll(const BackendId &backend);
    asio::awaitable<void> pollOnce(BackendId backend, HttpAddress address);
    void onReport(const BackendId &backend, EngineReport report, TimePoint requestedAt);
    void sendOrder(const SentOrder &order);
    asio::awaitable<void> deliverOrder(SentOrder order, HttpAddress address, TimePoint handedAt);
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
    AuthorityEngineClient engines;
    FleetSender fleet;
    DemandSummary demand;
    DeclaredConfiguration configuration;
    std::vector<InstanceId> tableReaders;
    std::map<BackendId, Watched> watched;
    std::map<BackendId, EngineRole> roles; ///< Wanted roles under the present lease.
    std::map<ServiceId, RolePolicy> policies;
    LoadPacer pacer;
    std::optional<HeldLease> current;
    TimePoint nextPoll;
    TimePoint nextPlan;
    TimePoint nextConfirm;
    std::optional<TimePoint> releasedAt;
    std::function<void()> releaseDone;
};

AuthorityLoop::State::State(AuthorityOptions givenOptions)
    : options(std::move(givenOptions))
    , lease(
          leaseOptions(options),
          [this](const InstanceId &to, std::string payload) {
              options.send(to, PayloadKind::Lease, std::move(payload), LeaseMessageTtl);
          },
          RuntimeClock::now())
    , gate(options.settings.dataCentre, LeaseOptions{}.orderFlight,
           {.clock = [] { return RuntimeClock::now(); },
            .lease = [this](TimePoint now) { return lease.held(now); },
            .send = [this](const SentOrder &order) { sendOrder(order); },
            .raiseFencing
            = [this](FencingNumber seen) { lease.raiseFencing(seen, RuntimeClock::now()); }})
    , engines(http, LeaseOptions{}.orderFlight)
    , fleet(options.settings.dataCentre)
    , tableReaders(readersOfTable(options.settings))
{ }

void AuthorityLoop::State::record(EventKind kind, const std::string &peer,
                                  const std::string &detail, FencingNumber fencing)
{
    if (options.timeline == nullptr)
        return;
    options.timeline->record(
        {.kind = kind, .term = fencing.value(), .peer = peer, .detail = detail});
}

void AuthorityLoop::State::onLeaseChange(TimePoint now)
{
    const std::optional<HeldLease> held = lease.held(now);
    const bool same = held && current && held->fencing == current->fencing;
    if (!same && current) {
        record(EventKind::LeaseLost, {}, {}, current->fencing);
        logInfo("lease_lost", {{"fencing", current->fencing.value()}});
    }
    if (!same && held)
        becomeHolder(*held, now);
    current = held;
    if (options.metrics != nullptr) {
        options.metrics->gauge("gentianramp_lease_held", "1 while this process orders the engines")
            .set(held ? 1 : 0);
    }
}

void AuthorityLoop::State::becomeHolder(const HeldLease &held, TimePoint now)
{
    record(EventKind::LeaseAcquired, {}, {}, held.fencing);
    logInfo("lease_acquired", {{"fencing", held.fencing.value()}});
    // Roles that engines have are wanted until a policy of this holder says otherwise.
    roles.clear();
    policies.clear();
    nextPoll = now;
    nextConfirm = now + FirstTableDelay;
    nextPlan = now + PlanInterval;
}

void AuthorityLoop::State::poll(const BackendId &backend)
{
    Watched &target = watched.at(backend);
    if (std::exchange(target.polling, true))
        return;
    asio::co_spawn(options.executor,
                   pollOnce(backend, {target.declared.host, target.declared.port}), asio::detached);
}

asio::awaitable<void> AuthorityLoop::State::pollOnce(BackendId backend, HttpAddress address)
{
    const auto self = shared_from_this();
    const TimePoint requestedAt = RuntimeClock::now();
    Result<EngineReport> report = co_await engines.state(backend, std::move(address));
    const auto found = watched.find(backend);
    if (found == watched.end())
        co_return;
    found->second.polling = false;
    if (report) {
        onReport(backend, std::move(report).value(), requestedAt);
        co_return;
    }
    if (++found->second.lostPolls == LostPolls)
        nextConfirm = RuntimeClock::now();
    if (found->second.lostPolls >= LostPolls)
        gate.onUnreachable(backend, requestedAt);
}

void AuthorityLoop::State::onReport(const BackendId &backend, EngineReport report,
                                    TimePoint requestedAt)
{
    const TimePoint now = RuntimeClock::now();
    Watched &target = watched.at(backend);
    const bool roleChanged = !target.everReported || target.report.role != report.role
        || target.report.phase == EnginePhase::Changing;
    if (roleChanged)
        target.roleSince = now;
    if (!target.reachable() || !sameInTable(target.report, report))
        nextConfirm = std::min(nextConfirm, now);
    target.report = std::move(report);
    target.lastReport = now;
    target.everReported = true;
    target.lostPolls = 0;
    if (current)
        roles.try_emplace(backend, target.report.role);
    gate.onReport(backend, target.report.fencing, requestedAt);
    reconcile(now);
}

void AuthorityLoop::State::sendOrder(const SentOrder &order)
{
    const auto found = watched.find(order.order.backend);
    if (found == watched.end())
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

asio::awaitable<void> AuthorityLoop::State::deliverOrder(SentOrder order, HttpAddress address,
                                                         TimePoint handedAt)
{
    const auto self = shared_from_this();
    const FencingNumber leaseNumber = current ? current->fencing : FencingNumber();
    // Asked directly before the first byte: the lease may have ended while connecting.
    const auto mayStart = [this, handedAt, leaseNumber] {
        const TimePoint now = RuntimeClock::now();
        const std::optional<HeldLease> held = lease.held(now);
        return held && held->fencing == leaseNumber
            && now - handedAt < LeaseOptions{}.orderFlight / 2;
    };
    const OrderResult result = co_await engines.send(order, std::move(address), mayStart);
    const BackendId &backend = order.order.backend;
    if (!result.sent)
        gate.onNotSent(backend, order.orderId);
    if (!result.answered)
        co_return;
    record(EventKind::OrderAnswered, backend.value(),
           (result.accepted ? "accepted " : "refused ") + order.orderId, order.fencing);
    gate.onAnswer(backend, order.orderId, result.fencing.value_or(order.fencing));
    if (current && watched.contains(backend))
        poll(backend);
}

std::vector<EngineReport> AuthorityLoop::State::engineReports() const
{
    std::vector<EngineReport> reports;
    for (const auto &[backend, target] : watched) {
        if (target.reachable())
            reports.push_back(target.report);
    }
    return reports;
}

double AuthorityLoop::State::loadRate() const
{
    // Every data centre may load all the time: none hears of the others while it is cut off.
    std::vector<WeightDemand> demands;
    demands.reserve(configuration.sites.size());
    for (const DataCentreId &site : configuration.sites)
        demands.push_back({site, 0, configuration.weightStoreBytesPerSecond});
    const auto shares = shareWeightStore(configuration.weightStoreBytesPerSecond, demands);
    const auto own = shares.find(options.settings.dataCentre);
    return own == shares.end() ? 0 : own->second;
}

void AuthorityLoop::State::reconcile(TimePoint now)
{
    if (!lease.held(now))
        return;
    const auto desired = desiredEngines(configuration, options.settings.dataCentre, roles);
    const double rate = loadRate();
    const auto orders = nextOrders(
        desired, engineReports(), options.limits,
        [&](const BackendId &, std::uint64_t bytes) { return pacer.mayStart(bytes, rate, now); });
    for (const PlannedOrder &order : orders)
        gate.trySend(order);
}

void AuthorityLoop::State::planRoles(TimePoint now)
{
    if (!options.makeRolePolicy)
        return;
    for (const ServiceDeclaration &service : configuration.services) {
        if (service.kind == ServiceKind::Model)
            planService(service, now);
    }
}

void AuthorityLoop::State::planService(const ServiceDeclaration &service, TimePoint now)
{
    PlanInput input{.now = now,
                    .engines = {},
                    .demand = demand.total(service.id, now),
                    .settings = configuration.planner};
    const FleetView view = fleetView();
    for (const BackendView &backend : view.backends) {
        const auto wanted = roles.find(backend.id);
        if (backend.service != service.id || wanted == roles.end())
            continue;
        input.engines.push_back({.view = backend,
                                 .targetRole = wanted->second,
                                 .roleSince = watched.at(backend.id).roleSince});
    }
    if (input.engines.empty())
        return;
    auto &policy = policies[service.id];
    if (!policy)
        policy = options.makeRolePolicy();
    for (const RoleChange &change : policy(input)) {
        if (!roles.contains(change.backend))
            continue;
        roles[change.backend] = change.role;
        record(EventKind::RoleChangeStarted, change.backend.value(), {},
               current ? current->fencing : FencingNumber());
    }
}

FleetView AuthorityLoop::State::fleetView() const
{
    FleetView view = declaredFleet(configuration, options.settings.dataCentre);
    for (BackendView &backend : view.backends) {
        const auto found = watched.find(backend.id);
        if (found == watched.end())
            continue;
        const Watched &target = found->second;
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

void AuthorityLoop::State::publishFleet(TimePoint now)
{
    nextConfirm = now + ConfirmInterval;
    const std::string payload = fleet.update(fleetView(), current->fencing);
    for (const InstanceId &reader : tableReaders)
        options.send(reader, PayloadKind::Fleet, payload, FleetMessageTtl);
}

AuthorityLoop::AuthorityLoop(AuthorityOptions options)
    : m_state(std::make_shared<State>(std::move(options)))
{ }

AuthorityLoop::~AuthorityLoop() = default;

void AuthorityLoop::onConfiguration(const DeclaredConfiguration &configuration)
{
    State &state = *m_state;
    state.configuration = configuration;
    std::map<BackendId, Watched> watched;
    for (const BackendDeclaration &declared : configuration.backends) {
        if (declared.site != state.options.settings.dataCentre)
            continue;
        const auto known = state.watched.find(declared.id);
        Watched &target = watched[declared.id];
        if (known != state.watched.end()) {
            target = known->second;
            if (target.declared.role != declared.role)
                state.roles[declared.id] = declared.role;
        }
        target.declared = declared;
    }
    state.watched = std::move(watched);
    std::vector<BackendId> engines;
    engines.reserve(state.watched.size());
    for (const auto &[backend, target] : state.watched)
        engines.push_back(backend);
    state.gate.setEngines(engines);
    state.policies.clear();
    state.nextConfirm = RuntimeClock::now();
}

void AuthorityLoop::onMessage(const ReceivedMessage &message)
{
    State &state = *m_state;
    const TimePoint now = RuntimeClock::now();
    if (message.kind == PayloadKind::Lease) {
        state.lease.onMessage(message.sender, message.payload, now);
        state.onLeaseChange(now);
    } else if (message.kind == PayloadKind::Demand) {
        if (const auto sample = decodeDemand(message.payload))
            state.demand.add(*sample, now);
    } else if (message.kind == PayloadKind::Fleet && FleetSender::isRequest(message.payload)) {
        const std::string whole = state.current ? state.fleet.wholeTable() : std::string();
        if (!whole.empty())
            state.options.send(message.sender, PayloadKind::Fleet, whole, FleetMessageTtl);
    }
}

void AuthorityLoop::tick(TimePoint now)
{
    State &state = *m_state;
    state.lease.tick(now);
    state.onLeaseChange(now);
    if (state.releasedAt && now >= *state.releasedAt && state.releaseDone)
        std::exchange(state.releaseDone, nullptr)();
    if (!state.current)
        return;
    if (now >= state.nextPoll) {
        state.nextPoll = now + state.options.pollInterval;
        for (const auto &[backend, target] : state.watched)
            state.poll(backend);
    }
    if (now >= state.nextPlan) {
        state.nextPlan = now + PlanInterval;
        state.planRoles(now);
        state.reconcile(now);
        state.http.closeIdle();
    }
    if (now >= state.nextConfirm)
        state.publishFleet(now);
}

void AuthorityLoop::release(std::function<void()> done)
{
    State &state = *m_state;
    const TimePoint now = RuntimeClock::now();
    const TimePoint arrived = std::max(now, state.gate.ordersArrivedAt());
    state.lease.release(now, arrived);
    state.releasedAt = arrived + ReleaseTime;
    state.releaseDone = std::move(done);
    state.onLeaseChange(now);
}

std::optional<HeldLease> AuthorityLoop::held(TimePoint now) const
{
    return m_state->lease.held(now);
}

std::vector<EngineOverview> AuthorityLoop::engines() const
{
    std::vector<EngineOverview> overviews;
    for (const auto &[backend, target] : m_state->watched) {
        const auto wanted = m_state->roles.find(backend);
        EngineOverview &overview = overviews.emplace_back();
        overview.report = target.report;
        overview.report.backend = backend;
        overview.desiredRole
            = wanted == m_state->roles.end() ? target.declared.role : wanted->second;
        overview.drained = target.declared.drained;
        overview.reachable = target.reachable();
        overview.lastReport = target.lastReport;
    }
    return overviews;
}

} // namespace gentianramp
