#include <gentianramp/authority/authority_simulation.hpp>

#include <algorithm>

namespace gentianramp {

namespace {

using namespace std::chrono_literals;

constexpr Duration TickInterval = 20ms;
constexpr Duration PollInterval = 200ms;
constexpr Duration UsualDelay = 4ms;
constexpr Duration OrderRunTime = 1500ms;
constexpr std::size_t EngineCount = 4;
constexpr TimePoint Start{std::chrono::hours(1000)};

BackendId engineName(std::size_t index)
{
    return BackendId("engine-" + std::to_string(index));
}

} // namespace

struct TestControl::Process
{
    InstanceId name;
    std::uint64_t life = 0;
    double speed = 1; ///< Of its clock.
    bool up = false;
    bool held = false;
    TimePoint pausedUntil;
    TimePoint nextPoll;
    std::unique_ptr<LeaseService> lease;
    std::unique_ptr<OrderGate> gate;
};

struct TestControl::Engine
{
    bool checksFencing = false;
    FencingNumber seen;
    TimePoint runsUntil;
};

TestControl::TestControl(std::vector<PlacedInstance> processes, LeaseOptions options,
                         TestControlFaults faults, std::uint64_t seed)
    : m_processes(std::move(processes))
    , m_options(std::move(options))
    , m_faults(faults)
    , m_random(seed)
    , m_now(Start)
    , m_engines(EngineCount)
{
    m_options.instances = m_processes;
    for (std::size_t index = 0; index < EngineCount; ++index)
        m_engines[index].checksFencing = index % 2 == 0;
    for (const PlacedInstance &placed : m_processes) {
        auto &process = m_nodes[placed.instance] = std::make_unique<Process>();
        process->name = placed.instance;
        process->speed = 1 + 0.4 * m_options.clockDrift * (chance(0.5) ? 1 : -1);
        start(placed.instance);
    }
}

TestControl::~TestControl() = default;

void TestControl::after(Duration delay, Event event)
{
    m_events.emplace(m_now + delay, std::move(event));
}

void TestControl::runFor(Duration length)
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

Duration TestControl::upTo(Duration longest)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(0, longest.count())(m_random));
}

bool TestControl::chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

TimePoint TestControl::localTime(const Process &process) const
{
    const auto passed = std::chrono::duration_cast<Duration>((m_now - Start) * process.speed);
    return Start + passed;
}

void TestControl::start(const InstanceId &name)
{
    Process &process = *m_nodes.at(name);
    ++process.life;
    process.up = true;
    process.held = false;
    process.pausedUntil = m_now;
    const auto placed
        = std::find_if(m_processes.begin(), m_processes.end(),
                       [&name](const PlacedInstance &other) { return other.instance == name; });
    LeaseOptions options = m_options;
    options.self = name;
    options.dataCentre = placed->dataCentre;
    options.incarnation = Incarnation(process.life);
    options.seed = m_random();
    process.lease = std::make_unique<LeaseService>(
        options,
        [this, name](const InstanceId &to, const std::string &payload) {
            sendMessage(name, to, payload);
        },
        localTime(process));
    const std::uint64_t life = process.life;
    OrderGateHooks hooks{
        .clock = [this, &process] { return localTime(process); },
        .lease = [&process](TimePoint now) { return process.lease->held(now); },
        .send = [this, name, life](const SentOrder &order) { sendOrder(name, life, order); },
        .raiseFencing
        = [this, &process](
              FencingNumber seen) { process.lease->raiseFencing(seen, localTime(process)); }};
    process.gate
        = std::make_unique<OrderGate>(placed->dataCentre, options.orderFlight, std::move(hooks));
    std::vector<BackendId> engines;
    for (std::size_t index = 0; index < m_engines.size(); ++index)
        engines.push_back(engineName(index));
    process.gate->setEngines(engines);
    after(upTo(TickInterval), [this, name, life] { tick(name, life); });
}

void TestControl::onProcess(const InstanceId &name, std::uint64_t life, Event event)
{
    const Process &process = *m_nodes.at(name);
    if (!process.up || process.life != life)
        return;
    if (process.pausedUntil <= m_now) {
        event();
        return;
    }
    after(process.pausedUntil - m_now + upTo(UsualDelay),
          [this, name, life, event = std::move(event)] { onProcess(name, life, event); });
}

void TestControl::tick(const InstanceId &name, std::uint64_t life)
{
    onProcess(name, life, [this, name, life] {
        Process &process = *m_nodes.at(name);
        process.lease->tick(localTime(process));
        // Only the first data centre has engines here.
        const bool orders = process.name.value()[0] == m_processes.front().instance.value()[0];
        const bool held = process.lease->held(localTime(process)).has_value();
        m_figures.acquisitions += held && !process.held ? 1 : 0;
        process.held = held;
        if (orders && held && process.nextPoll <= m_now) {
            process.nextPoll = m_now + PollInterval;
            poll(process);
        }
        after(TickInterval, [this, name, life] { tick(name, life); });
    });
}

void TestControl::poll(Process &process)
{
    const TimePoint requestedAt = localTime(process);
    const InstanceId name = process.name;
    const std::uint64_t life = process.life;
    for (std::size_t index = 0; index < m_engines.size(); ++index) {
        after(upTo(UsualDelay), [this, index, name, life, requestedAt] {
            const FencingNumber seen = m_engines[index].seen;
            const bool running = m_engines[index].runsUntil > m_now;
            after(upTo(UsualDelay), [=, this] {
                onProcess(name, life, [=, this] {
                    onReport(*m_nodes.at(name), index, seen, requestedAt, running);
                });
            });
        });
    }
}

void TestControl::onReport(Process &process, std::size_t engine, FencingNumber seen,
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

void TestControl::sendMessage(const InstanceId &from, const InstanceId &to,
                              const std::string &payload)
{
    const int copies = chance(m_faults.duplicate) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        if (chance(m_faults.drop))
            continue;
        const Duration longest = chance(m_faults.slow) ? Duration(1s) : UsualDelay;
        after(upTo(longest), [this, from, to, payload] {
            if (m_cutOff.contains(from) != m_cutOff.contains(to))
                return;
            onProcess(to, m_nodes.at(to)->life, [this, from, to, payload] {
                Process &process = *m_nodes.at(to);
                process.lease->onMessage(from, payload, localTime(process));
            });
        });
    }
}

void TestControl::sendOrder(const InstanceId &from, std::uint64_t life, const SentOrder &order)
{
    const auto index = static_cast<std::size_t>(order.order.backend.value().back() - '0');
    const bool delayed = m_faults.longOrders && m_engines[index].checksFencing && chance(0.2);
    // The flight is bounded on the sender's clock.
    const Duration longest = delayed ? Duration(5s) : m_options.orderFlight * 98 / 100;
    after(upTo(longest), [this, index, from, life, order] { arrive(index, from, life, order); });
}

void TestControl::arrive(std::size_t index, const InstanceId &from, std::uint64_t life,
                         const SentOrder &order)
{
    Engine &engine = m_engines[index];
    const bool refused = engine.checksFencing && order.fencing < engine.seen;
    if (!refused) {
        // One holder's numbers may cross on the way to different engines.
        const std::pair<InstanceId, std::uint64_t> sender{from, life};
        const bool late = order.fencing < m_highestEffective && sender != m_highestSender;
        if ((late && !m_faults.longOrders) || order.fencing < engine.seen)
            ++m_figures.staleOrdersExecuted;
        if (order.fencing >= m_highestEffective) {
            m_highestEffective = order.fencing;
            m_highestSender = sender;
        }
        engine.seen = std::max(engine.seen, order.fencing);
    }
    if (!refused && order.order.kind != OrderKind::Fence) {
        ++m_figures.orders;
        if (engine.runsUntil > m_now)
            ++m_figures.conflictingOrders;
        engine.runsUntil = m_now + OrderRunTime;
    }
    if (chance(m_faults.drop))
        return;
    after(upTo(UsualDelay), [=, this] {
        onProcess(from, life, [=, this] {
            m_nodes.at(from)->gate->onAnswer(order.order.backend, order.orderId,
                                             m_engines[index].seen);
        });
    });
}

void TestControl::checkHolders()
{
    int holders = 0;
    for (const auto &[name, process] : m_nodes) {
        const bool sameSite = name.value()[0] == m_processes.front().instance.value()[0];
        if (sameSite && process->up && process->lease->held(localTime(*process)))
            ++holders;
    }
    if (holders > 1)
        ++m_figures.multipleHolders;
}

InstanceId TestControl::holder() const
{
    for (const auto &[name, process] : m_nodes) {
        const bool sameSite = name.value()[0] == m_processes.front().instance.value()[0];
        if (sameSite && process->up && process->lease->held(localTime(*process)))
            return name;
    }
    return {};
}

bool TestControl::isUp(const InstanceId &process) const
{
    return m_nodes.at(process)->up;
}

void TestControl::crash(const InstanceId &process)
{
    m_nodes.at(process)->up = false;
}

void TestControl::restart(const InstanceId &process)
{
    if (!m_nodes.at(process)->up)
        start(process);
}

void TestControl::pause(const InstanceId &process, Duration length)
{
    m_nodes.at(process)->pausedUntil = m_now + length;
}

void TestControl::release(const InstanceId &name)
{
    Process &process = *m_nodes.at(name);
    process.lease->release(localTime(process), process.gate->ordersArrivedAt());
}

} // namespace gentianramp
