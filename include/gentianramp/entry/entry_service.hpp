#pragma once

#include <cstdint>
#include <gentianramp/config/declared_configuration.hpp>
#include <gentianramp/config/node_settings.hpp>
#include <gentianramp/core/error.hpp>
#include <gentianramp/core/metrics.hpp>
#include <gentianramp/core/timeline.hpp>
#include <gentianramp/routing/demand.hpp>
#include <gentianramp/routing/fleet_view.hpp>
#include <gentianramp/wire/mesh.hpp>
#include <memory>

namespace gentianramp {

/// Options of an EntryService.
struct EntryOptions
{
    NodeSettings settings;
    DeclaredConfiguration configuration; ///< In force until a newer one is applied.
    Revision revision;                   ///< Of `configuration`; 0 when it came from files.
    CurveKeyPair keys;                   ///< Of the mesh; unused without an endpoint.
    Incarnation incarnation;             ///< Larger than in any earlier life of the instance.
    /// The operator states that no idempotency key was ever claimed in this deployment.
    bool firstStart = false;
    std::uint64_t seed = 1;
};

/// Entry instance: callers' HTTP server, request pipeline and the work behind it.
class EntryService
{
public:
    explicit EntryService(EntryOptions options);
    /// Stops at once; answers under way are cut.
    ~EntryService();
    EntryService(const EntryService &) = delete;
    EntryService &operator=(const EntryService &) = delete;

    /// Starts all threads; returns the callers' port.
    Result<std::uint16_t> start();
    /// Takes over keys and addresses of other processes; which instances there are stays.
    void setPeers(const std::vector<PeerSettings> &peers);
    /// Refuses new work with NotRun; answers under way go on.
    void beginShutdown();
    /// Closes the listening socket; open connections stay.
    void stopListening();
    /// True while an answer is under way.
    bool hasActiveRequests() const;
    /// True while the outcome of a keyed request is not known to a majority of its replicas.
    bool hasOpenSettlements() const;

    /// Puts a configuration in force; false when its revision is not larger than the present one.
    bool applyConfiguration(DeclaredConfiguration configuration, Revision revision);
    Revision revision() const;
    /// Replaces the backend servers of one data centre.
    void publishFleet(const FleetView &fleet);
    /// Demand since the last call.
    DemandSample takeDemand();

    /// Receives messages of a kind that the instance does not handle itself. Set before start();
    /// called on a thread of the instance.
    void setMessageHook(PayloadKind kind, MessageHook hook);
    /// Sends to another process; drops the message when there is no mesh.
    void send(const InstanceId &to, PayloadKind kind, std::string payload, Duration ttl);

    MetricsRegistry &metrics();
    TimelineWriter &timeline();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gentianramp
