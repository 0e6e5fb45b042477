#include <gentianramp/authority/order_gate.hpp>

#include <algorithm>
#include <utility>

namespace gentianramp {

namespace {

/// True for the fencing numbers of @p lease.
bool isInBlock(FencingNumber number, const HeldLease &lease)
{
    return number >= lease.fencing && number.value() < lease.fencing.value() + FencingBlockSize;
}

} // namespace

std::string_view toString(OrderKind kind)
{
    switch (kind) {
    case OrderKind::SetRole:
        return "set_role";
    case OrderKind::Load:
        return "load";
    case OrderKind::Unload:
        return "unload";
    case OrderKind::Drain:
        return "drain";
    case OrderKind::Undrain:
        return "undrain";
    case OrderKind::Fence:
        return "fence";
    }
    return "unknown";
}

OrderGate::OrderGate(DataCentreId dataCentre, Duration orderTimeout, OrderGateHooks hooks)
    : m_dataCentre(std::move(dataCentre))
    , m_orderTimeout(orderTimeout)
    , m_hooks(std::move(hooks))
{ }

void OrderGate::setEngines(const std::vector<BackendId> &engines)
{
    std::map<BackendId, Engine> kept;
    for (const BackendId &backend : engines)
        kept[backend] = m_engines[backend];
    m_engines = std::move(kept);
}

void OrderGate::onUnreachable(const BackendId &backend, TimePoint requestedAt)
{
    const auto found = m_engines.find(backend);
    if (found != m_engines.end())
        found->second.unansweredRequestAt = requestedAt;
}

bool OrderGate::knowsAllEngines(const HeldLease &lease) const
{
    return std::all_of(m_engines.begin(), m_engines.end(), [&lease](const auto &named) {
        const Engine &engine = named.second;
        const bool read = engine.reported && engine.reportRequestedAt >= lease.acquiredAt;
        return read
            || (engine.unansweredRequestAt && *engine.unansweredRequestAt >= lease.acquiredAt);
    });
}

std::optional<FencingNumber> OrderGate::highestForeignFencing(const HeldLease &lease) const
{
    std::optional<FencingNumber> largest;
    for (const auto &[backend, engine] : m_engines) {
        // Own numbers are those up to the last one sent under this lease. Numbers of an earlier
        // lease of this process count like those of other holders.
        const bool own = isInBlock(engine.lastSentFencing, lease)
            && engine.highestSeen <= engine.lastSentFencing;
        if (engine.highestSeen >= lease.fencing && !own)
            largest = std::max(largest.value_or(engine.highestSeen), engine.highestSeen);
    }
    return largest;
}

void OrderGate::onReport(const BackendId &backend, FencingNumber seen, TimePoint requestedAt)
{
    Engine &engine = m_engines[backend];
    engine.highestSeen = std::max(engine.highestSeen, seen);
    if (engine.reported && requestedAt <= engine.reportRequestedAt)
        return;
    engine.reported = true;
    engine.reportRequestedAt = requestedAt;
    const TimePoint now = m_hooks.clock();
    const std::optional<HeldLease> lease = m_hooks.lease(now);
    if (!prepareSend(engine, lease, now) && engine.confirmedFencing != engine.nextFencing)
        send(engine, {.backend = backend, .kind = OrderKind::Fence}, now);
}

void OrderGate::advanceFencing(Engine &engine, const HeldLease &lease)
{
    if (!isInBlock(engine.nextFencing, lease))
        engine.nextFencing = lease.fencing;
    else if (!engine.pendingOrderId.empty())
        engine.nextFencing = FencingNumber(engine.nextFencing.value() + 1);
    engine.pendingOrderId.clear();
}

std::error_code OrderGate::prepareSend(Engine &engine, const std::optional<HeldLease> &lease,
                                       TimePoint now)
{
    if (!lease)
        return Error::StaleAuthority;
    if (now < engine.resolvedAt)
        return Error::Overloaded;
    const bool current = engine.reported && engine.reportRequestedAt >= lease->acquiredAt
        && engine.reportRequestedAt >= engine.resolvedAt;
    if (!current || !knowsAllEngines(*lease))
        return Error::Unavailable;
    advanceFencing(engine, *lease);
    if (const std::optional<FencingNumber> conflictingNumber = highestForeignFencing(*lease)) {
        m_hooks.raiseFencing(*conflictingNumber);
        return Error::StaleAuthority;
    }
    if (engine.nextFencing.value() >= lease->fencing.value() + FencingBlockSize) {
        m_hooks.raiseFencing(engine.nextFencing);
        return Error::StaleAuthority;
    }
    return {};
}

Result<std::string> OrderGate::trySend(const PlannedOrder &order)
{
    Engine &engine = m_engines[order.backend];
    const TimePoint now = m_hooks.clock();
    const std::optional<HeldLease> lease = m_hooks.lease(now);
    if (!lease)
        ++m_refusedWithoutLease;
    if (const std::error_code error = prepareSend(engine, lease, now))
        return {error};
    if (engine.confirmedFencing != engine.nextFencing)
        return {Error::Unavailable, "the engine has not confirmed the current fencing number"};
    return send(engine, order, now);
}

std::string OrderGate::send(Engine &engine, const PlannedOrder &order, TimePoint now)
{
    SentOrder sent{.fencing = engine.nextFencing,
                   .orderId = m_dataCentre.value() + "-"
                       + std::to_string(engine.nextFencing.value()) + "-"
                       + std::to_string(++m_lastOrder),
                   .order = order};
    engine.lastSentFencing = engine.nextFencing;
    engine.pendingOrderId = sent.orderId;
    engine.resolvedAt = now + m_orderTimeout;
    m_hooks.send(sent);
    return sent.orderId;
}

void OrderGate::onAnswer(const BackendId &backend, const std::string &orderId, FencingNumber seen)
{
    Engine &engine = m_engines[backend];
    engine.highestSeen = std::max(engine.highestSeen, seen);
    if (engine.pendingOrderId != orderId)
        return;
    engine.pendingOrderId.clear();
    // Set after the order timeout too: an order that arrived late may have taken effect after
    // reports requested since the timeout, which are therefore outdated.
    engine.resolvedAt = m_hooks.clock();
    if (seen <= engine.lastSentFencing)
        engine.confirmedFencing = engine.lastSentFencing;
}

void OrderGate::onNotSent(const BackendId &backend, const std::string &orderId)
{
    Engine &engine = m_engines[backend];
    if (engine.pendingOrderId != orderId)
        return;
    engine.pendingOrderId.clear();
    engine.resolvedAt = std::min(engine.resolvedAt, m_hooks.clock());
}

TimePoint OrderGate::ordersArrivedAt() const
{
    TimePoint latest{};
    for (const auto &[backend, engine] : m_engines)
        latest = std::max(latest, engine.resolvedAt);
    return latest;
}

} // namespace gentianramp
