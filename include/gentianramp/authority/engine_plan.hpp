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

/// Desired state of one engine; does not depend on which process holds the lease.
struct DesiredEngine
{
    BackendId backend;
    EngineRole role = EngineRole::Mixed;
    ModelId model;
    std::string version;
    std::vector<std::string> adapters;
    std::uint64_t weightBytes = 0; ///< Size of one version in the weight store.
    bool drained = false;          ///< An operator took the engine out of service.
    bool operator==(const DesiredEngine &) const = default;
};

/// Desired state of the engines of one data centre.
///
/// The role of an engine is taken from @p roles, which the planner sets, else from the declaration.
std::vector<DesiredEngine> desiredEngines(const DeclaredConfiguration &configuration,
                                          const DataCentreId &dataCentre,
                                          const std::map<BackendId, EngineRole> &roles);

/// Returns whether a load of @p bytes may start now, and reserves bandwidth for the load if so.
using LoadPermitHook = std::function<bool(const BackendId &backend, std::uint64_t bytes)>;

/// Limits of one call of nextOrders().
struct PlanLimits
{
    std::size_t maxDisruptions = 1; ///< Engines out of service from which on none is drained.
    /// Number of engines that must serve a model before a role change may drain one of them.
    std::size_t minimumCopies = 2;
};

/// Compares the reported with the desired state of the engines and returns the orders to send next,
/// at most one for each engine.
///
/// Stateless, so that the next lease holder can continue from the engines' reports. An engine is
/// drained before its role changes, and only while at least PlanLimits::minimumCopies engines serve
/// its model; a drain by an operator is not subject to the limits. The old version of a model stays
/// in service until the new one is loaded.
std::vector<PlannedOrder> nextOrders(const std::vector<DesiredEngine> &desired,
                                     const std::vector<EngineReport> &reports,
                                     const PlanLimits &limits, const LoadPermitHook &tryStartLoad);

/// Demand of a data centre for bandwidth of the weight store.
struct WeightDemand
{
    DataCentreId dataCentre;
    /// Level of the most urgent priority class with a waiting load; 0 is the most urgent level, and
    /// each further one halves the weight.
    std::uint32_t priorityLevel = 0;
    double bytesPerSecond = 0; ///< Largest rate that the data centre can use.
    bool operator==(const WeightDemand &) const = default;
};

/// Divides the bandwidth of the weight store among data centres: weighted max-min fairness, with
/// weights by priority level. Bandwidth that one data centre cannot use is divided among the
/// others. The sum of the rates never exceeds @p bytesPerSecond.
std::map<DataCentreId, double> shareWeightStore(double bytesPerSecond,
                                                const std::vector<WeightDemand> &demands);

/// Limits the rate of loads; one load runs at a time.
class LoadPacer
{
public:
    /// Returns whether a load of @p bytes may start at @p now. If so, no other load may start until
    /// this one ends at @p bytesPerSecond.
    bool tryStart(std::uint64_t bytes, double bytesPerSecond, TimePoint now);

private:
    TimePoint m_freeAt;
};

} // namespace gentianramp
