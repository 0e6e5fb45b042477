#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <gentianramp/authority/engine_order.hpp>
#include <gentianramp/core/clock.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gentianramp {

/// What an engine should be; the same whoever holds the lease.
struct DesiredEngine
{
    BackendId backend;
    EngineRole role = EngineRole::Mixed;
    ModelId model;
    std::string version;
    std::vector<std::string> adapters;
    std::uint64_t weightBytes = 0; ///< Size of one version in the weight store.
    bool drained = false;          ///< Operators took it out of service.
    bool operator==(const DesiredEngine &) const = default;
};

/// Desired state of the engines of one data centre.
///
/// Roles come from @p roles where the planner named one, else from the declaration.
std::vector<DesiredEngine> desiredEngines(const DeclaredConfiguration &configuration,
                                          const DataCentreId &dataCentre,
                                          const std::map<BackendId, EngineRole> &roles);

/// Asks whether a load of that many bytes may start now; counts it when it may.
using LoadPermitHook = std::function<bool(const BackendId &backend, std::uint64_t bytes)>;

/// Limits of a step.
struct PlanLimits
{
    std::size_t maxDisruptions = 1; ///< Engines out of service at once for planned changes.
    /// Engines that have to serve a model before one of them may be taken out of service.
    std::size_t minimumCopies = 2;
};

/// Compares what the engines report with what they should be and returns the orders to send next,
/// at most one for each engine.
///
/// Keeps no memory: whoever holds the lease next goes on from what the engines report. Work is
/// drained before a role change, and a model's last serving copy is never taken; a load leaves the
/// old version in service until the new one is there.
std::vector<PlannedOrder> nextOrders(const std::vector<DesiredEngine> &desired,
                                     const std::vector<EngineReport> &reports,
                                     const PlanLimits &limits, const LoadPermitHook &mayLoad);

/// Demand of a data centre on the weight store.
struct WeightDemand
{
    DataCentreId dataCentre;
    std::uint32_t priorityLevel = 0; ///< Most urgent class that waits; each level halves the share.
    double bytesPerSecond = 0;       ///< Largest rate that it can use.
    bool operator==(const WeightDemand &) const = default;
};

/// Rate that each data centre may load with: fair by weight of priority; what one can't use goes
/// to the others. The sum never exceeds @p bytesPerSecond.
std::map<DataCentreId, double> shareWeightStore(double bytesPerSecond,
                                                const std::vector<WeightDemand> &demands);

/// Paces loads to a rate.
class LoadPacer
{
public:
    /// Whether a load of @p bytes may start at @p now; if so it uses the rate up to its end.
    bool mayStart(std::uint64_t bytes, double bytesPerSecond, TimePoint now);

private:
    TimePoint m_freeAt;
};

} // namespace gentianramp
