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

/// Faults of the network between the services of a KeyServiceSimulation.
struct SimulatedNetworkFaults
{
    double drop = 0;
    double duplicate = 0;
    double slow = 0; ///< Share of messages that take up to slowDelay.
    Duration slowDelay = std::chrono::milliseconds(900);
};

/// Key services of several data centres on one event queue with a clock of its own.
class KeyServiceSimulation
{
public:
    using Event = std::function<void()>;

    KeyServiceSimulation(std::vector<PlacedInstance> instances, KeyServiceOptions options,
                         SimulatedNetworkFaults faults, std::uint64_t seed);

    void at(TimePoint time, Event event);
    void after(Duration delay, Event event) { at(m_now + delay, std::move(event)); }
    /// Handles all events up to @p time.
    void runUntil(TimePoint time);

    TimePoint now() const { return m_now; }
    std::int64_t wallMs() const { return toMilliseconds(m_now.time_since_epoch()); }
    std::mt19937_64 &random() { return m_random; }
    bool chance(double probability);
    Duration randomDuration(Duration longest);

    /// Service of @p instance, or null while it is down.
    KeyService *service(const InstanceId &instance);
    /// Life of @p instance, from 1; counts restarts.
    std::uint64_t incarnation(const InstanceId &instance) const
    {
        return m_simulatedInstances.at(instance).incarnation;
    }
    const std::vector<PlacedInstance> &instances() const { return m_instances; }

    void crash(const InstanceId &instance);
    void restart(const InstanceId &instance);
    void pause(const InstanceId &instance, Duration length);
    /// Runs @p event on @p instance: at once, or when its pause is over; not when it crashed.
    void onInstance(const InstanceId &instance, std::uint64_t incarnation, Event event);
    /// Lets every instance take over @p instances within @p spread, each at its own time.
    void changeInstances(const std::vector<PlacedInstance> &instances, Duration spread);
    /// Cuts these instances off from all others; an empty set heals.
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
