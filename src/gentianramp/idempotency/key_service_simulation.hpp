#pragma once

#include <functional>
#include <gentianramp/idempotency/key_service.hpp>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace gentianramp {

/// Random network faults between the services of a KeyServiceSimulation.
struct SimulatedNetworkFaults
{
    double drop = 0;      ///< Share of messages that are lost.
    double duplicate = 0; ///< Share of messages that are sent twice.
    double slow = 0;      ///< Share of messages that take up to slowDelay.
    Duration slowDelay = std::chrono::milliseconds(900);
};

/// Runs the key services of several data centres on one event queue with a simulated clock.
class KeyServiceSimulation
{
public:
    using Event = std::function<void()>;

    KeyServiceSimulation(std::vector<PlacedInstance> instances, KeyServiceOptions options,
                         SimulatedNetworkFaults faults, std::uint64_t seed);

    void at(TimePoint time, Event event);
    void after(Duration delay, Event event) { at(m_now + delay, std::move(event)); }
    /// Runs all events up to @p time.
    void runUntil(TimePoint time);

    TimePoint now() const { return m_now; }
    std::int64_t wallMs() const { return toMilliseconds(m_now.time_since_epoch()); }
    std::mt19937_64 &random() { return m_random; }
    bool chance(double probability);
    Duration randomDuration(Duration longest);

    /// Service of @p instance, or null while it is down.
    KeyService *service(const InstanceId &instance);
    /// Number of starts of @p instance; 1 before the first restart.
    std::uint64_t incarnation(const InstanceId &instance) const
    {
        return m_simulatedInstances.at(instance).incarnation;
    }
    const std::vector<PlacedInstance> &instances() const { return m_instances; }

    void crash(const InstanceId &instance);
    void restart(const InstanceId &instance);
    void pause(const InstanceId &instance, Duration length);
    /// Runs @p event on @p instance at once or after its pause, unless @p incarnation has ended.
    void onInstance(const InstanceId &instance, std::uint64_t incarnation, Event event);
    /// Every instance adopts @p instances at a random time of its own within @p spread.
    void changeInstances(const std::vector<PlacedInstance> &instances, Duration spread);
    /// Partitions these instances from all others; an empty set ends the partition.
    void partition(std::set<InstanceId> instances) { m_partitioned = std::move(instances); }

private:
    struct SimulatedInstance
    {
        std::unique_ptr<KeyService> service;
        std::uint64_t incarnation = 0;
        TimePoint pausedUntil;
    };

    void start(const InstanceId &instance, bool noPriorClaims);
    void send(const InstanceId &from, const InstanceId &to, const std::string &payload);
    void deliverMessage(const InstanceId &from, const InstanceId &to, const std::string &payload);
    void tick(const InstanceId &instance, std::uint64_t incarnation);

    std::vector<PlacedInstance> m_instances;
    KeyServiceOptions m_options;
    SimulatedNetworkFaults m_faults;
    std::mt19937_64 m_random;
    TimePoint m_now;
    std::multimap<TimePoint, Event> m_events;
    std::map<InstanceId, SimulatedInstance> m_simulatedInstances;
    std::set<InstanceId> m_partitioned;
};

} // namespace gentianramp
