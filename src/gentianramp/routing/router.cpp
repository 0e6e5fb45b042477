#include <gentianramp/routing/router.hpp>
#include <mutex>
#include <utility>

#include "gentianramp/routing/router_state.hpp"

namespace gentianramp {
namespace {

constexpr Duration OverrideLifetime = std::chrono::seconds(5);
constexpr Duration UnknownRetryAfter = std::chrono::seconds(5);

} // namespace

Router::Router(RouterOptions options)
    : m_state(std::make_shared<State>(std::move(options)))
{
    m_state->addMetrics();
}

Router::~Router() = default;

void Router::configure(const DeclaredConfiguration &configuration, TimePoint now)
{
    std::vector<CustomerLimit> limits;
    limits.reserve(configuration.customers.size());
    for (const CustomerDeclaration &customer : configuration.customers)
        limits.push_back({customer.id, customer.requestsPerSecond, customer.tokensPerSecond});
    {
        const std::lock_guard lock(m_state->limitsMutex);
        m_state->limits.configure(limits, now);
    }
    {
        const std::lock_guard lock(m_state->builderMutex);
        m_state->builder.configure(configuration);
        m_state->rebuild(now);
    }
    m_state->dispatchAllWaiting(now);
}

void Router::publishFleet(const FleetView &fleet, TimePoint now)
{
    {
        const std::lock_guard lock(m_state->builderMutex);
        m_state->builder.setFleet(fleet);
        m_state->rebuild(now);
    }
    m_state->dispatchAllWaiting(now);
}

void Router::markPhase(const BackendId &backend, BackendPhase phase, TimePoint now)
{
    const std::lock_guard lock(m_state->builderMutex);
    m_state->builder.override(backend, phase, now + OverrideLifetime);
    m_state->rebuild(now);
}

void Router::applyLoad(const BackendId &backend, const LoadReport &report, TimePoint now)
{
    std::shared_ptr<BackendLoad> load;
    {
        const std::lock_guard lock(m_state->builderMutex);
        load = m_state->builder.load(backend);
    }
    if (load != nullptr)
        load->applyReport(report, now);
}

void Router::applyCacheEvents(const BackendId &backend, const CacheEvents &events, TimePoint now)
{
    std::shared_ptr<BackendLoad> load;
    {
        const std::lock_guard lock(m_state->builderMutex);
        load = m_state->builder.load(backend);
    }
    if (load == nullptr)
        return;
    if (events.restarted)
        m_state->prefixes.clear(load->number());
    for (const CacheEvent &event : events.events) {
        if (load->recordCacheEvent(event.sequence, events.restarted))
            m_state->prefixes.recordGap(load->number(), now);
        if (event.stored)
            m_state->prefixes.store(event.prefix, load->number(), event.tokens, now);
        else
            m_state->prefixes.evict(event.prefix, load->number());
    }
}

WaitNumber Router::submit(RequestAttributes attributes, TimePoint now, DecisionCallback onDecision)
{
    State &state = *m_state;
    std::vector<Delivery> deliveries;
    WaitNumber number = 0;
    {
        const RcuReadGuard guard;
        const auto &services = state.table.read(guard).services;
        const auto found = services.find(attributes.service);
        if (found == services.end())
            deliveries.push_back(
                {std::move(onDecision), Refusal{RefusalReason::UnknownService, UnknownRetryAfter}});
        else
            number = state.admitOrEnqueue(found->second, std::move(attributes), now,
                                          std::move(onDecision), deliveries);
    }
    deliver(std::move(deliveries));
    return number;
}

bool Router::withdraw(WaitNumber wait)
{
    State &state = *m_state;
    const RcuReadGuard guard;
    for (const auto &[id, service] : state.table.read(guard).services) {
        const std::lock_guard lock(service.state->queueMutex);
        const std::optional<WaitingRequest> taken = service.state->queue.take(wait);
        if (!taken)
            continue;
        service.state->waiting.store(service.state->queue.size(), std::memory_order_release);
        if (taken->takenTokens > 0)
            state.refund(taken->attributes.customer, taken->takenTokens);
        return true;
    }
    return false;
}

void Router::shutDown(TimePoint)
{
    State &state = *m_state;
    state.stopping.store(true, std::memory_order_release);
    std::vector<Delivery> deliveries;
    {
        const RcuReadGuard guard;
        for (const auto &[id, service] : state.table.read(guard).services) {
            const std::lock_guard lock(service.state->queueMutex);
            for (WaitingRequest &request :
                 service.state->queue.takeIf([](const WaitingRequest &) { return true; }))
                state.refuse(service, std::move(request), {RefusalReason::ShuttingDown, {}},
                             deliveries);
            service.state->waiting.store(0, std::memory_order_release);
        }
    }
    deliver(std::move(deliveries));
}

void Router::firstToken(const DispatchHandle &handle, TimePoint now)
{
    handle->currentBackend().breaker().succeeded();
    handle->recordPrefillDone(now);
    m_state->dispatchWaitingOf(handle->claim().serviceId, now);
}

void Router::progress(const DispatchHandle &handle, std::uint32_t emitted, TimePoint now)
{
    handle->recordEmitted(emitted, now);
}

void Router::finished(const DispatchHandle &handle, std::uint32_t emitted, TimePoint now)
{
    if (!handle->end())
        return;
    const DispatchClaim &claim = handle->claim();
    claim.backend->breaker().succeeded();
    claim.service->output(claim.priority).record(emitted);
    m_state->settle(*handle, emitted);
    m_state->dispatchWaitingOf(claim.serviceId, now);
}

void Router::failed(const DispatchHandle &handle, AttemptFailure failure, TimePoint now)
{
    BackendLoad &backend = handle->currentBackend();
    if (!handle->end())
        return;
    if (failure == AttemptFailure::CallerGone)
        backend.breaker().probeAbandoned();
    else
        backend.breaker().failed(now);
    m_state->settle(*handle, 0);
    m_state->dispatchWaitingOf(handle->claim().serviceId, now);
}

void Router::tick(TimePoint now)
{
    State &state = *m_state;
    std::vector<std::shared_ptr<BackendLoad>> loads;
    {
        const std::lock_guard lock(state.builderMutex);
        if (state.builder.overridesEnded(now))
            state.rebuild(now);
        loads = state.builder.loads();
    }
    for (const std::shared_ptr<BackendLoad> &load : loads)
        load->sample(now);
    std::vector<Delivery> deliveries;
    {
        const RcuReadGuard guard;
        for (const auto &[id, service] : state.table.read(guard).services) {
            state.refuseExpired(service, now, deliveries);
            state.dispatchWaiting(service, now, deliveries);
        }
    }
    deliver(std::move(deliveries));
    if (state.waitingGauge != nullptr)
        state.waitingGauge->set(static_cast<double>(waiting()));
}

std::vector<LimitMessage> Router::limitMessages(TimePoint now)
{
    const std::lock_guard lock(m_state->limitsMutex);
    return m_state->limits.requestShares(now);
}

std::vector<LimitMessage> Router::applyLimitMessage(const InstanceId &sender,
                                                    std::string_view payload, TimePoint now)
{
    const std::lock_guard lock(m_state->limitsMutex);
    std::optional<LimitMessage> answer = m_state->limits.handle(sender, payload, now);
    if (!answer)
        return {};
    return {std::move(*answer)};
}

DemandSample Router::takeDemand(TimePoint now)
{
    return m_state->takeDemand(now);
}

std::size_t Router::waiting() const
{
    return m_state->waitingCount();
}

std::uint32_t Router::outstanding(const BackendId &backend) const
{
    const std::lock_guard lock(m_state->builderMutex);
    const std::shared_ptr<BackendLoad> load = m_state->builder.load(backend);
    return load == nullptr ? 0 : static_cast<std::uint32_t>(load->own().requests);
}

std::vector<FleetView> Router::fleets() const
{
    const std::lock_guard lock(m_state->builderMutex);
    return m_state->builder.fleets();
}

} // namespace gentianramp
