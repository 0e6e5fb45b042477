#pragma once

#include <cstdint>
#include <functional>
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
    Refused,    ///< The backend server said NotRun or the connection was refused.
    Broken,     ///< The connection was lost or the answer malformed.
    Silent,     ///< No byte within the bound on silence.
    CallerGone, ///< Not the backend server's fault.
};

/// Options of a Router.
struct RouterOptions
{
    InstanceId instance;
    DataCentreId site;
    std::uint64_t seed = 1;                 ///< Of the randomised choice.
    std::vector<InstanceId> instances;      ///< All entry instances, with this one.
    std::uint32_t choices = 2;              ///< Candidates compared besides cache holders.
    std::uint32_t prefixEntries = 1U << 17; ///< Bound of the prefix index, 16 bytes each.
    MetricsRegistry *metrics = nullptr;
};

/// Number of a waiting request.
using WaitNumber = std::uint64_t;

/// Called exactly once for each submitted request, possibly from inside another call of Router,
/// on the thread of that call and with no lock held.
using DecisionHook = std::function<void(Decision)>;

/// Admission and choice of backend servers of one entry instance.
///
/// All functions may be called from any thread. Choosing reads snapshots by read-copy-update and
/// atomics; a lock is only taken for requests that have to wait and for customers' limits.
class Router
{
public:
    explicit Router(RouterOptions options);
    ~Router();
    Router(const Router &) = delete;
    Router &operator=(const Router &) = delete;

    /// Takes services, customers and priority classes from an accepted configuration.
    void configure(const DeclaredConfiguration &configuration, TimePoint now);
    /// Replaces the backend servers of one data centre.
    void publishFleet(const FleetView &fleet, TimePoint now);
    /// Overrides the phase of one backend server for 5 s, for example as leaving, since fleet
    /// tables lag.
    void markPhase(const BackendId &backend, BackendPhase phase, TimePoint now);
    /// Takes a backend server's load report. It also ends the pause of a circuit breaker.
    void applyLoad(const BackendId &backend, const LoadReport &report, TimePoint now);
    void applyCacheEvents(const BackendId &backend, const CacheEvents &events, TimePoint now);

    /// Admits, queues or refuses a request. @p onDecision is called now or later, once.
    /// Returns the number under which it waits, or 0 when it was decided at once.
    WaitNumber submit(RequestAttributes shape, TimePoint now, DecisionHook onDecision);
    /// Takes a waiting request back; false when it was decided already.
    bool withdraw(WaitNumber wait);
    /// Refuses all waiting and new requests; what was dispatched goes on.
    void shutDown(TimePoint now);

    /// The first token came, or the prefill of a pair is done. A dispatched request counts as
    /// outstanding from its decision on.
    void firstToken(const DispatchHandle &handle, TimePoint now);
    /// @p emitted counts the tokens since the start of the answer.
    void progress(const DispatchHandle &handle, std::uint32_t emitted, TimePoint now);
    void finished(const DispatchHandle &handle, std::uint32_t emitted, TimePoint now);
    void failed(const DispatchHandle &handle, AttemptFailure failure, TimePoint now);

    /// To be called about every 50 ms: waiting requests, history of own load, breakers.
    void tick(TimePoint now);

    /// Messages to send to other entry instances; call about once a second.
    std::vector<LimitMessage> limitMessages(TimePoint now);
    /// Takes a message of PayloadKind::Limit; returns the answer to send back, if any.
    std::vector<LimitMessage> applyLimitMessage(const InstanceId &sender, std::string_view payload,
                                                TimePoint now);

    /// Demand since the last call, for the planner of the data centre.
    DemandSample takeDemand(TimePoint now);

    /// Requests that wait now.
    std::size_t waiting() const;
    /// Own outstanding requests at a backend server.
    std::uint32_t outstanding(const BackendId &backend) const;
    /// The published fleet tables, for display.
    std::vector<FleetView> fleets() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gentianramp
