#include <gentianramp/idempotency/test_deployment.hpp>

namespace gentianramp {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(20);
constexpr Duration ShortestDelay = std::chrono::microseconds(200);
constexpr Duration UsualDelay = std::chrono::milliseconds(3);
constexpr TimePoint Start{std::chrono::hours(1000)};

} // namespace

TestDeployment::TestDeployment(std::vector<PlacedInstance> instances, KeyServiceOptions options,
                               TestNetworkFaults faults, std::uint64_t seed)
    : m_instances(std::move(instances))
    , m_options(std::move(options))
    , m_faults(faults)
    , m_random(seed)
    , m_now(Start)
{
    m_options.instances = m_instances;
    for (const PlacedInstance &placed : m_instances)
        start(placed.instance, true);
}

void TestDeployment::at(TimePoint time, Event event)
{
    m_events.emplace(time, std::move(event));
}

void TestDeployment::runUntil(TimePoint time)
{
    while (!m_events.empty() && m_events.begin()->first <= time) {
        auto node = m_events.extract(m_events.begin());
        m_now = std::max(m_now, node.key());
        node.mapped()();
    }
    m_now = time;
}

bool TestDeployment::chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

Duration TestDeployment::upTo(Duration longest)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(0, longest.count())(m_random));
}

KeyService *TestDeployment::service(const InstanceId &instance)
{
    return m_nodes.at(instance).service.get();
}

void TestDeployment::start(const InstanceId &instance, bool noPriorClaims)
{
    Node &node = m_nodes[instance];
    ++node.life;
    KeyServiceOptions options = m_options;
    options.self = instance;
    options.incarnation = Incarnation(node.life);
    options.noPriorClaims = noPriorClaims;
    options.startWallMs = wallMs();
    options.seed = m_random();
    node.service = std::make_unique<KeyService>(
        options,
        [this, instance](const InstanceId &to, const std::string &payload) {
            send(instance, to, payload);
        },
        m_now);
    after(upTo(TickInterval), [this, instance, life = node.life] { tick(instance, life); });
}

void TestDeployment::tick(const InstanceId &instance, std::uint64_t life)
{
    onInstance(instance, life, [this, instance, life] {
        service(instance)->tick(m_now);
        after(TickInterval, [this, instance, life] { tick(instance, life); });
    });
}

void TestDeployment::crash(const InstanceId &instance)
{
    m_nodes.at(instance).service.reset();
}

void TestDeployment::restart(const InstanceId &instance)
{
    if (service(instance) == nullptr)
        start(instance, false);
}

void TestDeployment::changeInstances(const std::vector<PlacedInstance> &instances, Duration spread)
{
    m_options.previousInstances = m_instances;
    m_options.instances = instances;
    for (const auto &[instance, node] : m_nodes) {
        after(upTo(spread), [this, instance, life = node.life, instances] {
            onInstance(instance, life, [this, instance, instances] {
                service(instance)->setInstances(instances, m_now);
            });
        });
    }
}

void TestDeployment::pause(const InstanceId &instance, Duration length)
{
    m_nodes.at(instance).pausedUntil = m_now + length;
}

void TestDeployment::onInstance(const InstanceId &instance, std::uint64_t life, Event event)
{
    const Node &node = m_nodes.at(instance);
    if (node.service == nullptr || node.life != life)
        return;
    if (node.pausedUntil <= m_now) {
        event();
        return;
    }
    at(node.pausedUntil + upTo(UsualDelay),
       [this, instance, life, event = std::move(event)] { onInstance(instance, life, event); });
}

void TestDeployment::send(const InstanceId &from, const InstanceId &to, const std::string &payload)
{
    const int copies = chance(m_faults.duplicate) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        if (chance(m_faults.drop))
            continue;
        const Duration longest = chance(m_faults.slow) ? m_faults.slowDelay : UsualDelay;
        after(ShortestDelay + upTo(longest),
              [this, from, to, payload] { arrive(from, to, payload); });
    }
}

void TestDeployment::arrive(const InstanceId &from, const InstanceId &to,
                            const std::string &payload)
{
    if (m_cutOff.contains(from) != m_cutOff.contains(to))
        return;
    onInstance(to, life(to),
               [this, from, to, payload] { service(to)->onMessage(from, payload, m_now); });
}

} // namespace gentianramp
