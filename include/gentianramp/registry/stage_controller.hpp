#pragma once

#include <functional>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/ids.hpp>
#include <gentianramp/registry/backend_listing.hpp>
#include <map>
#include <vector>

namespace gentianramp {

/// An order to an engine to change its stage.
struct StageOrder
{
    ListedServer engine;
    bool prefill = false; ///< Wanted stage.
    bool operator==(const StageOrder &) const = default;
};

/// Options of a StageController.
struct StageOptions
{
    /// Share of a service's engines that decode what others have read. Answers are a few hundred
    /// tokens behind prompts of ten thousand: reading one takes an engine 20 to 80 ms, while a
    /// decoding engine serves dozens of answers at once in less than a second each.
    double decodeShare = 0.17;
    /// Decoding engines that a service has at least, so that the loss of one is borne, as long as
    /// they are no more than a third of its engines.
    std::size_t minDecodingEngines = 3;
    /// Surplus decoding engines that are left alone; each change takes an engine out for seconds.
    std::size_t toleratedSurplus = 1;
    /// An order that was given counts as carried out for so long, until the list shows it.
    Duration orderVisibleTimeout = std::chrono::seconds(8);
    /// Least time between two orders to one engine.
    Duration minOrderInterval = std::chrono::seconds(20);
};

/// Keeps the engines of each service split into those that read prompts and those that decode.
/// Pure; used by the one process that may give orders.
class StageController
{
public:
    explicit StageController(StageOptions options = {});

    /// Orders to give now; each counts as given. Among the engines of a data centre those with the
    /// least work, by @p loads, change first.
    std::vector<StageOrder> decide(const BackendListing &listing, const LoadReports &loads,
                                   TimePoint now);
    /// An order was given to @p engine and the list does not show its effect yet.
    bool changing(const ListedServer &engine, TimePoint now) const;

private:
    struct IssuedOrder
    {
        bool prefill = false;
        TimePoint at{};
    };

    using Engines = std::vector<const ListedServer *>;
    using WorkHook = std::function<std::uint32_t(const ListedServer &)>;

    bool isPrefilling(const ListedServer &engine, TimePoint now) const;
    void adjustDecodeShare(const Engines &engines, const WorkHook &workOf, TimePoint now,
                           std::vector<StageOrder> &orders);
    void ensureDecodingAtEachSite(const Engines &engines, const WorkHook &workOf, TimePoint now,
                                  std::vector<StageOrder> &orders);
    void order(const ListedServer &engine, bool prefill, TimePoint now,
               std::vector<StageOrder> &orders);

    StageOptions m_options;
    std::map<BackendId, IssuedOrder> m_issuedOrders;
};

} // namespace gentianramp
