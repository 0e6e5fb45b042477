#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <gentianramp/config/declared_configuration.hpp>
#include <gentianramp/routing/demand.hpp>
#include <gentianramp/routing/fleet_view.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "gentianramp/routing/backend_choice.hpp"
#include "gentianramp/routing/output_estimate.hpp"
#include "gentianramp/routing/retry_budget.hpp"
#include "gentianramp/routing/waiting_request.hpp"

namespace gentianramp {

/// Demand counters of one service and priority.
struct DemandCounters
{
    std::atomic<std::uint64_t> requests{0};
    std::atomic<std::uint64_t> promptTokens{0};
    std::atomic<std::uint64_t> cachedTokens{0};
    std::atomic<std::uint64_t> outputTokens{0};
    std::atomic<std::uint64_t> refused{0};
    std::atomic<std::int64_t> outstandingPromptTokens{0};
    std::atomic<std::int64_t> outstandingOutputTokens{0};
};

/// State of a service that outlives changes of configuration and fleet.
struct ServiceState
{
    static constexpr std::size_t Priorities = 4; ///< Less urgent levels share the last entry.
    static constexpr OutputLength FirstOutputLength{128, 128};

    ServiceState();

    OutputEstimate &output(std::uint32_t priority);
    DemandCounters &demand(std::uint32_t priority);

    std::array<std::unique_ptr<OutputEstimate>, Priorities> outputs;
    std::array<DemandCounters, Priorities> demands;
    std::mutex queueMutex;
    RequestQueue queue;
    std::atomic<std::size_t> waiting{0};
};

/// One service in a routing table.
struct ServiceEntry
{
    ServiceDeclaration declaration;
    std::shared_ptr<ServiceState> state;
    std::vector<Candidate> candidates;
    std::vector<PriorityClass> classes; ///< Most urgent first.
    std::unordered_map<CustomerId, std::shared_ptr<RetryBudget>> retryBudgets;
    std::shared_ptr<RetryBudget> sharedRetryBudget; ///< For customers that are not declared.

    /// Share of the slots that requests of that priority must leave to more urgent classes.
    double reservedShare(std::uint32_t priority) const;
    RetryBudget &retryBudget(const CustomerId &customer) const;
};

/// Immutable snapshot that is read to route a request.
struct RoutingTable
{
    std::unordered_map<ServiceId, ServiceEntry> services;
};

/// Builds routing tables and owns the state that outlives them. Not thread-safe.
class RoutingTableBuilder
{
public:
    explicit RoutingTableBuilder(DataCentreId site);

    void configure(const DeclaredConfiguration &configuration);
    void setFleet(const FleetView &fleet);
    /// Overrides the phase of a backend server until @p until.
    void override(const BackendId &backend, BackendPhase phase, TimePoint until);

    /// Whether an override has ended since the last build().
    bool overridesEnded(TimePoint now) const;

    std::unique_ptr<const RoutingTable> build(TimePoint now);
    /// Load of a backend server that was in a routing table; null when it is unknown.
    std::shared_ptr<BackendLoad> load(const BackendId &backend) const;
    std::vector<std::shared_ptr<BackendLoad>> loads() const;
    std::vector<FleetView> fleets() const;

private:
    struct Override
    {
        BackendPhase phase = BackendPhase::Serving;
        TimePoint until{};
    };

    Candidate candidateFor(BackendView view);
    ServiceEntry entryFor(const ServiceDeclaration &declaration);
    std::shared_ptr<RetryBudget> budgetFor(const ServiceId &service, const CustomerId &customer);

    DataCentreId m_site;
    DeclaredConfiguration m_configuration;
    std::map<DataCentreId, FleetView> m_fleets;
    std::unordered_map<BackendId, std::shared_ptr<BackendLoad>> m_loads;
    std::unordered_map<BackendId, Override> m_overrides;
    std::unordered_map<ServiceId, std::shared_ptr<ServiceState>> m_states;
    std::map<std::pair<ServiceId, CustomerId>, std::shared_ptr<RetryBudget>> m_budgets;
};

} // namespace gentianramp
