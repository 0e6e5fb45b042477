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

/// Fault probabilities and kinds of an AuthoritySimulation.
struct AuthoritySimulationFaults
{
    double drop = 0;
    double duplicate = 0;
    /// Share of messages between control processes that take up to 1 s.
    double slowMessages = 0;
    /// Orders to engines that check fencing numbers may take up to 5 s, longer than the timeout.
    bool lateOrders = false;
};

/// Event counts of a run; all but orders and acquisitions have to stay 0.
struct AuthoritySimulationCounts
{
    int orders = 0;            ///< Orders that took effect.
    int conflictingOrders = 0; ///< Orders that took effect while another one was running.
    /// Orders that took effect after one with a larger number on the same engine or, unless orders
    /// may be late, from another holder.
    int staleOrdersExecuted = 0;
    int multipleHolders = 0; ///< Events after which several processes held the lease.
    int acquisitions = 0;    ///< Leases acquired, those of all data centres.
};

/// Simulation of control processes in several data centres on one event queue. The first data
/// centre has simulated engines; the clocks of the processes run at different speeds.
class AuthoritySimulation
{
public:
    using Event = std::function<void()>;

    AuthoritySimulation(std::vector<PlacedInstance> processes, LeaseOptions options,
                        AuthoritySimulationFaults faults, std::uint64_t seed);
    ~AuthoritySimulation();

    void after(Duration delay, Event event);
    void runFor(Duration length);

    const std::vector<PlacedInstance> &processes() const { return m_processes; }
    TimePoint now() const { return m_now; }
    std::mt19937_64 &random() { return m_random; }
    Duration randomDuration(Duration longest);
    bool chance(double probability);

    /// Holder of the lease of the first data centre now; empty when there is none.
    InstanceId holder() const;
    bool isUp(const InstanceId &process) const;
    void crash(const InstanceId &process);
    void restart(const InstanceId &process);
    void pause(const InstanceId &process, Duration length);
    void release(const InstanceId &process);
    /// Separates these processes from the others by a network partition; engines stay reachable. An
    /// empty set ends the partition.
    void partition(std::set<InstanceId> processes) { m_partitioned = std::move(processes); }

    const AuthoritySimulationCounts &figures() const { return m_figures; }

private:
    struct Process;
    struct Engine;

    void start(const InstanceId &process);
    TimePoint localTime(const Process &process) const;
    void onProcess(const InstanceId &process, std::uint64_t incarnation, Event event);
    void tick(const InstanceId &process, std::uint64_t incarnation);
    void poll(Process &process);
    void onReport(Process &process, std::size_t engine, FencingNumber seen, TimePoint requestedAt,
                  bool orderRunning);
    void sendMessage(const InstanceId &from, const InstanceId &to, const std::string &payload);
    void sendOrder(const InstanceId &from, std::uint64_t incarnation, const SentOrder &order);
    void deliverOrder(std::size_t index, const InstanceId &from, std::uint64_t incarnation,
                      const SentOrder &order);
    void checkHolders();

    std::vector<PlacedInstance> m_processes;
    LeaseOptions m_options;
    AuthoritySimulationFaults m_faults;
    std::mt19937_64 m_random;
    TimePoint m_now;
    std::multimap<TimePoint, Event> m_events;
    std::map<InstanceId, std::unique_ptr<Process>> m_processStates;
    std::vector<Engine> m_engines;
    std::set<InstanceId> m_partitioned;
    FencingNumber m_highestExecutedFencing;
    std::pair<InstanceId, std::uint64_t> m_highestExecutedSender;
    AuthoritySimulationCounts m_figures;
};

} // namespace gentianramp
