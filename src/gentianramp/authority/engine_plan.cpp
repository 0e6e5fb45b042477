#include <gentianramp/authority/engine_plan.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace gentianramp {

namespace {

constexpr std::uint32_t MaxPriorityLevel = 30; // Higher levels get the same weight.

bool contains(const std::vector<std::string> &values, const std::string &value)
{
    return std::find(values.begin(), values.end(), value) != values.end();
}

const std::vector<std::string> &loadedVersions(const EngineReport &report, const ModelId &model)
{
    static const std::vector<std::string> none;
    const auto found = report.versions.find(model);
    return found == report.versions.end() ? none : found->second;
}

/// Compares the desired with the reported state once and derives orders.
class OrderPlanner
{
public:
    OrderPlanner(const std::vector<DesiredEngine> &desired,
                 const std::vector<EngineReport> &reports, const PlanLimits &limits,
                 const LoadPermitHook &tryStartLoad)
        : m_desired(desired)
        , m_limits(limits)
        , m_tryStartLoad(tryStartLoad)
    {
        for (const EngineReport &report : reports)
            m_reports.emplace(report.backend, report);
        for (const DesiredEngine &engine : desired)
            countAvailability(engine);
    }

    std::vector<PlannedOrder> run()
    {
        std::vector<PlannedOrder> orders;
        for (const DesiredEngine &engine : m_desired) {
            const auto found = m_reports.find(engine.backend);
            if (found == m_reports.end() || found->second.orderRunning
                || found->second.phase == EnginePhase::Leaving
                || found->second.phase == EnginePhase::Changing)
                continue;
            if (auto order = orderFor(engine, found->second))
                orders.push_back(std::move(*order));
        }
        return orders;
    }

private:
    static bool serves(const DesiredEngine &engine, const EngineReport &report)
    {
        return report.phase == EnginePhase::Serving
            && !loadedVersions(report, engine.model).empty();
    }

    void countAvailability(const DesiredEngine &engine)
    {
        const auto found = m_reports.find(engine.backend);
        if (found == m_reports.end())
            return;
        if (engine.drained)
            return;
        if (serves(engine, found->second))
            ++m_serving[engine.model];
        else
            ++m_disrupted;
    }

    std::optional<PlannedOrder> orderFor(const DesiredEngine &engine, const EngineReport &report)
    {
        const auto &loaded = loadedVersions(report, engine.model);
        if (engine.drained) {
            if (report.phase != EnginePhase::Serving)
                return std::nullopt;
            return PlannedOrder{.backend = engine.backend, .kind = OrderKind::Drain};
        }
        if (!engine.model.value().empty() && !contains(loaded, engine.version))
            return load(engine);
        if (auto order = adapterOrder(engine, report))
            return order;
        if (report.role != engine.role)
            return changeRole(engine, report);
        if (report.phase == EnginePhase::Draining)
            return PlannedOrder{.backend = engine.backend, .kind = OrderKind::Undrain};
        return unloadOldVersion(engine, loaded);
    }

    std::optional<PlannedOrder> load(const DesiredEngine &engine)
    {
        if (!m_tryStartLoad(engine.backend, engine.weightBytes))
            return std::nullopt;
        return PlannedOrder{.backend = engine.backend,
                            .kind = OrderKind::Load,
                            .model = engine.model,
                            .version = engine.version};
    }

    std::optional<PlannedOrder> adapterOrder(const DesiredEngine &engine,
                                             const EngineReport &report) const
    {
        for (const std::string &adapter : engine.adapters) {
            if (!contains(report.adapters, adapter)) {
                return PlannedOrder{.backend = engine.backend,
                                    .kind = OrderKind::Load,
                                    .model = engine.model,
                                    .adapter = adapter};
            }
        }
        for (const std::string &adapter : report.adapters) {
            if (!contains(engine.adapters, adapter)) {
                return PlannedOrder{.backend = engine.backend,
                                    .kind = OrderKind::Unload,
                                    .model = engine.model,
                                    .adapter = adapter};
            }
        }
        return std::nullopt;
    }

    std::optional<PlannedOrder> changeRole(const DesiredEngine &engine, const EngineReport &report)
    {
        if (report.phase == EnginePhase::Serving)
            return drainForRoleChange(engine, report);
        if (report.requestsRunning > 0)
            return std::nullopt;
        return PlannedOrder{
            .backend = engine.backend, .kind = OrderKind::SetRole, .role = engine.role};
    }

    /// Drains an engine unless too few engines serve its model or too many are out of service.
    std::optional<PlannedOrder> drainForRoleChange(const DesiredEngine &engine,
                                                   const EngineReport &report)
    {
        if (m_disrupted >= m_limits.maxDisruptions)
            return std::nullopt;
        if (serves(engine, report)) {
            std::size_t &serving = m_serving[engine.model];
            if (serving < m_limits.minimumCopies)
                return std::nullopt;
            --serving;
        }
        ++m_disrupted;
        return PlannedOrder{.backend = engine.backend, .kind = OrderKind::Drain};
    }

    std::optional<PlannedOrder> unloadOldVersion(const DesiredEngine &engine,
                                                 const std::vector<std::string> &loaded) const
    {
        for (const std::string &version : loaded) {
            if (version != engine.version) {
                return PlannedOrder{.backend = engine.backend,
                                    .kind = OrderKind::Unload,
                                    .model = engine.model,
                                    .version = version};
            }
        }
        return std::nullopt;
    }

    const std::vector<DesiredEngine> &m_desired;
    const PlanLimits &m_limits;
    const LoadPermitHook &m_tryStartLoad;
    std::map<BackendId, EngineReport> m_reports;
    std::map<ModelId, std::size_t> m_serving;
    std::size_t m_disrupted = 0;
};

const ModelDeclaration *findModel(const DeclaredConfiguration &configuration, const ModelId &id)
{
    const auto found = std::find_if(configuration.models.begin(), configuration.models.end(),
                                    [&id](const auto &model) { return model.id == id; });
    return found == configuration.models.end() ? nullptr : &*found;
}

const ServiceDeclaration *findService(const DeclaredConfiguration &configuration,
                                      const ServiceId &id)
{
    const auto found = std::find_if(configuration.services.begin(), configuration.services.end(),
                                    [&id](const auto &service) { return service.id == id; });
    return found == configuration.services.end() ? nullptr : &*found;
}

} // namespace

std::vector<DesiredEngine> desiredEngines(const DeclaredConfiguration &configuration,
                                          const DataCentreId &dataCentre,
                                          const std::map<BackendId, EngineRole> &roles)
{
    std::vector<DesiredEngine> engines;
    for (const BackendDeclaration &backend : configuration.backends) {
        const ServiceDeclaration *service = findService(configuration, backend.service);
        if (backend.site != dataCentre || service == nullptr || service->kind != ServiceKind::Model)
            continue;
        const ModelDeclaration *model = findModel(configuration, service->model);
        if (model == nullptr)
            continue;
        const auto planned = roles.find(backend.id);
        engines.push_back({.backend = backend.id,
                           .role = planned == roles.end() ? backend.role : planned->second,
                           .model = model->id,
                           .version = model->version,
                           .adapters = model->adapters,
                           .weightBytes = model->weightBytes,
                           .drained = backend.drained});
    }
    return engines;
}

std::vector<PlannedOrder> nextOrders(const std::vector<DesiredEngine> &desired,
                                     const std::vector<EngineReport> &reports,
                                     const PlanLimits &limits, const LoadPermitHook &tryStartLoad)
{
    return OrderPlanner(desired, reports, limits, tryStartLoad).run();
}

std::map<DataCentreId, double> shareWeightStore(double bytesPerSecond,
                                                const std::vector<WeightDemand> &demands)
{
    std::map<DataCentreId, double> shares;
    std::vector<WeightDemand> unallocated = demands;
    double remaining = bytesPerSecond;
    const auto weight = [](const WeightDemand &demand) {
        return std::ldexp(1.0, -static_cast<int>(std::min(demand.priorityLevel, MaxPriorityLevel)));
    };
    while (!unallocated.empty()) {
        double weights = 0;
        for (const WeightDemand &demand : unallocated)
            weights += weight(demand);
        const double unit = remaining / weights;
        const auto satisfied
            = std::partition(unallocated.begin(), unallocated.end(), [&](const auto &demand) {
                  return demand.bytesPerSecond > unit * weight(demand);
              });
        if (satisfied == unallocated.end()) {
            for (const WeightDemand &demand : unallocated)
                shares[demand.dataCentre] = unit * weight(demand);
            break;
        }
        for (auto it = satisfied; it != unallocated.end(); ++it) {
            shares[it->dataCentre] = it->bytesPerSecond;
            remaining -= it->bytesPerSecond;
        }
        unallocated.erase(satisfied, unallocated.end());
    }
    return shares;
}

bool LoadPacer::tryStart(std::uint64_t bytes, double bytesPerSecond, TimePoint now)
{
    if (now < m_freeAt || bytesPerSecond <= 0)
        return false;
    const std::chrono::duration<double> length(static_cast<double>(bytes) / bytesPerSecond);
    m_freeAt = now + std::chrono::duration_cast<Duration>(length);
    return true;
}

} // namespace gentianramp
