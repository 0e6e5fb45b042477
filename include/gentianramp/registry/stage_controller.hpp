#pragma once

#include <functional>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/ids.hpp>
#include <gentianramp/registry/backend_listing.hpp>
#include <gentianramp/registry/stage_delays.hpp>
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
    /// Streams assumed for each prefill in progress while nothing was observed of a service; zero
    /// leaves its engines in their stages. For the first start of a system: with traffic, the first
    /// orders would come too late for the first callers.
    double presumedStreamsPerPrefill = 0;
    /// Before traffic, at most this number of engines changes for each entry process: those can't
    /// keep more engines busy at first, and each order has its price.
    double presumedChangesPerEntryProcess = 1;
    /// Minimum number of decoding engines of a service, so that it tolerates the loss of one. A
    /// third of its engines suffices if that is less.
    std::size_t minDecodingEngines = 3;
    /// Before traffic, deviations from the presumed number of decoding engines up to this share of
    /// all engines are tolerated.
    double toleratedDeviation = 0.06;
    /// The split stays as it is while the mean delay of requests is below this share of their
    /// latency target.
    double negligibleDelay = 0.05;
    /// The split stays as it is while another engine would shorten the delays of one stage by less
    /// than this factor more than those of the other.
    double balancedRatio = 2;
    /// Share of a service's engines that change at once under traffic, when the ratio is twice the
    /// balanced one, and at most. Engines are out of service for seconds while they change.
    double changeStep = 0.06;
    double maxChange = 0.15;
    /// Delays are averaged over about this time: long enough to cover short bursts of one kind of
    /// request, short enough to follow a mix that shifts within minutes.
    Duration delayTimeConstant = std::chrono::seconds(5);
    /// Delays are ignored for this time after traffic has started, while KV caches fill, and after
    /// a change of the split, until it has taken effect.
    Duration settlingTime = std::chrono::seconds(4);
    /// An order is assumed to have taken effect for this time, in which the list may still show the
    /// old stage.
    Duration orderVisibleTimeout = std::chrono::seconds(8);
    /// Minimum time between two orders to the same engine.
    Duration minOrderInterval = std::chrono::seconds(10);
};

/// Options for a leader of a system that @p startsFirst, or of one that ran before.
StageOptions makeStageOptions(bool startsFirst);

/// Share of its capacity up to which a group of @p servers parallel servers is used so that
/// requests rarely queue. It follows the square-root staffing rule, in which a load of a servers
/// needs sqrt(a) more for its fluctuation: a single server is used up to 0.38, a group of 64 up to
/// 0.88.
double staffedUtilization(std::uint32_t servers);

/// Share of engines with @p slots slots that decode when @p streamsPerPrefill streams run for each
/// prefill in progress and both stages are staffed alike. A prefill takes an engine of its own.
double presumedDecodeShare(double streamsPerPrefill, std::uint32_t slots);

/// Controls how the engines of each service are split into prefill and decode engines: moves
/// engines to the stage where one more would shorten the delays of requests most. Performs no I/O.
/// All registry processes observe; only the leader decides, since no other process may give orders.
class StageController
{
public:
    explicit StageController(StageOptions options = {});

    /// Notes the delays that entry processes measured.
    void observe(const BackendListing &listing, const ServiceDelays &delays, TimePoint now);
    /// Sets the number of entry processes that send requests to the engines.
    void setEntryProcesses(std::size_t count) { m_entryProcesses = count; }
    /// Returns the orders to send now and records them as sent. Among the engines of a data centre,
    /// those with the lowest load in @p loads change first.
    std::vector<StageOrder> decide(const BackendListing &listing, const LoadReports &loads,
                                   TimePoint now);
    /// Whether @p engine was sent an order whose effect the list does not show yet.
    bool changing(const ListedServer &engine, TimePoint now) const;
    /// Any service was observed to be busy.
    bool everBusy() const;
    /// Mean delays that the splits follow, of services where there are any.
    ServiceDelays meanDelays() const;

private:
    struct IssuedOrder
    {
        bool prefill = false;
        TimePoint issuedAt{};
    };

    using Engines = std::vector<const ListedServer *>;
    using WorkHook = std::function<std::uint32_t(const ListedServer &)>;

    bool isPrefilling(const ListedServer &engine, TimePoint now) const;
    std::ptrdiff_t wantedChange(const SmoothedDelays &delays, const Engines &engines,
                                std::ptrdiff_t decoding) const;
    void adjustSplit(SmoothedDelays &delays, const Engines &engines, const WorkHook &workOf,
                     TimePoint now, std::vector<StageOrder> &orders);
    void changeEngines(std::ptrdiff_t count, bool toPrefill, const Engines &engines,
                       const WorkHook &workOf, TimePoint now, std::vector<StageOrder> &orders);
    void ensureDecodingAtEachSite(const Engines &engines, const WorkHook &workOf, TimePoint now,
                                  std::vector<StageOrder> &orders);
    void order(const ListedServer &engine, bool prefill, TimePoint now,
               std::vector<StageOrder> &orders);

    StageOptions m_options;
    std::size_t m_entryProcesses = 1;
    std::size_t m_presumedChanges = 0; ///< Orders given before traffic.
    std::map<BackendId, IssuedOrder> m_issuedOrders;
    std::map<std::string, SmoothedDelays> m_delays;
};

} // namespace gentianramp
