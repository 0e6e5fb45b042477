#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <functional>
#include <gentianramp/authority/engine_plan.hpp>
#include <gentianramp/authority/lease_service.hpp>
#include <gentianramp/config/declared_configuration.hpp>
#include <gentianramp/config/node_settings.hpp>
#include <gentianramp/core/metrics.hpp>
#include <gentianramp/core/timeline.hpp>
#include <gentianramp/planner/role_policy.hpp>
#include <gentianramp/wire/mesh.hpp>
#include <memory>
#include <optional>
#include <vector>

namespace gentianramp {

/// Options and callbacks of an AuthorityController.
struct AuthorityOptions
{
    NodeSettings settings;
    Incarnation incarnation;
    std::uint64_t seed = 1;
    boost::asio::any_io_executor executor; ///< All calls and hooks run on it, one at a time.
    std::function<void(const InstanceId &to, PayloadKind kind, std::string payload, Duration ttl)>
        send;
    /// Makes the role policy of one service. Without it, only the declaration changes roles.
    std::function<RolePolicy()> makeRolePolicy;
    MetricsRegistry *metrics = nullptr;
    TimelineWriter *timeline = nullptr;
    Duration pollInterval = std::chrono::milliseconds(500);
    PlanLimits limits;
};

/// State of one engine known to the lease holder.
struct EngineOverview
{
    EngineReport report;
    EngineRole desiredRole = EngineRole::Mixed;
    bool drained = false;
    bool reachable = false;
    TimePoint lastReport;
};

/// Competes for the lease of the own data centre. While it holds the lease, polls the backend
/// servers, sends orders to the engines and sends the fleet table to its readers.
class AuthorityController
{
public:
    explicit AuthorityController(AuthorityOptions options);
    ~AuthorityController();
    AuthorityController(const AuthorityController &) = delete;
    AuthorityController &operator=(const AuthorityController &) = delete;

    void onConfiguration(const DeclaredConfiguration &configuration);
    /// Takes messages of PayloadKind::Lease, Fleet and Demand.
    void onMessage(const ReceivedMessage &message);
    /// Call every 20 ms.
    void tick(TimePoint now);
    /// Releases the lease for another process to acquire; calls @p done when the release messages
    /// have been sent.
    void release(std::function<void()> done);

    std::optional<HeldLease> held(TimePoint now) const;
    std::vector<EngineOverview> engines() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gentianramp
