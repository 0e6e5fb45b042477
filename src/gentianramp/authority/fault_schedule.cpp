#include <gentianramp/authority/fault_schedule.hpp>

namespace gentianramp {

namespace {

using namespace std::chrono_literals;

constexpr Duration RunLength = 40s;
constexpr int FaultCount = 16;
constexpr Duration FailoverTimeout = 60s;
constexpr Duration Step = 5ms;

std::vector<PlacedInstance> sevenProcesses()
{
    std::vector<PlacedInstance> placed;
    for (const char *name : {"a1", "a2", "a3", "b1", "b2", "c1", "c2"})
        placed.push_back({InstanceId(name), DataCentreId(std::string(1, name[0]))});
    return placed;
}

AuthoritySimulationFaults randomFaults(std::uint64_t seed)
{
    std::mt19937_64 random(seed * 31 + 7);
    std::uniform_real_distribution<double> share(0, 0.2);
    return {.drop = share(random),
            .duplicate = share(random),
            .slowMessages = share(random),
            .lateOrders = seed % 2 == 0};
}

InstanceId randomTarget(AuthoritySimulation &simulation)
{
    InstanceId holder = simulation.holder();
    if (!holder.value().empty() && simulation.chance(0.5))
        return holder;
    return simulation.processes()[simulation.random()() % simulation.processes().size()].instance;
}

void crashAndRestart(AuthoritySimulation &simulation, const InstanceId &process)
{
    simulation.crash(process);
    simulation.after(simulation.randomDuration(6s),
                     [&simulation, process] { simulation.restart(process); });
}

void injectFault(AuthoritySimulation &simulation)
{
    const InstanceId process = randomTarget(simulation);
    switch (simulation.random()() % 6) {
    case 0:
    case 1:
        crashAndRestart(simulation, process);
        return;
    case 2:
        simulation.pause(process, simulation.randomDuration(6s));
        return;
    case 3:
        if (simulation.isUp(process))
            simulation.release(process);
        simulation.after(1s, [&simulation, process] { crashAndRestart(simulation, process); });
        return;
    case 4:
        simulation.partition({process});
        simulation.after(simulation.randomDuration(8s),
                         [&simulation] { simulation.partition({}); });
        return;
    default:
        // All processes of the data centre restart during a partition from the others.
        simulation.partition({InstanceId("a1"), InstanceId("a2"), InstanceId("a3")});
        simulation.after(simulation.randomDuration(8s),
                         [&simulation] { simulation.partition({}); });
        for (const char *name : {"a1", "a2", "a3"})
            crashAndRestart(simulation, InstanceId(name));
    }
}

Duration timeUntilNextHolder(AuthoritySimulation &simulation, const InstanceId &former)
{
    const TimePoint from = simulation.now();
    while (simulation.now() < from + FailoverTimeout) {
        const InstanceId holder = simulation.holder();
        if (!holder.value().empty() && holder != former)
            break;
        simulation.runFor(Step);
    }
    return simulation.now() - from;
}

AuthoritySimulation steadySimulation(std::uint64_t seed)
{
    return {sevenProcesses(), LeaseOptions{}, {.drop = 0.02}, seed};
}

InstanceId waitForHolder(AuthoritySimulation &simulation)
{
    simulation.runFor(8s + simulation.randomDuration(2s));
    while (simulation.holder().value().empty())
        simulation.runFor(Step);
    return simulation.holder();
}

} // namespace

AuthoritySimulationCounts runAuthoritySchedule(std::uint64_t seed)
{
    AuthoritySimulation simulation(sevenProcesses(), LeaseOptions{}, randomFaults(seed), seed);
    for (int number = 0; number < FaultCount; ++number)
        simulation.after(simulation.randomDuration(RunLength),
                         [&simulation] { injectFault(simulation); });
    simulation.runFor(RunLength + 5s);
    return simulation.figures();
}

Duration measureFailover(std::uint64_t seed)
{
    AuthoritySimulation simulation(steadySimulation(seed));
    const InstanceId holder = waitForHolder(simulation);
    simulation.crash(holder);
    return timeUntilNextHolder(simulation, holder);
}

Duration measureLeaseTransfer(std::uint64_t seed)
{
    AuthoritySimulation simulation(steadySimulation(seed));
    const InstanceId holder = waitForHolder(simulation);
    simulation.release(holder);
    return timeUntilNextHolder(simulation, holder);
}

} // namespace gentianramp
