#pragma once

#include <cstdint>
#include <functional>
#include <gentianramp/authority/engine_order.hpp>
#include <gentianramp/authority/lease_service.hpp>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/error.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gentianramp {

/// An order as it goes to an engine.
struct SentOrder
{
    FencingNumber fencing;
    std::string orderId; ///< The same when the order is sent again.
    PlannedOrder order;
    bool operator==(const SentOrder &) const = default;
};

/// Hooks of an OrderGate.
struct OrderGateHooks
{
    std::function<TimePoint()> clock; ///< RuntimeClock::now in the daemon.
    std::function<std::optional<HeldLease>(TimePoint)> lease;
    /// Hands the order to the connection at once; the request must be given up after the flight.
    std::function<void(const SentOrder &)> send;
    std::function<void(FencingNumber seen)> raiseFencing;
};

/// The only way to send an order to an engine.
///
/// Sends only while the lease is certain and one order at a time to each engine. Under a new lease
/// an engine first gets an order that only carries the number, so that an engine that checks
/// numbers refuses whatever an earlier holder's connection may still deliver; its state is then
/// read again before the first order that changes anything. The same happens, under the next number
/// of the lease, after an order that got no answer.
class OrderGate
{
public:
    OrderGate(DataCentreId dataCentre, Duration orderFlight, OrderGateHooks hooks);

    /// Sets the engines of the data centre. Nothing is sent under a lease before each of them was
    /// read or given up since the lease began: any may have seen a number that all lease members
    /// forgot.
    void setEngines(const std::vector<BackendId> &engines);
    /// @p backend gave no answer to requests up to @p requestedAt and isn't waited for.
    void onUnreachable(const BackendId &backend, TimePoint requestedAt);
    /// Takes a report of @p backend that was asked for at @p requestedAt; fences the engine when
    /// that is due.
    void onReport(const BackendId &backend, FencingNumber seen, TimePoint requestedAt);
    /// Sends @p order and returns its id. Error::StaleAuthority without a certain lease,
    /// Error::Unavailable until all engines were read and this one is fenced and read again,
    /// Error::Overloaded while another order is on its way to the engine.
    Result<std::string> trySend(const PlannedOrder &order);
    /// The engine answered the order @p orderId; @p seen is the fencing number it named.
    void onAnswer(const BackendId &backend, const std::string &orderId, FencingNumber seen);
    /// No byte of the order @p orderId was sent.
    void onNotSent(const BackendId &backend, const std::string &orderId);

    /// No order can be on its way at or after this time.
    TimePoint ordersArrivedAt() const;
    /// Orders not sent because the lease was not certain.
    std::uint64_t refusedWithoutLease() const { return m_refusedWithoutLease; }

private:
    struct Engine
    {
        FencingNumber seen;    ///< Largest number that the engine named.
        FencingNumber number;  ///< Number for the next order.
        FencingNumber ordered; ///< Number of the last order that this process sent.
        FencingNumber fenced;  ///< Number that the engine confirmed.
        TimePoint readAt;      ///< Time of the request for the newest report.
        bool read = false;
        std::optional<TimePoint> gaveUpAt; ///< Time of the newest request without an answer.
        std::string pendingOrder;          ///< Not yet answered; empty when none.
        TimePoint settledAt;               ///< The last order has arrived or is lost by then.
    };

    bool knowsAllEngines(const HeldLease &lease) const;
    /// Largest number of another lease that an engine saw and that reaches into @p lease.
    std::optional<FencingNumber> foreignNumber(const HeldLease &lease) const;
    void chooseNumber(Engine &engine, const HeldLease &lease);
    std::error_code checkSend(Engine &engine, const std::optional<HeldLease> &lease, TimePoint now);
    std::string send(Engine &engine, const PlannedOrder &order, TimePoint now);

    DataCentreId m_dataCentre;
    Duration m_orderFlight;
    OrderGateHooks m_hooks;
    std::map<BackendId, Engine> m_engines;
    std::uint64_t m_lastOrder = 0;
    std::uint64_t m_refusedWithoutLease = 0;
};

} // namespace gentianramp
