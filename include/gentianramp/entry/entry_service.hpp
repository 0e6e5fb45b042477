#pragma once

#include <cstdint>
#include <functional>
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
    CurveKeyPair keys; ///< Of this process in the mesh; unused if `settings.endpoint` is empty.
    Incarnation incarnation; ///< Larger than in any earlier incarnation of the instance.
    /// Set by the operator: no idempotency key was ever claimed in this deployment.
    bool firstStart = false;
    std::uint64_t seed = 1;
    /// Called on any thread when a background task threw an exception. Requests still run.
    std::function<void()> failed = [] {};
};

/// Entry instance: HTTP server for callers, request pipeline and its background tasks.
class EntryService
{
public:
    explicit EntryService(EntryOptions options);
    /// Stops at once; answers in progress are aborted.
    ~EntryService();
    EntryService(const EntryService &) = delete;
    EntryService &operator=(const EntryService &) = delete;

    /// Starts all threads; returns the port on which callers are served.
    Result<std::uint16_t> start();
    /// Updates the keys and addresses of other processes. The set of entry instances does not
    /// change.
    void setPeers(const std::vector<PeerSettings> &peers);
    /// Refuses new requests with Verdict::NotRun; answers in progress continue.
    void beginShutdown();
    /// Closes the listening socket; open connections stay.
    void stopListening();
    /// True while a request is being answered.
    bool hasActiveRequests() const;
    /// True while a claim's outcome is not yet stored on a majority of the key's replicas.
    bool hasOpenSettlements() const;

    /// Puts a configuration in force; false when its revision is not larger than the present one.
    bool applyConfiguration(DeclaredConfiguration configuration, Revision revision);
    Revision revision() const;
    /// Replaces the backend servers of the data centre of @p fleet.
    void publishFleet(const FleetView &fleet);
    /// Demand since the last call.
    DemandSample takeDemand();

    /// Sets the handler for messages of a kind that the instance does not handle itself. Call
    /// before start(); @p hook is called on a thread of the instance.
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
