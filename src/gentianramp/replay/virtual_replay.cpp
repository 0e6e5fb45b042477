#include <algorithm>
#include <gentianramp/planner/demand_summary.hpp>
#include <gentianramp/replay/virtual_replay.hpp>
#include <gentianramp/routing/router.hpp>
#include <memory>
#include <random>
#include <unordered_map>

#include "gentianramp/replay/virtual_engine.hpp"

namespace gentianramp {
namespace {

constexpr Duration StepLength = std::chrono::milliseconds(10);
constexpr Duration TickInterval = std::chrono::milliseconds(50);
constexpr Duration ReportInterval = std::chrono::milliseconds(250);
constexpr Duration FleetInterval = std::chrono::milliseconds(200);
constexpr Duration PlanInterval = std::chrono::seconds(1);
constexpr Duration Tail = std::chrono::seconds(60); ///< For answers after the last arrival.
const TimePoint Start{std::chrono::seconds(1000)};
const ModelId Model("model");
const std::string Version("1");

/// One entry instance.
struct Entry
{
    std::unique_ptr<Router> router;
    std::size_t site = 0;
    std::vector<std::uint64_t> cacheSequences; ///< Last seen of each engine.
    std::vector<std::uint32_t> outstanding;    ///< At each engine; for baselines.
};

/// A request of the trace on its way.
struct Flight
{
    std::size_t entry = 0;
    std::optional<Placement> placement;
    std::size_t engine = 0;
    std::uint32_t attempt = 1;
    bool prefilling = false; ///< On the prefill engine of a pair.
    bool firstTokenSeen = false;
};

DataCentreId siteName(std::size_t site)
{
    return DataCentreId("site-" + std::to_string(site));
}

/// Whole state of one replay.
class Replay
{
public:
    Replay(const Trace &trace, const VirtualReplayOptions &options)
        : m_trace(trace)
        , m_options(options)
        , m_random(options.seed)
        , m_flights(trace.requests.size())
    {
        m_result.outcomes.resize(trace.requests.size());
        for (std::size_t site = 0; site < options.fleet.sites; ++site)
            addSite(site);
        addEntries();
    }

    ReplayResult run();

private:
    void addSite(std::size_t site);
    void addEngine(std::size_t site, const ServiceId &service, EngineRole role);
    void addEntries();
    DeclaredConfiguration configuration() const;
    FleetView fleetOf(std::size_t site) const;

    void advanceEngines();
    void take(std::size_t engine, const EngineProgress &progress);
    void takeTokens(std::size_t number, const EngineProgress &progress);
    void beginDecode(std::size_t number);
    void end(std::size_t number, OutcomeKind kind, TimePoint at);
    void arrivals();
    void offer(std::size_t number);
    void offerToBaseline(std::size_t number);
    void decided(std::size_t number, Decision decision);
    void sendWhole(std::size_t number, std::size_t engine);
    EngineRequest engineRequest(std::size_t number) const;
    void refusedByEngine(std::size_t number);
    void publishFleets();
    void reportLoads();
    void plan();
    void planSite(std::size_t site);
    void sampleRoles();

    std::size_t engineOf(const BackendId &id) const { return m_engineNumbers.at(id); }
    bool due(Duration interval) const { return (m_now - Start) % interval < StepLength; }

    const Trace &m_trace;
    const VirtualReplayOptions &m_options;
    std::mt19937_64 m_random;
    TimePoint m_now = Start;
    std::size_t m_nextArrival = 0;
    std::size_t m_open = 0;
    std::vector<VirtualEngine> m_engines;
    std::vector<std::size_t> m_engineSites;
    std::vector<bool> m_modelEngine;
    std::unordered_map<BackendId, std::size_t> m_engineNumbers;
    std::vector<Entry> m_entries;
    std::vector<RolePolicy> m_policies;
    std::vector<DemandSummary> m_summaries;
    std::vector<FleetView> m_published;
    std::vector<Flight> m_flights;
    ReplayResult m_result;
};

void Replay::addSite(std::size_t site)
{
    const ReplayFleet &fleet = m_options.fleet;
    for (std::size_t i = 0; i < fleet.enginesPerSite; ++i) {
        const EngineRole role = i < m_options.roles.size() ? m_options.roles[i] : EngineRole::Mixed;
        addEngine(site, fleet.modelService, role);
    }
    for (std::size_t i = 0; i < fleet.workersPerSite; ++i)
        addEngine(site, fleet.plainService, EngineRole::Mixed);
    m_policies.push_back(m_options.makePolicy ? m_options.makePolicy() : makeStaticPolicy());
    m_summaries.emplace_back();
}

void Replay::addEngine(std::size_t site, const ServiceId &service, EngineRole role)
{
    EngineModelOptions options = m_options.fleet.engine;
    options.role = role;
    options.seed = m_random();
    BackendView view{.id = BackendId("engine-" + std::to_string(m_engines.size())),
                     .site = siteName(site),
                     .service = service,
                     .models = {{Model, Version}},
                     .slots = options.slots,
                     .prefillTokensPerSecond = options.prefillTokensPerSecond,
                     .decodeTokensPerSecond = options.decodeTokensPerSecond,
                     .streamTokensPerSecond = options.streamTokensPerSecond};
    m_engineNumbers.emplace(view.id, m_engines.size());
    m_engines.emplace_back(std::move(view), options, Start);
    m_engineSites.push_back(site);
    m_modelEngine.push_back(service == m_options.fleet.modelService);
}

DeclaredConfiguration Replay::configuration() const
{
    DeclaredConfiguration configuration;
    configuration.priorityClasses = {{"urgent", 0, 0}, {"triage", 1, 0}, {"note", 2, 0}};
    configuration.services
        = {{.id = m_options.fleet.modelService, .model = Model},
           {.id = m_options.fleet.plainService, .kind = ServiceKind::Plain, .idempotent = false}};
    return configuration;
}

void Replay::addEntries()
{
    const std::size_t count = m_options.fleet.sites * m_options.fleet.entriesPerSite;
    std::vector<InstanceId> instances;
    for (std::size_t i = 0; i < count; ++i)
        instances.emplace_back("entry-" + std::to_string(i));
    for (std::size_t i = 0; i < count; ++i) {
        const std::size_t site = i % m_options.fleet.sites;
        Entry entry{.site = site,
                    .cacheSequences = std::vector<std::uint64_t>(m_engines.size()),
                    .outstanding = std::vector<std::uint32_t>(m_engines.size())};
        entry.router = std::make_unique<Router>(RouterOptions{.instance = instances[i],
                                                              .site = siteName(site),
                                                              .seed = m_random(),
                                                              .instances = instances,
                                                              .choices = m_options.choices,
                                                              .prefixEntries = 1U << 13});
        entry.router->configure(configuration(), m_now);
        m_entries.push_back(std::move(entry));
    }
    m_published.resize(m_options.fleet.sites);
    publishFleets();
}

FleetView Replay::fleetOf(std::size_t site) const
{
    FleetView fleet{.site = siteName(site)};
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
        if (m_engineSites[i] == site)
            fleet.backends.push_back(m_engines[i].view());
    }
    return fleet;
}

void Replay::publishFleets()
{
    for (std::size_t site = 0; site < m_published.size(); ++site) {
        FleetView fleet = fleetOf(site);
        if (fleet == m_published[site])
            continue;
        m_published[site] = std::move(fleet);
        for (const Entry &entry : m_entries)
            entry.router->publishFleet(m_published[site], m_now);
    }
}

void Replay::reportLoads()
{
    for (Entry &entry : m_entries) {
        for (std::size_t i = 0; i < m_engines.size(); ++i) {
            const EngineModel &model = m_engines[i].model();
            entry.router->applyLoad(m_engines[i].id(), model.loadReport(m_now), m_now);
            const CacheEvents events = model.cacheEvents(entry.cacheSequences[i], m_now);
            if (!events.events.empty())
                entry.cacheSequences[i] = events.events.back().sequence;
            entry.router->applyCacheEvents(m_engines[i].id(), events, m_now);
        }
    }
}

EngineRequest Replay::engineRequest(std::size_t number) const
{
    const TraceRequest &request = m_trace.requests[number];
    EngineRequest made{.id = RequestId(std::to_string(number)),
                       .attempt = Attempt(m_flights[number].attempt),
                       .priority = request.priority,
                       .promptTokens = request.promptTokens,
                       .outputTokens = request.outputTokens};
    if (!request.prefix.empty())
        made.prefixes = {{prefixHash(request.prefix), request.prefixTokens}};
    return made;
}

void Replay::arrivals()
{
    while (m_nextArrival < m_trace.requests.size()
           && Start + m_trace.requests[m_nextArrival].arrival <= m_now) {
        const std::size_t number = m_nextArrival++;
        m_flights[number].entry = m_random() % m_entries.size();
        m_result.promptTokens += m_trace.requests[number].promptTokens;
        ++m_open;
        if (m_options.baseline)
            offerToBaseline(number);
        else
            offer(number);
    }
}

void Replay::offer(std::size_t number)
{
    const TraceRequest &request = m_trace.requests[number];
    RequestAttributes shape{.service = request.service,
                            .customer = request.customer,
                            .priority = request.priority,
                            .promptTokens = request.promptTokens,
                            .deadline = Start + request.arrival + request.deadline,
                            .idempotent = request.idempotent,
                            .attempt = Attempt(m_flights[number].attempt)};
    if (!request.prefix.empty())
        shape.prefixes = {{prefixHash(request.prefix), request.prefixTokens}};
    m_entries[m_flights[number].entry].router->submit(
        std::move(shape), m_now,
        [this, number](Decision decision) { decided(number, std::move(decision)); });
}

void Replay::offerToBaseline(std::size_t number)
{
    Flight &flight = m_flights[number];
    std::vector<std::uint32_t> outstanding;
    std::vector<std::size_t> numbers;
    const ServiceId &service = m_trace.requests[number].service;
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
        if (m_modelEngine[i] != (service == m_options.fleet.modelService))
            continue;
        numbers.push_back(i);
        outstanding.push_back(m_entries[flight.entry].outstanding[i]);
    }
    sendWhole(number, numbers[m_options.baseline(flight.entry, outstanding)]);
}

void Replay::sendWhole(std::size_t number, std::size_t engine)
{
    Flight &flight = m_flights[number];
    flight.engine = engine;
    ++m_entries[flight.entry].outstanding[engine];
    if (!m_engines[engine].model().submit(engineRequest(number), m_now))
        refusedByEngine(number);
}

void Replay::decided(std::size_t number, Decision decision)
{
    if (std::holds_alternative<Refusal>(decision)) {
        end(number, OutcomeKind::Refused, m_now);
        return;
    }
    Flight &flight = m_flights[number];
    flight.placement = std::get<Placement>(std::move(decision));
    if (!flight.placement->prefillBackend) {
        sendWhole(number, engineOf(flight.placement->backend.id));
        return;
    }
    flight.prefilling = true;
    flight.engine = engineOf(flight.placement->prefillBackend->id);
    EngineRequest request = engineRequest(number);
    request.prefillOnly = true;
    if (!m_engines[flight.engine].model().submit(request, m_now))
        refusedByEngine(number);
}

/// The engine said NotRun, since the fleet table of the instance was old: offered again.
void Replay::refusedByEngine(std::size_t number)
{
    Flight &flight = m_flights[number];
    if (!flight.placement) {
        end(number, OutcomeKind::Refused, m_now);
        return;
    }
    const DispatchHandle handle = flight.placement->handle;
    flight.placement.reset();
    flight.prefilling = false;
    ++flight.attempt;
    m_entries[flight.entry].router->failed(handle, AttemptFailure::Refused, m_now);
    offer(number);
}

void Replay::beginDecode(std::size_t number)
{
    Flight &flight = m_flights[number];
    flight.prefilling = false;
    m_entries[flight.entry].router->firstToken(flight.placement->handle, m_now);
    flight.engine = engineOf(flight.placement->backend.id);
    EngineRequest request = engineRequest(number);
    request.kvImported = true;
    if (!m_engines[flight.engine].model().submit(request, m_now))
        refusedByEngine(number);
}

void Replay::takeTokens(std::size_t number, const EngineProgress &progress)
{
    Flight &flight = m_flights[number];
    if (!flight.firstTokenSeen) {
        flight.firstTokenSeen = true;
        m_result.outcomes[number].firstToken
            = progress.at - (Start + m_trace.requests[number].arrival);
        if (flight.placement)
            m_entries[flight.entry].router->firstToken(flight.placement->handle, m_now);
    }
    if (flight.placement)
        m_entries[flight.entry].router->progress(flight.placement->handle, progress.tokens, m_now);
}

void Replay::end(std::size_t number, OutcomeKind kind, TimePoint at)
{
    Flight &flight = m_flights[number];
    const TraceRequest &request = m_trace.requests[number];
    if (kind == OutcomeKind::Timely && at > Start + request.arrival + request.deadline)
        kind = OutcomeKind::Late;
    m_result.outcomes[number].kind = kind;
    m_result.outcomes[number].end = at - Start;
    --m_open;
    if (flight.placement) {
        const DispatchHandle handle = flight.placement->handle;
        flight.placement.reset();
        Router &router = *m_entries[flight.entry].router;
        if (kind == OutcomeKind::Cut)
            router.failed(handle, AttemptFailure::Broken, m_now);
        else
            router.finished(handle, request.outputTokens, m_now);
    }
}

void Replay::take(std::size_t engine, const EngineProgress &progress)
{
    const std::size_t number = std::stoull(progress.id.value());
    Flight &flight = m_flights[number];
    switch (progress.kind) {
    case EngineProgressKind::Tokens:
        takeTokens(number, progress);
        return;
    case EngineProgressKind::PrefillReady:
        beginDecode(number);
        return;
    case EngineProgressKind::Finished:
        if (m_options.baseline)
            --m_entries[flight.entry].outstanding[engine];
        end(number, OutcomeKind::Timely, progress.at);
        return;
    case EngineProgressKind::Cut:
        end(number, OutcomeKind::Cut, progress.at);
        return;
    }
}

void Replay::advanceEngines()
{
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
        for (const EngineProgress &progress : m_engines[i].model().advance(m_now))
            take(i, progress);
        if (m_engines[i].step(m_now))
            ++m_result.roleChanges;
        m_result.largestPileUp = std::max(
            m_result.largestPileUp, static_cast<std::uint32_t>(m_engines[i].model().outstanding()));
    }
}

void Replay::plan()
{
    for (const Entry &entry : m_entries)
        m_summaries[entry.site].add(entry.router->takeDemand(m_now), m_now);
    for (std::size_t site = 0; site < m_options.fleet.sites; ++site)
        planSite(site);
    sampleRoles();
}

void Replay::planSite(std::size_t site)
{
    PlanInput input{.now = m_now,
                    .demand = m_summaries[site].total(m_options.fleet.modelService, m_now),
                    .settings = m_options.settings};
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
        if (m_engineSites[i] == site && m_modelEngine[i])
            input.engines.push_back(m_engines[i].status(m_now));
    }
    for (const RoleChange &change : m_policies[site](input))
        m_engines[engineOf(change.backend)].order(change.role, m_now);
}

void Replay::sampleRoles()
{
    RoleSample sample{.at = m_now - Start};
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
        if (!m_modelEngine[i])
            continue;
        const BackendView view = m_engines[i].view();
        if (view.phase != BackendPhase::Serving)
            ++sample.changing;
        else if (view.role == EngineRole::Mixed)
            ++sample.mixed;
        else
            ++(view.role == EngineRole::Prefill ? sample.prefill : sample.decode);
    }
    m_result.roles.push_back(sample);
}

ReplayResult Replay::run()
{
    const TimePoint last
        = m_trace.requests.empty() ? Start : Start + m_trace.requests.back().arrival;
    while (m_now < last || (m_open > 0 && m_now < last + Tail)) {
        m_now += StepLength;
        advanceEngines();
        arrivals();
        if (due(TickInterval)) {
            for (const Entry &entry : m_entries)
                entry.router->tick(m_now);
        }
        if (due(ReportInterval))
            reportLoads();
        if (due(FleetInterval))
            publishFleets();
        if (due(PlanInterval))
            plan();
    }
    for (std::size_t i = 0; i < m_engines.size(); ++i)
        m_result.cachedTokens += m_engines[i].model().cachedTokens();
    return std::move(m_result);
}

} // namespace

ReplayFleet replayFleet(Deployment deployment)
{
    ReplayFleet fleet;
    fleet.engine.slots = 32;
    if (deployment == Deployment::Kyushu) {
        fleet.modelService = ServiceId("desk-lm");
        fleet.plainService = ServiceId("desk-app");
        fleet.enginesPerSite = 4;
        return fleet;
    }
    fleet.modelService = ServiceId("desk-assistant");
    fleet.plainService = ServiceId("bay-control");
    fleet.enginesPerSite = 6;
    return fleet;
}

ReplayResult replayVirtually(const Trace &trace, const VirtualReplayOptions &options)
{
    return Replay(trace, options).run();
}

} // namespace gentianramp
