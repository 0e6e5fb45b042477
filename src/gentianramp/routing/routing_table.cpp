#include "gentianramp/routing/routing_table.hpp"

#include <algorithm>

namespace gentianramp {

FleetView declaredFleet(const DeclaredConfiguration &configuration, const DataCentreId &site)
{
    FleetView fleet{.site = site};
    for (const BackendDeclaration &backend : configuration.backends) {
        if (backend.site != site)
            continue;
        BackendView view{.id = backend.id,
                         .site = backend.site,
                         .service = backend.service,
                         .host = backend.host,
                         .port = backend.port,
                         .role = backend.role,
                         .phase = backend.drained ? BackendPhase::Draining : BackendPhase::Serving,
                         .slots = backend.slots,
                         .prefillTokensPerSecond = backend.prefillTokensPerSecond,
                         .decodeTokensPerSecond = backend.decodeTokensPerSecond};
        const auto service
            = std::ranges::find(configuration.services, backend.service, &ServiceDeclaration::id);
        if (service != configuration.services.end()) {
            for (const ModelDeclaration &model : configuration.models) {
                if (model.id != service->model)
                    continue;
                view.models.push_back({model.id, model.version});
                view.adapters = model.adapters;
            }
        }
        fleet.backends.push_back(std::move(view));
    }
    return fleet;
}

ServiceState::ServiceState()
    : queue(0)
{
    for (std::unique_ptr<OutputEstimate> &output : outputs)
        output = std::make_unique<OutputEstimate>(FirstOutputLength);
}

OutputEstimate &ServiceState::output(std::uint32_t priority)
{
    return *outputs[std::min<std::size_t>(priority, Priorities - 1)];
}

DemandCounters &ServiceState::demand(std::uint32_t priority)
{
    return demands[std::min<std::size_t>(priority, Priorities - 1)];
}

double ServiceEntry::reservedShare(std::uint32_t priority) const
{
    double share = 0;
    for (const PriorityClass &priorityClass : classes) {
        if (priorityClass.level < priority)
            share += priorityClass.reservedShare;
    }
    return std::clamp(share, 0.0, 1.0);
}

RetryBudget &ServiceEntry::retryBudget(const CustomerId &customer) const
{
    const auto found = retryBudgets.find(customer);
    return found == retryBudgets.end() ? *sharedRetryBudget : *found->second;
}

RoutingTableBuilder::RoutingTableBuilder(DataCentreId site)
    : m_site(std::move(site))
{ }

void RoutingTableBuilder::configure(const DeclaredConfiguration &configuration)
{
    m_configuration = configuration;
}

void RoutingTableBuilder::setFleet(const FleetView &fleet)
{
    m_fleets[fleet.site] = fleet;
}

void RoutingTableBuilder::override(const BackendId &backend, BackendPhase phase, TimePoint until)
{
    m_overrides[backend] = {phase, until};
}

Candidate RoutingTableBuilder::candidateFor(BackendView view)
{
    std::shared_ptr<BackendLoad> &load = m_loads[view.id];
    if (load == nullptr)
        load = std::make_shared<BackendLoad>(static_cast<BackendNumber>(m_loads.size() - 1));
    const auto overridden = m_overrides.find(view.id);
    if (overridden != m_overrides.end())
        view.phase = overridden->second.phase;
    const bool local = view.site == m_site;
    return {std::move(view), load, local};
}

std::shared_ptr<RetryBudget> RoutingTableBuilder::budgetFor(const ServiceId &service,
                                                            const CustomerId &customer)
{
    std::shared_ptr<RetryBudget> &budget = m_budgets[{service, customer}];
    if (budget == nullptr)
        budget = std::make_shared<RetryBudget>();
    return budget;
}

ServiceEntry RoutingTableBuilder::entryFor(const ServiceDeclaration &declaration)
{
    ServiceEntry entry{.declaration = declaration, .classes = m_configuration.priorityClasses};
    std::ranges::sort(entry.classes, {}, &PriorityClass::level);
    std::shared_ptr<ServiceState> &state = m_states[declaration.id];
    if (state == nullptr)
        state = std::make_shared<ServiceState>();
    entry.state = state;
    entry.sharedRetryBudget = budgetFor(declaration.id, CustomerId());
    for (const CustomerDeclaration &customer : m_configuration.customers)
        entry.retryBudgets.emplace(customer.id, budgetFor(declaration.id, customer.id));
    const std::lock_guard lock(state->queueMutex);
    state->queue.setLimit(declaration.queueLimit);
    return entry;
}

bool RoutingTableBuilder::overridesEnded(TimePoint now) const
{
    return std::ranges::any_of(m_overrides,
                               [now](const auto &entry) { return entry.second.until <= now; });
}

std::unique_ptr<const RoutingTable> RoutingTableBuilder::build(TimePoint now)
{
    std::erase_if(m_overrides, [now](const auto &entry) { return entry.second.until <= now; });
    auto table = std::make_unique<RoutingTable>();
    for (const ServiceDeclaration &declaration : m_configuration.services)
        table->services.emplace(declaration.id, entryFor(declaration));
    for (const auto &[site, fleet] : m_fleets) {
        for (const BackendView &view : fleet.backends) {
            const auto service = table->services.find(view.service);
            if (service != table->services.end())
                service->second.candidates.push_back(candidateFor(view));
        }
    }
    return table;
}

std::shared_ptr<BackendLoad> RoutingTableBuilder::load(const BackendId &backend) const
{
    const auto found = m_loads.find(backend);
    return found == m_loads.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<BackendLoad>> RoutingTableBuilder::loads() const
{
    std::vector<std::shared_ptr<BackendLoad>> loads;
    loads.reserve(m_loads.size());
    for (const auto &[id, load] : m_loads)
        loads.push_back(load);
    return loads;
}

std::vector<FleetView> RoutingTableBuilder::fleets() const
{
    std::vector<FleetView> fleets;
    fleets.reserve(m_fleets.size());
    for (const auto &[site, fleet] : m_fleets)
        fleets.push_back(fleet);
    return fleets;
}

} // namespace gentianramp
