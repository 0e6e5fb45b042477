#include <gentianramp/authority/authority_simulation.hpp>

#include <algorithm>

namespace gentianramp {

namespace {

using namespace std::chrono_literals;

constexpr Duration TickInterval = 20ms;
constexpr Duration PollInterval = 200ms;
constexpr Duration MaxUsualDelay = 4ms;
constexpr Duration OrderRunTime = 1500ms;
constexpr std::size_t EngineCount = 4;
constexpr TimePoint StartTime{std::chrono::hours(1000)};

BackendId engineName(std::size_t index)
{
    return BackendId("engine-" + std::to_string(index));
}

} // namespace

struct AuthoritySimulation::Process
{
    InstanceId name;
    std::uint64_t incarnation = 0;
    double speed = 1; ///< Speed of its clock relative to the simulation's.
    bool up = false;
    bool held = false;
    TimePoint pausedUntil;
    TimePoint nextPoll;
    std::unique_ptr<LeaseService> lease;
    std::unique_ptr<OrderGate> gate;
};

struct AuthoritySimulation::Engine
{
    bool checksFencing = false;
    FencingNumber seen;
    TimePoint orderEndsAt;
};

AuthoritySimulation::AuthoritySimulation(std::vector<PlacedInstance> processes,
                                         LeaseOptions options, AuthoritySimulationFaults faults,
                                         std::uint64_t seed)
    : m_processes(std::move(processes))
    , m_options(std::move(options))
    , m_faults(faults)
    , m_random(seed)
    , m_now(StartTime)
    , m_engines(EngineCount)
{
    m_options.instances = m_processes;
    for (std::size_t index = 0; index < EngineCount; ++index)
        m_engines[index].checksFencing = index % 2 == 0;
    for (const PlacedInstance &placed : m_processes) {
        auto &process = m_processStates[placed.instance] = std::make_unique<Process>();
        process->name = placed.instance;
        // The clocks of two processes differ by less than clockDrift.
        process->speed = 1 + 0.4 * m_options.clockDrift * (chance(0.5) ? 1 : -1);
        start(placed.instance);
    }
}

AuthoritySimulation::~AuthoritySimulation() = default;

void AuthoritySimulation::after(Duration delay, Event event)
{
    m_events.emplace(m_now + delay, std::move(event));
}

void AuthoritySimulation::runFor(Duration length)
{
    const TimePoint end = m_now + length;
    while (!m_events.empty() && m_events.begin()->first <= end) {
        auto node = m_events.extract(m_events.begin());
        m_now = node.key();
        node.mapped()();
        checkHolders();
    }
    m_now = end;
}

Duration AuthoritySimulation::randomDuration(Duration longest)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(0, longest.count())(m_random));
}

bool AuthoritySimulation::chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

TimePoint AuthoritySimulation::localTime(const Process &process) const
{
    const auto passed = std::chrono::duration_cast<Duration>((m_now - StartTime) * process.speed);
    return StartTime + passed;
}

void AuthoritySimulation::start(const InstanceId &name)
{
    Process &process = *m_processStates.at(name);
    ++process.incarnation;
    process.up = true;
    process.held = false;
    process.pausedUntil = m_now;
    const auto placed
        = std::find_if(m_processes.begin(), m_processes.end(),
                       [&name](const PlacedInstance &other) { return other.instance == name; });
    LeaseOptions options = m_options;
    options.self = name;
    options.dataCentre = placed->dataCentre;
    options.incarnation = Incarnation(process.incarnation);
    options.seed = m_random();
    process.lease = std::make_unique<LeaseService>(
        options,
        [this, name](const InstanceId &to, const std::string &payload) {
            sendMessage(name, to, payload);
        },
        localTime(process));
    const std::uint64_t incarnation = process.incarnation;
    OrderGateHooks hooks{
        .clock = [this, &process] { return localTime(process); },
        .lease = [&process](TimePoint now) { return process.lease->held(now); },
        .send = [this, name,
                 incarnation](const SentOrder &order) { sendOrder(name, incarnation, order); },
        .raiseFencing
        = [this, &process](
              FencingNumber seen) { process.lease->raiseFencing(seen, localTime(process)); }};
    process.gate
        = std::make_unique<OrderGate>(placed->dataCentre, options.orderTimeout, std::move(hooks));
    std::vector<BackendId> engines;
    for (std::size_t index = 0; index < m_engines.size(); ++index)
        engines.push_back(engineName(index));
    process.gate->setEngines(engines);
    after(randomDuration(TickInterval), [this, name, incarnation] { tick(name, incarnation); });
}

void AuthoritySimulation::onProcess(const InstanceId &name, std::uint64_t incarnation, Event event)
{
    const Process &process = *m_processStates.at(name);
    if (!process.up || process.incarnation != incarnation)
        return;
    if (process.pausedUntil <= m_now) {
        event();
        return;
    }
    after(process.pausedUntil - m_now + randomDuration(MaxUsualDelay),
          [this, name, incarnation, event = std::move(event)] {
              onProcess(name, incarnation, event);
          });
}

void AuthoritySimulation::tick(const InstanceId &name, std::uint64_t incarnation)
{
    onProcess(name, incarnation, [this, name, incarnation] {
        Process &process = *m_processStates.at(name);
        process.lease->tick(localTime(process));
        // Only the first data centre has engines.
        const bool hasEngines = process.name.value()[0] == m_processes.front().instance.value()[0];
        const bool held = process.lease->held(localTime(process)).has_value();
        m_figures.acquisitions += held && !process.held ? 1 : 0;
        process.held = held;
        if (hasEngines && held && process.nextPoll <= m_now) {
            process.nextPoll = m_now + PollInterval;
            poll(process);
        }
        after(TickInterval, [this, name, incarnation] { tick(name, incarnation); });
    });
}

void AuthoritySimulation::poll(Process &process)
{
    const TimePoint requestedAt = localTime(process);
    const InstanceId name = process.name;
    const std::uint64_t incarnation = process.incarnation;
    for (std::size_t index = 0; index < m_engines.size(); ++index) {
        after(randomDuration(MaxUsualDelay), [this, index, name, incarnation, requestedAt] {
            const FencingNumber seen = m_engines[index].seen;
            const bool running = m_engines[index].orderEndsAt > m_now;
            after(randomDuration(MaxUsualDelay), [=, this] {
                onProcess(name, incarnation, [=, this] {
                    onReport(*m_processStates.at(name), index, seen, requestedAt, running);
                });
            });
        });
    }
}

void AuthoritySimulation::onReport(Process &process, std::size_t engine, FencingNumber seen,
                                   TimePoint requestedAt, bool orderRunning)
{
    process.gate->onReport(engineName(engine), seen, requestedAt);
    if (orderRunning || chance(0.3))
        return;
    const PlannedOrder order{.backend = engineName(engine),
                             .kind = OrderKind::SetRole,
                             .role = chance(0.5) ? EngineRole::Prefill : EngineRole::Decode};
    process.gate->trySend(order);
}

void AuthoritySimulation::sendMessage(const InstanceId &from, const InstanceId &to,
                                      const std::string &payload)
{
    const int copies = chance(m_faults.duplicate) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        if (chance(m_faults.drop))
            continue;
        const Duration longest = chance(m_faults.slowMessages) ? Duration(1s) : MaxUsualDelay;
        after(randomDuration(longest), [this, from, to, payload] {
            if (m_partitioned.contains(from) != m_partitioned.contains(to))
                return;
            onProcess(to, m_processStates.at(to)->incarnation, [this, from, to, payload] {
                Process &process = *m_processStates.at(to);
                process.lease->onMessage(from, payload, localTime(process));
            });
        });
    }
}

void AuthoritySimulation::sendOrder(const InstanceId &from, std::uint64_t incarnation,
                                    const SentOrder &order)
{
    const auto index = static_cast<std::size_t>(order.order.backend.value().back() - '0');
    const bool delayed = m_faults.lateOrders && m_engines[index].checksFencing && chance(0.2);
    // The sender counts the order timeout on its own clock; 98 % leaves room for its speed.
    const Duration longest = delayed ? Duration(5s) : m_options.orderTimeout * 98 / 100;
    after(randomDuration(longest), [this, index, from, incarnation, order] {
        deliverOrder(index, from, incarnation, order);
    });
}

void AuthoritySimulation::deliverOrder(std::size_t index, const InstanceId &from,
                                       std::uint64_t incarnation, const SentOrder &order)
{
    Engine &engine = m_engines[index];
    const bool refused = engine.checksFencing && order.fencing < engine.seen;
    if (!refused) {
        // Orders of one holder to different engines may arrive out of order of their numbers.
        const std::pair<InstanceId, std::uint64_t> sender{from, incarnation};
        const bool late
            = order.fencing < m_highestExecutedFencing && sender != m_highestExecutedSender;
        if ((late && !m_faults.lateOrders) || order.fencing < engine.seen)
            ++m_figures.staleOrdersExecuted;
        if (order.fencing >= m_highestExecutedFencing) {
            m_highestExecutedFencing = order.fencing;
            m_highestExecutedSender = sender;
        }
        engine.seen = std::max(engine.seen, order.fencing);
    }
    if (!refused && order.order.kind != OrderKind::Fence) {
        ++m_figures.orders;
        if (engine.orderEndsAt > m_now)
            ++m_figures.conflictingOrders;
        engine.orderEndsAt = m_now + OrderRunTime;
    }
    if (chance(m_faults.drop))
        return;
    after(randomDuration(MaxUsualDelay), [=, this] {
        onProcess(from, incarnation, [=, this] {
            m_processStates.at(from)->gate->onAnswer(order.order.backend, order.orderId,
                                                     m_engines[index].seen);
        });
    });
}

void AuthoritySimulation::checkHolders()
{
    int holders = 0;
    for (const auto &[name, process] : m_processStates) {
        const bool sameSite = name.value()[0] == m_processes.front().instance.value()[0];
        if (sameSite && process->up && process->lease->held(localTime(*process)))
            ++holders;
    }
    if (holders > 1)
        ++m_figures.multipleHolders;
}

InstanceId AuthoritySimulation::holder() const
{
    for (const auto &[name, process] : m_processStates) {
        const bool sameSite = name.value()[0] == m_processes.front().instance.value()[0];
        if (sameSite && process->up && process->lease->held(localTime(*process)))
            return name;
    }
    return {};
}

bool AuthoritySimulation::isUp(const InstanceId &process) const
{
    return m_processStates.at(process)->up;
}

void AuthoritySimulation::crash(const InstanceId &process)
{
    m_processStates.at(process)->up = false;
}

void AuthoritySimulation::restart(const InstanceId &process)
{
    if (!m_processStates.at(process)->up)
        start(process);
}

void AuthoritySimulation::pause(const InstanceId &process, Duration length)
{
    m_processStates.at(process)->pausedUntil = m_now + length;
}

void AuthoritySimulation::release(const InstanceId &name)
{
    Process &process = *m_processStates.at(name);
    process.lease->release(localTime(process), process.gate->ordersArrivedAt());
}

} // namespace gentianramp
