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

/// A decision that is still to be delivered, once no lock is held.
struct Delivery
{
    DecisionHook hook;
    Decision decision;
};

/// Delivers decisions; the caller holds no lock and is in no read section.
void deliver(std::vector<Delivery> deliveries);

struct Router::State
{
    explicit State(RouterOptions given)
        : options(std::move(given))
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

    /// Takes a new request through admission; returns its number when it has to wait.
    WaitNumber enter(const ServiceTable &service, RequestAttributes shape, TimePoint now,
                     DecisionHook onDecision, std::vector<Delivery> &deliveries);
    WaitNumber enqueue(const ServiceTable &service, WaitingRequest request,
                       const std::vector<CacheHolder> &holders, TimePoint now,
                       std::vector<Delivery> &deliveries);
    std::optional<Refusal> admit(const ServiceTable &service, const RequestAttributes &shape,
                                 double tokens, TimePoint now);
    void noteDemand(const ServiceTable &service, const RequestAttributes &shape,
                    std::uint32_t cached, const OutputLength &output) const;
    Choice choose(const ServiceTable &service, const RequestAttributes &shape,
                  const OutputLength &output, const std::vector<CacheHolder> &holders,
                  TimePoint now);
    /// Decision for the request now; empty when it has to wait.
    std::optional<Decision> decide(const ServiceTable &service, const RequestAttributes &shape,
                                   const OutputLength &output, double takenTokens, TimePoint now);
    Placement place(const ServiceTable &service, const RequestAttributes &shape,
                    const OutputLength &output, double takenTokens, const Choice &choice,
                    TimePoint now);
    std::optional<Refusal> tooLate(const ServiceTable &service, const WaitingRequest &request,
                                   const std::vector<CacheHolder> &holders, Duration wait,
                                   TimePoint now) const;
    void refuse(const ServiceTable &service, WaitingRequest request, Refusal refusal,
                std::vector<Delivery> &deliveries);
    void giveBack(const CustomerId &customer, double tokens);
    void settle(const DispatchRecord &record, std::uint32_t emitted);
    void poll(const ServiceTable &service, TimePoint now, std::vector<Delivery> &deliveries);
    bool pollOnce(const ServiceTable &service, TimePoint now, std::vector<Delivery> &deliveries);
    void pollAll(TimePoint now);
    void pollService(const ServiceId &id, TimePoint now);
    void expire(const ServiceTable &service, TimePoint now, std::vector<Delivery> &deliveries);
    void rebuild(TimePoint now);
    std::size_t waitingCount() const;
    DemandSample takeDemand(TimePoint now);
};

} // namespace gentianramp
