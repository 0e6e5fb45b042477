#include <gentianramp/authority/fault_schedule.hpp>

namespace gentianramp {

namespace {

using namespace std::chrono_literals;

constexpr Duration RunLength = 40s;
constexpr int Disturbances = 16;
constexpr Duration LongestTakeOver = 60s;
constexpr Duration Step = 5ms;

std::vector<PlacedInstance> sevenProcesses()
{
    std::vector<PlacedInstance> placed;
    for (const char *name : {"a1", "a2", "a3", "b1", "b2", "c1", "c2"})
        placed.push_back({InstanceId(name), DataCentreId(std::string(1, name[0]))});
    return placed;
}

TestControlFaults randomFaults(std::uint64_t seed)
{
    std::mt19937_64 random(seed * 31 + 7);
    std::uniform_real_distribution<double> share(0, 0.2);
    return {.drop = share(random),
            .duplicate = share(random),
            .slow = share(random),
            .longOrders = seed % 2 == 0};
}

InstanceId victim(TestControl &control)
{
    InstanceId holder = control.holder();
    if (!holder.value().empty() && control.chance(0.5))
        return holder;
    return control.processes()[control.random()() % control.processes().size()].instance;
}

void crashAndRestart(TestControl &control, const InstanceId &process)
{
    control.crash(process);
    control.after(control.upTo(6s), [&control, process] { control.restart(process); });
}

void disturb(TestControl &control)
{
    const InstanceId process = victim(control);
    switch (control.random()() % 6) {
    case 0:
    case 1:
        crashAndRestart(control, process);
        return;
    case 2:
        control.pause(process, control.upTo(6s));
        return;
    case 3:
        if (control.isUp(process))
            control.release(process);
        control.after(1s, [&control, process] { crashAndRestart(control, process); });
        return;
    case 4:
        control.cutOff({process});
        control.after(control.upTo(8s), [&control] { control.cutOff({}); });
        return;
    default:
        // The whole data centre restarts, cut off from the others.
        control.cutOff({InstanceId("a1"), InstanceId("a2"), InstanceId("a3")});
        control.after(control.upTo(8s), [&control] { control.cutOff({}); });
        for (const char *name : {"a1", "a2", "a3"})
            crashAndRestart(control, InstanceId(name));
    }
}

Duration timeToNextHolder(TestControl &control, const InstanceId &former)
{
    const TimePoint from = control.now();
    while (control.now() < from + LongestTakeOver) {
        const InstanceId holder = control.holder();
        if (!holder.value().empty() && holder != former)
            break;
        control.runFor(Step);
    }
    return control.now() - from;
}

TestControl settledControl(std::uint64_t seed)
{
    return {sevenProcesses(), LeaseOptions{}, {.drop = 0.02}, seed};
}

InstanceId settledHolder(TestControl &control)
{
    control.runFor(8s + control.upTo(2s));
    while (control.holder().value().empty())
        control.runFor(Step);
    return control.holder();
}

} // namespace

AuthoritySimulationCounts runAuthoritySchedule(std::uint64_t seed)
{
    TestControl control(sevenProcesses(), LeaseOptions{}, randomFaults(seed), seed);
    for (int number = 0; number < Disturbances; ++number)
        control.after(control.upTo(RunLength), [&control] { disturb(control); });
    control.runFor(RunLength + 5s);
    return control.figures();
}

Duration measureFailover(std::uint64_t seed)
{
    TestControl control(settledControl(seed));
    const InstanceId holder = settledHolder(control);
    control.crash(holder);
    return timeToNextHolder(control, holder);
}

Duration measureLeaseTransfer(std::uint64_t seed)
{
    TestControl control(settledControl(seed));
    const InstanceId holder = settledHolder(control);
    control.release(holder);
    return timeToNextHolder(control, holder);
}

} // namespace gentianramp
