#include "gentianramp/routing/router_state.hpp"

#include <algorithm>
#include <utility>

namespace gentianramp {
namespace {

/// Waiting requests tried before the search for one to dispatch gives up.
constexpr std::size_t MaxTriesPerDispatch = 8;
constexpr Duration ShortRetryAfter = std::chrono::milliseconds(500);
constexpr Duration LongRetryAfter = std::chrono::seconds(5);

bool isCapacityRefusal(RefusalReason reason)
{
    return reason == RefusalReason::QueueFull || reason == RefusalReason::DeadlineUnreachable
        || reason == RefusalReason::NoBackend;
}

Duration fromSeconds(double value)
{
    return Duration(static_cast<Duration::rep>(value * 1e9));
}

/// Engine time of an answer of expected length on the service's first backend server.
double expectedEngineSeconds(const ServiceEntry &service, const RequestAttributes &attributes,
                             std::uint32_t cached, const OutputLength &output)
{
    if (service.candidates.empty())
        return 0;
    return engineSeconds(service.candidates.front().view, attributes.promptTokens - cached,
                         output.mean);
}

OutputLength expectedOutput(const ServiceEntry &service, const RequestAttributes &attributes)
{
    if (service.declaration.kind == ServiceKind::Plain)
        return {};
    return service.state->output(attributes.priority).estimate(attributes.maxOutputTokens);
}

std::uint32_t bestCached(const std::vector<CacheHolder> &holders,
                         const RequestAttributes &attributes)
{
    std::uint32_t tokens = 0;
    for (const CacheHolder &holder : holders)
        tokens = std::max(tokens, holder.tokens);
    return std::min(tokens, attributes.promptTokens);
}

std::uint64_t nonNegative(const std::atomic<std::int64_t> &value)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, value.load()));
}

/// Demand of one service by priority since the last call; priorities without demand are omitted.
std::vector<ServiceDemand> takeServiceDemand(const ServiceId &id, ServiceState &service)
{
    std::vector<ServiceDemand> demands(ServiceState::Priorities);
    for (std::uint32_t priority = 0; priority < ServiceState::Priorities; ++priority) {
        DemandCounters &counters = service.demand(priority);
        demands[priority]
            = {.service = id,
               .priority = priority,
               .requests = counters.requests.exchange(0),
               .promptTokens = counters.promptTokens.exchange(0),
               .cachedTokens = counters.cachedTokens.exchange(0),
               .outputTokens = counters.outputTokens.exchange(0),
               .refused = counters.refused.exchange(0),
               .outstandingPromptTokens = nonNegative(counters.outstandingPromptTokens),
               .outstandingOutputTokens = nonNegative(counters.outstandingOutputTokens)};
    }
    {
        const std::lock_guard lock(service.queueMutex);
        service.queue.forEach([&demands](const WaitingRequest &request) {
            ServiceDemand &demand = demands[std::min<std::size_t>(request.attributes.priority,
                                                                  ServiceState::Priorities - 1)];
            demand.waitingPromptTokens += request.attributes.promptTokens;
            demand.waitingOutputTokens += static_cast<std::uint64_t>(request.output.mean);
        });
    }
    std::erase_if(demands, [](const ServiceDemand &demand) {
        return demand == ServiceDemand{.service = demand.service, .priority = demand.priority};
    });
    return demands;
}

BackendAddress addressOf(const BackendView &view)
{
    return {view.id, view.host, view.port};
}

} // namespace

void deliver(std::vector<Delivery> deliveries)
{
    for (Delivery &delivery : deliveries)
        delivery.callback(std::move(delivery.decision));
}

std::string_view toString(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::UnknownService:
        return "unknown_service";
    case RefusalReason::UnknownModel:
        return "unknown_model";
    case RefusalReason::NoBackend:
        return "no_backend";
    case RefusalReason::CustomerLimit:
        return "customer_limit";
    case RefusalReason::QueueFull:
        return "queue_full";
    case RefusalReason::DeadlineUnreachable:
        return "deadline_unreachable";
    case RefusalReason::RetryBudget:
        return "retry_budget";
    case RefusalReason::ShuttingDown:
        return "shutting_down";
    }
    return "unknown";
}

LimitSharesOptions Router::State::limitOptions(const RouterOptions &options)
{
    LimitSharesOptions limits{
        .self = options.instance, .instances = options.instances, .seed = options.seed};
    if (limits.instances.empty())
        limits.instances.push_back(options.instance);
    return limits;
}

void Router::State::addMetrics()
{
    if (options.metrics == nullptr)
        return;
    dispatched = &options.metrics->counter("gentianramp_routing_dispatched_total",
                                           "Requests that were given to a backend server");
    refused = &options.metrics->counter("gentianramp_routing_refused_total",
                                        "Requests that were refused before dispatch");
    waitingGauge = &options.metrics->gauge("gentianramp_routing_waiting",
                                           "Requests that wait for a backend server");
}

WaitNumber Router::State::admitOrEnqueue(const ServiceEntry &service, RequestAttributes attributes,
                                         TimePoint now, DecisionCallback onDecision,
                                         std::vector<Delivery> &deliveries)
{
    const OutputLength output = expectedOutput(service, attributes);
    const std::vector<CacheHolder> holders = prefixes.holders(attributes.prefixes, now);
    const std::uint32_t cached = bestCached(holders, attributes);
    recordDemand(service, attributes, cached, output);
    WaitingRequest request{.output = output,
                           .engineSeconds
                           = expectedEngineSeconds(service, attributes, cached, output),
                           .onDecision = std::move(onDecision)};
    const double tokens = attributes.promptTokens + output.mean;
    std::optional<Refusal> refusal = admit(service, attributes, tokens, now);
    request.takenTokens = !refusal && attributes.attempt == Attempt(1) ? tokens : 0;
    request.attributes = std::move(attributes);
    if (!refusal && stopping.load(std::memory_order_acquire))
        refusal = Refusal{RefusalReason::ShuttingDown, {}};
    if (!refusal)
        refusal = refusalIfTooLate(service, request, holders, Duration::zero(), now);
    if (refusal) {
        refuse(service, std::move(request), *refusal, deliveries);
        return 0;
    }
    if (service.state->waiting.load(std::memory_order_acquire) > 0)
        return enqueue(service, std::move(request), holders, now, deliveries);
    std::optional<Decision> decision
        = decide(service, request.attributes, request.output, request.takenTokens, now);
    if (!decision)
        return enqueue(service, std::move(request), holders, now, deliveries);
    if (const auto *refused = std::get_if<Refusal>(&*decision))
        refuse(service, std::move(request), *refused, deliveries);
    else
        deliveries.push_back({std::move(request.onDecision), std::move(*decision)});
    return 0;
}

WaitNumber Router::State::enqueue(const ServiceEntry &service, WaitingRequest request,
                                  const std::vector<CacheHolder> &holders, TimePoint now,
                                  std::vector<Delivery> &deliveries)
{
    const std::lock_guard lock(service.state->queueMutex);
    RequestQueue &queue = service.state->queue;
    if (stopping.load(std::memory_order_acquire)) {
        refuse(service, std::move(request), {RefusalReason::ShuttingDown, {}}, deliveries);
        return 0;
    }
    const double ahead
        = queue.engineSecondsBefore(request.attributes.priority, request.attributes.deadline);
    const Duration wait = fromSeconds(ahead / static_cast<double>(service.candidates.size()));
    if (const auto refusal = refusalIfTooLate(service, request, holders, wait, now)) {
        refuse(service, std::move(request), *refusal, deliveries);
        return 0;
    }
    const WaitNumber number = lastWait.fetch_add(1, std::memory_order_relaxed) + 1;
    request.number = number;
    if (auto shed = queue.push(std::move(request)))
        refuse(service, std::move(*shed),
               {RefusalReason::QueueFull, std::max(wait, ShortRetryAfter)}, deliveries);
    while (dispatchFirstWaiting(service, now, deliveries)) {
    }
    service.state->waiting.store(queue.size(), std::memory_order_release);
    return queue.find(number) == nullptr ? 0 : number;
}

std::optional<Refusal> Router::State::admit(const ServiceEntry &service,
                                            const RequestAttributes &attributes, double tokens,
                                            TimePoint now)
{
    RetryBudget &budget = service.retryBudget(attributes.customer);
    if (attributes.attempt > Attempt(1))
        return budget.takeRetry()
            ? std::nullopt
            : std::optional(Refusal{RefusalReason::RetryBudget, LongRetryAfter});
    const std::lock_guard lock(limitsMutex);
    const LimitResult answer = limits.take(attributes.customer, tokens, now);
    if (!answer.granted)
        return Refusal{RefusalReason::CustomerLimit, answer.retryAfter};
    budget.recordFirstAttempt(service.declaration.retryBudgetPercent);
    return std::nullopt;
}

void Router::State::recordDemand(const ServiceEntry &service, const RequestAttributes &attributes,
                                 std::uint32_t cached, const OutputLength &output) const
{
    DemandCounters &demand = service.state->demand(attributes.priority);
    demand.requests.fetch_add(1, std::memory_order_relaxed);
    demand.promptTokens.fetch_add(attributes.promptTokens - cached, std::memory_order_relaxed);
    demand.cachedTokens.fetch_add(cached, std::memory_order_relaxed);
    demand.outputTokens.fetch_add(static_cast<std::uint64_t>(output.mean),
                                  std::memory_order_relaxed);
}

Choice Router::State::choose(const ServiceEntry &service, const RequestAttributes &attributes,
                             const OutputLength &output, const std::vector<CacheHolder> &holders,
                             TimePoint now)
{
    ChoiceRandom random(options.seed ^ (choiceCount.fetch_add(1, std::memory_order_relaxed) << 20));
    const ChoiceOptions choiceOptions{
        .choices = options.choices,
        .reservedShare = service.reservedShare(attributes.priority),
        .otherInstances = std::max<double>(1, static_cast<double>(options.instances.size())) - 1};
    return chooseBackends(service.candidates, {attributes, output, holders}, choiceOptions, now,
                          random);
}

Placement Router::State::makePlacement(const ServiceEntry &service,
                                       const RequestAttributes &attributes,
                                       const OutputLength &output, double takenTokens,
                                       const Choice &choice, TimePoint now)
{
    const Candidate &backend = service.candidates[choice.backend];
    DispatchClaim claim{.serviceId = service.declaration.id,
                        .service = service.state,
                        .backend = backend.load,
                        .customer = attributes.customer,
                        .priority = attributes.priority,
                        .promptTokens = attributes.promptTokens - choice.cachedTokens,
                        .outputTokens = static_cast<std::uint32_t>(output.mean),
                        .takenTokens = takenTokens,
                        .prefixes = attributes.prefixes};
    Placement placement{.backend = addressOf(backend.view),
                        .expectedCachedTokens = choice.cachedTokens,
                        .expectedFirstToken = now + choice.timeToFirstToken};
    if (choice.prefillBackend) {
        const Candidate &prefill = service.candidates[*choice.prefillBackend];
        placement.prefillBackend = addressOf(prefill.view);
        claim.prefillBackend = prefill.load;
    }
    const BackendLoad &caching = claim.prefillBackend ? *claim.prefillBackend : *claim.backend;
    for (const PromptPrefix &prefix : attributes.prefixes)
        prefixes.store(prefix.hash, caching.number(), prefix.tokens, now);
    placement.handle = std::make_shared<DispatchRecord>(std::move(claim));
    if (dispatched != nullptr)
        dispatched->add();
    return placement;
}

std::optional<Decision> Router::State::decide(const ServiceEntry &service,
                                              const RequestAttributes &attributes,
                                              const OutputLength &output, double takenTokens,
                                              TimePoint now)
{
    const std::vector<CacheHolder> holders = prefixes.holders(attributes.prefixes, now);
    const Choice choice = choose(service, attributes, output, holders, now);
    switch (choice.outcome) {
    case ChoiceOutcome::Busy:
        return std::nullopt;
    case ChoiceOutcome::TooLate:
        return Refusal{RefusalReason::DeadlineUnreachable, ShortRetryAfter};
    case ChoiceOutcome::NoBackend:
        return Refusal{RefusalReason::NoBackend, ShortRetryAfter};
    case ChoiceOutcome::UnknownModel:
        return Refusal{RefusalReason::UnknownModel, LongRetryAfter};
    case ChoiceOutcome::Chosen:
        break;
    }
    // A half-open breaker lets a single probe through; other requests wait.
    if (!service.candidates[choice.backend].load->breaker().allow(attributes.idempotent, now))
        return std::nullopt;
    return makePlacement(service, attributes, output, takenTokens, choice, now);
}

std::optional<Refusal> Router::State::refusalIfTooLate(const ServiceEntry &service,
                                                       const WaitingRequest &request,
                                                       const std::vector<CacheHolder> &holders,
                                                       Duration wait, TimePoint now) const
{
    if (request.attributes.deadline == TimePoint::max())
        return std::nullopt;
    const Duration shortest
        = idleTimeToFinish(service.candidates, {request.attributes, request.output, holders});
    if (now + wait + shortest < request.attributes.deadline)
        return std::nullopt;
    return Refusal{RefusalReason::DeadlineUnreachable, std::max(wait, ShortRetryAfter)};
}

void Router::State::refund(const CustomerId &customer, double tokens)
{
    const std::lock_guard lock(limitsMutex);
    limits.refund(customer, tokens);
}

void Router::State::refuse(const ServiceEntry &service, WaitingRequest request, Refusal refusal,
                           std::vector<Delivery> &deliveries)
{
    if (request.takenTokens > 0)
        refund(request.attributes.customer, request.takenTokens);
    if (isCapacityRefusal(refusal.reason))
        service.state->demand(request.attributes.priority).refused.fetch_add(1);
    if (refused != nullptr)
        refused->add();
    deliveries.push_back({std::move(request.onDecision), refusal});
}

/// Decides on the first waiting request that need not wait any longer; false when all must.
bool Router::State::dispatchFirstWaiting(const ServiceEntry &service, TimePoint now,
                                         std::vector<Delivery> &deliveries)
{
    RequestQueue &queue = service.state->queue;
    for (const WaitNumber number : queue.firstInOrder(MaxTriesPerDispatch)) {
        const WaitingRequest *request = queue.find(number);
        std::optional<Decision> decision
            = decide(service, request->attributes, request->output, request->takenTokens, now);
        if (!decision)
            continue;
        WaitingRequest taken = *queue.takeForDispatch(number);
        if (const auto *refusal = std::get_if<Refusal>(&*decision))
            refuse(service, std::move(taken), *refusal, deliveries);
        else
            deliveries.push_back({std::move(taken.onDecision), std::move(*decision)});
        return true;
    }
    return false;
}

void Router::State::dispatchWaiting(const ServiceEntry &service, TimePoint now,
                                    std::vector<Delivery> &deliveries)
{
    if (service.state->waiting.load(std::memory_order_acquire) == 0)
        return;
    const std::lock_guard lock(service.state->queueMutex);
    while (dispatchFirstWaiting(service, now, deliveries)) {
    }
    service.state->waiting.store(service.state->queue.size(), std::memory_order_release);
}

void Router::State::dispatchAllWaiting(TimePoint now)
{
    std::vector<Delivery> deliveries;
    {
        const RcuReadGuard guard;
        for (const auto &[id, service] : table.read(guard).services)
            dispatchWaiting(service, now, deliveries);
    }
    deliver(std::move(deliveries));
}

void Router::State::dispatchWaitingOf(const ServiceId &id, TimePoint now)
{
    std::vector<Delivery> deliveries;
    {
        const RcuReadGuard guard;
        const auto &services = table.read(guard).services;
        const auto found = services.find(id);
        if (found != services.end())
            dispatchWaiting(found->second, now, deliveries);
    }
    deliver(std::move(deliveries));
}

void Router::State::refuseExpired(const ServiceEntry &service, TimePoint now,
                                  std::vector<Delivery> &deliveries)
{
    if (service.state->waiting.load(std::memory_order_acquire) == 0)
        return;
    const std::lock_guard lock(service.state->queueMutex);
    std::vector<WaitingRequest> late
        = service.state->queue.takeIf([&](const WaitingRequest &request) {
              const auto holders = prefixes.holders(request.attributes.prefixes, now);
              return refusalIfTooLate(service, request, holders, Duration::zero(), now).has_value();
          });
    for (WaitingRequest &request : late)
        refuse(service, std::move(request), {RefusalReason::DeadlineUnreachable, ShortRetryAfter},
               deliveries);
    service.state->waiting.store(service.state->queue.size(), std::memory_order_release);
}

void Router::State::settle(const DispatchRecord &record, std::uint32_t emitted)
{
    const DispatchClaim &claim = record.claim();
    if (claim.takenTokens <= 0)
        return;
    const std::lock_guard lock(limitsMutex);
    limits.settle(claim.customer, static_cast<double>(emitted) - claim.outputTokens);
}

void Router::State::rebuild(TimePoint now)
{
    table.publish(builder.build(now));
}

std::size_t Router::State::waitingCount() const
{
    const RcuReadGuard guard;
    std::size_t count = 0;
    for (const auto &[id, service] : table.read(guard).services)
        count += service.state->waiting.load(std::memory_order_relaxed);
    return count;
}

DemandSample Router::State::takeDemand(TimePoint now)
{
    const Duration::rep before = demandTakenAt.exchange(now.time_since_epoch().count());
    DemandSample sample{.instance = options.instance,
                        .span = now.time_since_epoch() - Duration(before)};
    const RcuReadGuard guard;
    for (const auto &[id, service] : table.read(guard).services) {
        std::vector<ServiceDemand> demands = takeServiceDemand(id, *service.state);
        sample.services.insert(sample.services.end(), demands.begin(), demands.end());
    }
    return sample;
}

} // namespace gentianramp
