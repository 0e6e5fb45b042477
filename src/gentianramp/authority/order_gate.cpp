#include <gentianramp/authority/order_gate.hpp>

#include <algorithm>
#include <utility>

namespace gentianramp {

namespace {

/// True for the numbers that go with @p lease.
bool inBlock(FencingNumber number, const HeldLease &lease)
{
    return number >= lease.fencing && number.value() < lease.fencing.value() + FencingBlock;
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

OrderGate::OrderGate(DataCentreId dataCentre, Duration orderFlight, OrderGateHooks hooks)
    : m_dataCentre(std::move(dataCentre))
    , m_orderFlight(orderFlight)
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
        found->second.gaveUpAt = requestedAt;
}

bool OrderGate::knowsAllEngines(const HeldLease &lease) const
{
    return std::all_of(m_engines.begin(), m_engines.end(), [&lease](const auto &named) {
        const Engine &engine = named.second;
        const bool read = engine.read && engine.readAt >= lease.acquiredAt;
        return read || (engine.gaveUpAt && *engine.gaveUpAt >= lease.acquiredAt);
    });
}

std::optional<FencingNumber> OrderGate::foreignNumber(const HeldLease &lease) const
{
    std::optional<FencingNumber> largest;
    for (const auto &[backend, engine] : m_engines) {
        // Numbers of an earlier lease of this process count like those of any other holder.
        const bool own = inBlock(engine.ordered, lease) && engine.seen <= engine.ordered;
        if (engine.seen >= lease.fencing && !own)
            largest = std::max(largest.value_or(engine.seen), engine.seen);
    }
    return largest;
}

void OrderGate::onReport(const BackendId &backend, FencingNumber seen, TimePoint requestedAt)
{
    Engine &engine = m_engines[backend];
    engine.seen = std::max(engine.seen, seen);
    if (engine.read && requestedAt <= engine.readAt)
        return;
    engine.read = true;
    engine.readAt = requestedAt;
    const TimePoint now = m_hooks.clock();
    const std::optional<HeldLease> lease = m_hooks.lease(now);
    if (!checkSend(engine, lease, now) && engine.fenced != engine.number)
        send(engine, {.backend = backend, .kind = OrderKind::Fence}, now);
}

void OrderGate::chooseNumber(Engine &engine, const HeldLease &lease)
{
    if (!inBlock(engine.number, lease))
        engine.number = lease.fencing;
    else if (!engine.pendingOrder.empty())
        engine.number = FencingNumber(engine.number.value() + 1);
    engine.pendingOrder.clear();
}

std::error_code OrderGate::checkSend(Engine &engine, const std::optional<HeldLease> &lease,
                                     TimePoint now)
{
    if (!lease)
        return Error::StaleAuthority;
    if (now < engine.settledAt)
        return Error::Overloaded;
    const bool current
        = engine.read && engine.readAt >= lease->acquiredAt && engine.readAt >= engine.settledAt;
    if (!current || !knowsAllEngines(*lease))
        return Error::Unavailable;
    chooseNumber(engine, *lease);
    if (const std::optional<FencingNumber> foreign = foreignNumber(*lease)) {
        m_hooks.raiseFencing(*foreign);
        return Error::StaleAuthority;
    }
    if (engine.number.value() >= lease->fencing.value() + FencingBlock) {
        m_hooks.raiseFencing(engine.number);
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
    if (const std::error_code error = checkSend(engine, lease, now))
        return {error};
    if (engine.fenced != engine.number)
        return {Error::Unavailable, "the engine has not confirmed the fencing number"};
    return send(engine, order, now);
}

std::string OrderGate::send(Engine &engine, const PlannedOrder &order, TimePoint now)
{
    SentOrder sent{.fencing = engine.number,
                   .orderId = m_dataCentre.value() + "-" + std::to_string(engine.number.value())
                       + "-" + std::to_string(++m_lastOrder),
                   .order = order};
    engine.ordered = engine.number;
    engine.pendingOrder = sent.orderId;
    engine.settledAt = now + m_orderFlight;
    m_hooks.send(sent);
    return sent.orderId;
}

void OrderGate::onAnswer(const BackendId &backend, const std::string &orderId, FencingNumber seen)
{
    Engine &engine = m_engines[backend];
    engine.seen = std::max(engine.seen, seen);
    if (engine.pendingOrder != orderId)
        return;
    engine.pendingOrder.clear();
    // Also after the flight: an order that arrived late took effect after reports that were asked
    // for since then.
    engine.settledAt = m_hooks.clock();
    if (seen <= engine.ordered)
        engine.fenced = engine.ordered;
}

void OrderGate::onNotSent(const BackendId &backend, const std::string &orderId)
{
    Engine &engine = m_engines[backend];
    if (engine.pendingOrder != orderId)
        return;
    engine.pendingOrder.clear();
    engine.settledAt = std::min(engine.settledAt, m_hooks.clock());
}

TimePoint OrderGate::ordersArrivedAt() const
{
    TimePoint latest{};
    for (const auto &[backend, engine] : m_engines)
        latest = std::max(latest, engine.settledAt);
    return latest;
}

} // namespace gentianramp
