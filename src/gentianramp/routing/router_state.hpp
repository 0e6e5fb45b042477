#pragma once

#include <atomic>
#include <gentianramp/routing/limit_shares.hpp>
#include <gentianramp/routing/rcu_pointer.hpp>
#include <gentianramp/routing/router.hpp>
#include <mutex>
#include <optional>
#include <vector>

#include "gentianramp/routing/backend_choice.hpp"
#include "gentianramp/routing/dispatch_record.hpp"
#include "gentianramp/routing/prefix_index.hpp"
#include "gentianramp/routing/routing_table.hpp"

namespace gentianramp {

/// A decision to deliver once no lock is held.
struct Delivery
{
    DecisionCallback callback;
    Decision decision;
};

/// Calls the callbacks; the caller must hold no lock and be in no RCU read section.
void deliver(std::vector<Delivery> deliveries);

struct Router::State
{
    explicit State(RouterOptions routerOptions)
        : options(std::move(routerOptions))
        , prefixes(options.prefixEntries)
        , builder(options.site)
        , table(std::make_unique<const RoutingTable>())
        , limits(limitOptions(options), TimePoint{})
    { }

    RouterOptions options;
    PrefixIndex prefixes;
    std::mutex builderMutex;
    RoutingTableBuilder builder;
    RcuPointer<RoutingTable> table;
    std::mutex limitsMutex;
    LimitShares limits;
    std::atomic<std::uint64_t> choiceCount{0};
    std::atomic<WaitNumber> lastWait{0};
    std::atomic<bool> stopping{false};
    std::atomic<Duration::rep> demandTakenAt{0};
    Counter *dispatched = nullptr;
    Counter *refused = nullptr;
    Gauge *waitingGauge = nullptr;

    static LimitSharesOptions limitOptions(const RouterOptions &options);
    void addMetrics();

    /// Decides on a new request or queues it; returns its number when it waits, otherwise 0.
    WaitNumber admitOrEnqueue(const ServiceEntry &service, RequestAttributes attributes,
                              TimePoint now, DecisionCallback onDecision,
                              std::vector<Delivery> &deliveries);
    WaitNumber enqueue(const ServiceEntry &service, WaitingRequest request,
                       const std::vector<CacheHolder> &holders, TimePoint now,
                       std::vector<Delivery> &deliveries);
    std::optional<Refusal> admit(const ServiceEntry &service, const RequestAttributes &attributes,
                                 double tokens, TimePoint now);
    void recordDemand(const ServiceEntry &service, const RequestAttributes &attributes,
                      std::uint32_t cached, const OutputLength &output) const;
    Choice choose(const ServiceEntry &service, const RequestAttributes &attributes,
                  const OutputLength &output, const std::vector<CacheHolder> &holders,
                  TimePoint now);
    /// Decision on the request; empty when it has to wait.
    std::optional<Decision> decide(const ServiceEntry &service, const RequestAttributes &attributes,
                                   const OutputLength &output, double takenTokens, TimePoint now);
    Placement makePlacement(const ServiceEntry &service, const RequestAttributes &attributes,
                            const OutputLength &output, double takenTokens, const Choice &choice,
                            TimePoint now);
    std::optional<Refusal> refusalIfTooLate(const ServiceEntry &service,
                                            const WaitingRequest &request,
                                            const std::vector<CacheHolder> &holders, Duration wait,
                                            TimePoint now) const;
    void refuse(const ServiceEntry &service, WaitingRequest request, Refusal refusal,
                std::vector<Delivery> &deliveries);
    void refund(const CustomerId &customer, double tokens);
    void settle(const DispatchRecord &record, std::uint32_t emitted);
    /// Dispatches or refuses waiting requests until none can be decided.
    void dispatchWaiting(const ServiceEntry &service, TimePoint now,
                         std::vector<Delivery> &deliveries);
    bool dispatchFirstWaiting(const ServiceEntry &service, TimePoint now,
                              std::vector<Delivery> &deliveries);
    void dispatchAllWaiting(TimePoint now);
    void dispatchWaitingOf(const ServiceId &id, TimePoint now);
    /// Refuses waiting requests that can't meet their deadlines any more.
    void refuseExpired(const ServiceEntry &service, TimePoint now,
                       std::vector<Delivery> &deliveries);
    void rebuild(TimePoint now);
    std::size_t waitingCount() const;
    DemandSample takeDemand(TimePoint now);
};

} // namespace gentianramp
