#pragma once

#include <functional>
#include <gentianramp/authority/lease_service.hpp>
#include <gentianramp/authority/order_gate.hpp>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace gentianramp {

/// Faults of a run of TestControl.
struct TestControlFaults
{
    double drop = 0;
    double duplicate = 0;
    double slow = 0; ///< Share of messages between control processes that take up to a second.
    bool longOrders = false; ///< Orders to engines that check numbers may take up to five seconds.
};

/// What went wrong and right in a run.
struct AuthoritySimulationCounts
{
    int orders = 0; ///< Orders that took effect.
    int conflictingOrders = 0;
    int staleOrdersExecuted = 0;
    int multipleHolders = 0;
    int acquisitions = 0;
};

/// Control processes of one data centre and its neighbours with simulated engines, on one event
/// queue; the processes' clocks run at different speeds.
class TestControl
{
public:
    using Event = std::function<void()>;

    TestControl(std::vector<PlacedInstance> processes, LeaseOptions options,
                TestControlFaults faults, std::uint64_t seed);
    ~TestControl();

    void after(Duration delay, Event event);
    void runFor(Duration length);

    const std::vector<PlacedInstance> &processes() const { return m_processes; }
    TimePoint now() const { return m_now; }
    std::mt19937_64 &random() { return m_random; }
    Duration upTo(Duration longest);
    bool chance(double probability);

    /// Process that holds the lease now, or empty.
    InstanceId holder() const;
    bool isUp(const InstanceId &process) const;
    void crash(const InstanceId &process);
    void restart(const InstanceId &process);
    void pause(const InstanceId &process, Duration length);
    void release(const InstanceId &process);
    /// Cuts these processes off from the others; engines stay reachable. An empty set heals.
    void cutOff(std::set<InstanceId> processes) { m_cutOff = std::move(processes); }

    const AuthoritySimulationCounts &figures() const { return m_figures; }

private:
    struct Process;
    struct Engine;

    void start(const InstanceId &process);
    TimePoint localTime(const Process &process) const;
    void onProcess(const InstanceId &process, std::uint64_t life, Event event);
    void tick(const InstanceId &process, std::uint64_t life);
    void poll(Process &process);
    void onReport(Process &process, std::size_t engine, FencingNumber seen, TimePoint requestedAt,
                  bool orderRunning);
    void sendMessage(const InstanceId &from, const InstanceId &to, const std::string &payload);
    void sendOrder(const InstanceId &from, std::uint64_t life, const SentOrder &order);
    void arrive(std::size_t index, const InstanceId &from, std::uint64_t life,
                const SentOrder &order);
    void checkHolders();

    std::vector<PlacedInstance> m_processes;
    LeaseOptions m_options;
    TestControlFaults m_faults;
    std::mt19937_64 m_random;
    TimePoint m_now;
    std::multimap<TimePoint, Event> m_events;
    std::map<InstanceId, std::unique_ptr<Process>> m_nodes;
    std::vector<Engine> m_engines;
    std::set<InstanceId> m_cutOff;
    FencingNumber m_highestEffective;
    std::pair<InstanceId, std::uint64_t> m_highestSender;
    AuthoritySimulationCounts m_figures;
};

} // namespace gentianramp
