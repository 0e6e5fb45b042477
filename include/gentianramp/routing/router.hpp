#pragma once

#include <cstdint>
#include <functional>
#include <gentianramp/admission/admission_queue.hpp>
#include <gentianramp/config/declared_configuration.hpp>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/ids.hpp>
#include <gentianramp/core/metrics.hpp>
#include <gentianramp/routing/cache_events.hpp>
#include <gentianramp/routing/demand.hpp>
#include <gentianramp/routing/fleet_view.hpp>
#include <gentianramp/routing/limit_shares.hpp>
#include <gentianramp/routing/request_attributes.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace gentianramp {

/// How an attempt at a backend server failed.
enum class AttemptFailure {
    Refused,    ///< The backend server answered NotRun, or the connection was refused.
    Broken,     ///< The connection was lost or the answer malformed.
    Silent,     ///< No byte arrived within the silence timeout.
    CallerGone, ///< The caller disconnected; the backend server didn't fail.
};

/// Options of a Router.
struct RouterOptions
{
    InstanceId instance;
    DataCentreId site;
    std::uint64_t seed = 1;                 ///< For the randomised choice of candidates.
    std::vector<InstanceId> instances;      ///< All entry instances, including this one.
    std::uint32_t choices = 2;              ///< Candidates compared besides cache holders.
    std::uint32_t prefixEntries = 1U << 17; ///< Bound of the prefix index, 16 bytes each.
    MetricsRegistry *metrics = nullptr;
};

/// Called exactly once for each submitted request, possibly from inside another call of Router,
/// on the thread of that call and with no lock held.
using DecisionCallback = std::function<void(Decision)>;

/// Admits the requests of one entry instance and chooses their backend servers.
///
/// All functions may be called from any thread. The choice reads atomics and a snapshot under
/// read-copy-update; locks are taken only for requests that have to wait and for customers' limits.
class Router
{
public:
    explicit Router(RouterOptions options);
    ~Router();
    Router(const Router &) = delete;
    Router &operator=(const Router &) = delete;

    /// Applies services, customers and priority classes of an accepted configuration.
    void configure(const DeclaredConfiguration &configuration, TimePoint now);
    /// Replaces the backend servers of one data centre.
    void publishFleet(const FleetView &fleet, TimePoint now);
    /// Overrides the phase of one backend server for 5 s, for example with Leaving, because fleet
    /// tables lag behind such changes.
    void markPhase(const BackendId &backend, BackendPhase phase, TimePoint now);
    /// Applies a backend server's load report. Closes its circuit breaker if the back-off is over
    /// and no probe is running.
    void applyLoad(const BackendId &backend, const LoadReport &report, TimePoint now);
    void applyCacheEvents(const BackendId &backend, const CacheEvents &events, TimePoint now);

    /// Admits, queues or refuses a request. @p onDecision is called now or later, once.
    /// Returns the number under which the request waits, or 0 when it was decided at once.
    WaitNumber submit(RequestAttributes attributes, TimePoint now, DecisionCallback onDecision);
    /// Cancels a waiting request; false when it was decided already.
    bool withdraw(WaitNumber wait);
    /// Refuses all waiting and new requests; dispatched requests continue.
    void shutDown(TimePoint now);

    // Progress of a dispatched request. It counts as outstanding from its decision on, until
    // finished() or failed().

    /// The first token arrived or, with a separate prefill server, the prefill ended.
    void firstToken(const DispatchHandle &handle, TimePoint now);
    /// @p emitted counts the tokens since the start of the answer.
    void progress(const DispatchHandle &handle, std::uint32_t emitted, TimePoint now);
    void finished(const DispatchHandle &handle, std::uint32_t emitted, TimePoint now);
    void failed(const DispatchHandle &handle, AttemptFailure failure, TimePoint now);

    /// Dispatches or refuses waiting requests, ends overrides of phases and records this instance's
    /// own load for comparison with reports; call about every 50 ms.
    void tick(TimePoint now);

    /// Messages to send to other entry instances; call about once a second.
    std::vector<LimitMessage> limitMessages(TimePoint now);
    /// Handles a message of PayloadKind::Limit; returns the answer to send back, if any.
    std::vector<LimitMessage> applyLimitMessage(const InstanceId &sender, std::string_view payload,
                                                TimePoint now);

    /// Demand since the last call, for the planner of the data centre.
    DemandSample takeDemand(TimePoint now);

    /// Number of waiting requests.
    std::size_t waiting() const;
    /// Number of outstanding requests that this instance sent to a backend server.
    std::uint32_t outstanding(const BackendId &backend) const;
    /// The published fleet tables, for display.
    std::vector<FleetView> fleets() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gentianramp
