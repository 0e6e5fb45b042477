#include <gentianramp/idempotency/key_service_simulation.hpp>

namespace gentianramp {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(20);
constexpr Duration MinDelay = std::chrono::microseconds(200);
constexpr Duration MaxUsualDelay = std::chrono::milliseconds(3);
constexpr TimePoint StartTime{std::chrono::hours(1000)};

} // namespace

KeyServiceSimulation::KeyServiceSimulation(std::vector<PlacedInstance> instances,
                                           KeyServiceOptions options, SimulatedNetworkFaults faults,
                                           std::uint64_t seed)
    : m_instances(std::move(instances))
    , m_options(std::move(options))
    , m_faults(faults)
    , m_random(seed)
    , m_now(StartTime)
{
    m_options.instances = m_instances;
    for (const PlacedInstance &placed : m_instances)
        start(placed.instance, true);
}

void KeyServiceSimulation::at(TimePoint time, Event event)
{
    m_events.emplace(time, std::move(event));
}

void KeyServiceSimulation::runUntil(TimePoint time)
{
    while (!m_events.empty() && m_events.begin()->first <= time) {
        auto node = m_events.extract(m_events.begin());
        m_now = std::max(m_now, node.key());
        node.mapped()();
    }
    m_now = time;
}

bool KeyServiceSimulation::chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

Duration KeyServiceSimulation::randomDuration(Duration longest)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(0, longest.count())(m_random));
}

KeyService *KeyServiceSimulation::service(const InstanceId &instance)
{
    return m_simulatedInstances.at(instance).service.get();
}

void KeyServiceSimulation::start(const InstanceId &instance, bool noPriorClaims)
{
    SimulatedInstance &simulated = m_simulatedInstances[instance];
    ++simulated.incarnation;
    KeyServiceOptions options = m_options;
    options.self = instance;
    options.incarnation = Incarnation(simulated.incarnation);
    options.noPriorClaims = noPriorClaims;
    options.startWallMs = wallMs();
    options.seed = m_random();
    simulated.service = std::make_unique<KeyService>(
        options,
        [this, instance](const InstanceId &to, const std::string &payload) {
            send(instance, to, payload);
        },
        m_now);
    after(randomDuration(TickInterval),
          [this, instance, incarnation = simulated.incarnation] { tick(instance, incarnation); });
}

void KeyServiceSimulation::tick(const InstanceId &instance, std::uint64_t incarnation)
{
    onInstance(instance, incarnation, [this, instance, incarnation] {
        service(instance)->tick(m_now);
        after(TickInterval, [this, instance, incarnation] { tick(instance, incarnation); });
    });
}

void KeyServiceSimulation::crash(const InstanceId &instance)
{
    m_simulatedInstances.at(instance).service.reset();
}

void KeyServiceSimulation::restart(const InstanceId &instance)
{
    if (service(instance) == nullptr)
        start(instance, false);
}

void KeyServiceSimulation::changeInstances(const std::vector<PlacedInstance> &instances,
                                           Duration spread)
{
    m_options.previousInstances = m_instances;
    m_options.instances = instances;
    for (const auto &[instance, simulated] : m_simulatedInstances) {
        after(randomDuration(spread),
              [this, instance, incarnation = simulated.incarnation, instances] {
                  onInstance(instance, incarnation, [this, instance, instances] {
                      service(instance)->setInstances(instances, m_now);
                  });
              });
    }
}

void KeyServiceSimulation::pause(const InstanceId &instance, Duration length)
{
    m_simulatedInstances.at(instance).pausedUntil = m_now + length;
}

void KeyServiceSimulation::onInstance(const InstanceId &instance, std::uint64_t incarnation,
                                      Event event)
{
    const SimulatedInstance &simulated = m_simulatedInstances.at(instance);
    if (simulated.service == nullptr || simulated.incarnation != incarnation)
        return;
    if (simulated.pausedUntil <= m_now) {
        event();
        return;
    }
    at(simulated.pausedUntil + randomDuration(MaxUsualDelay),
       [this, instance, incarnation, event = std::move(event)] {
           onInstance(instance, incarnation, event);
       });
}

void KeyServiceSimulation::send(const InstanceId &from, const InstanceId &to,
                                const std::string &payload)
{
    const int copies = chance(m_faults.duplicate) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        if (chance(m_faults.drop))
            continue;
        const Duration longest = chance(m_faults.slow) ? m_faults.slowDelay : MaxUsualDelay;
        after(MinDelay + randomDuration(longest),
              [this, from, to, payload] { deliverMessage(from, to, payload); });
    }
}

void KeyServiceSimulation::deliverMessage(const InstanceId &from, const InstanceId &to,
                                          const std::string &payload)
{
    if (m_partitioned.contains(from) != m_partitioned.contains(to))
        return;
    onInstance(to, incarnation(to),
               [this, from, to, payload] { service(to)->onMessage(from, payload, m_now); });
}

} // namespace gentianramp
