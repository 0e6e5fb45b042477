#pragma once

#include <functional>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/ids.hpp>
#include <gentianramp/registry/backend_listing.hpp>
#include <map>
#include <vector>

namespace gentianramp {

/// Order to an engine to change its stage.
struct StageOrder
{
    ListedServer engine;
    bool prefill = false; ///< Requested stage: prefill or decode.
    bool operator==(const StageOrder &) const = default;
};

/// Options of a StageController.
struct StageOptions
{
    /// Share of a service's engines that decode. It is small because prefill needs more capacity: a
    /// prompt of ten thousand tokens occupies an engine for 20 to 80 ms, while a decoding engine
    /// generates dozens of answers of a few hundred tokens concurrently, each in less than a
    /// second.
    double decodeShare = 0.17;
    /// Minimum number of decoding engines of a service, so that it tolerates the loss of one. A
    /// third of its engines suffices if that is less.
    std::size_t minDecodingEngines = 3;
    /// Excess decoding engines that are tolerated, since a change of stage takes an engine out of
    /// service for seconds.
    std::size_t toleratedSurplus = 1;
    /// An order is assumed to have taken effect for this time, in which the list may still show the
    /// old stage.
    Duration orderVisibleTimeout = std::chrono::seconds(8);
    /// Minimum time between two orders to the same engine.
    Duration minOrderInterval = std::chrono::seconds(20);
};

/// Controls how the engines of each service are split into prefill and decode engines. Performs no
/// I/O; only the leader uses it, since no other process may give orders.
class StageController
{
public:
    explicit StageController(StageOptions options = {});

    /// Returns the orders to send now and records them as sent. Among the engines of a data centre,
    /// those with the lowest load in @p loads change first.
    std::vector<StageOrder> decide(const BackendListing &listing, const LoadReports &loads,
                                   TimePoint now);
    /// Whether @p engine was sent an order whose effect the list does not show yet.
    bool changing(const ListedServer &engine, TimePoint now) const;

private:
    struct IssuedOrder
    {
        bool prefill = false;
        TimePoint issuedAt{};
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
