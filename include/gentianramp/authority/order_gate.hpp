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

/// An order as sent to an engine.
struct SentOrder
{
    FencingNumber fencing;
    std::string orderId; ///< Different for each order that is sent.
    PlannedOrder order;
    bool operator==(const SentOrder &) const = default;
};

/// Hooks of an OrderGate.
struct OrderGateHooks
{
    std::function<TimePoint()> clock; ///< RuntimeClock::now in the daemon.
    std::function<std::optional<HeldLease>(TimePoint)> lease;
    /// Starts to send the order at once; the request must be abandoned after the order timeout.
    std::function<void(const SentOrder &)> send;
    std::function<void(FencingNumber seen)> raiseFencing;
};

/// Checks and sends all orders to engines.
///
/// Sends only while the lease is certain, and one order at a time to each engine. Under a new lease
/// each engine first gets an OrderKind::Fence order with the new fencing number: an engine that
/// checks numbers then refuses delayed orders of earlier holders. Its state is read again before
/// the first order that changes anything. An order that got no answer is followed by the same
/// sequence with the next number of the lease.
class OrderGate
{
public:
    OrderGate(DataCentreId dataCentre, Duration orderTimeout, OrderGateHooks hooks);

    /// Sets the engines of the data centre. Nothing is sent under a lease before each of them has
    /// reported or failed to answer since the lease was acquired: the lease members lose their
    /// numbers when all of them restart, and any engine may know a larger one.
    void setEngines(const std::vector<BackendId> &engines);
    /// Records that @p backend did not answer the request of @p requestedAt; orders to other
    /// engines do not wait for its report.
    void onUnreachable(const BackendId &backend, TimePoint requestedAt);
    /// Takes the fencing number @p seen from a report of @p backend requested at @p requestedAt.
    /// Sends an OrderKind::Fence order when the engine has not confirmed the current number.
    void onReport(const BackendId &backend, FencingNumber seen, TimePoint requestedAt);
    /// Sends @p order and returns its id. Fails with
    /// - Error::StaleAuthority without a certain lease, or when its number has to be raised;
    /// - Error::Unavailable until all engines have reported or failed to answer and this one has
    ///   confirmed the fencing number and reported again;
    /// - Error::Overloaded while another order may be on its way to the engine.
    Result<std::string> trySend(const PlannedOrder &order);
    /// The engine answered the order @p orderId; @p seen is the fencing number in the answer.
    void onAnswer(const BackendId &backend, const std::string &orderId, FencingNumber seen);
    /// No byte of the order @p orderId was sent.
    void onNotSent(const BackendId &backend, const std::string &orderId);

    /// Time from which on no sent order can be on its way.
    TimePoint ordersArrivedAt() const;
    /// Count of orders not sent because the lease was not certain.
    std::uint64_t refusedWithoutLease() const { return m_refusedWithoutLease; }

private:
    struct Engine
    {
        FencingNumber highestSeen;      ///< Largest number in the engine's reports and answers.
        FencingNumber nextFencing;      ///< Number for the next order.
        FencingNumber lastSentFencing;  ///< Number of the last order that this process sent.
        FencingNumber confirmedFencing; ///< Number that the engine confirmed by an answer.
        TimePoint reportRequestedAt;    ///< Time of the request for the newest report.
        bool reported = false;
        /// Time of the newest state request without an answer.
        std::optional<TimePoint> unansweredRequestAt;
        std::string pendingOrderId; ///< Id of the order without an answer; empty when none.
        TimePoint resolvedAt;       ///< When the last order was answered or times out.
    };

    bool knowsAllEngines(const HeldLease &lease) const;
    /// Largest number reported by an engine that is not below HeldLease::fencing and that was not
    /// sent under @p lease; empty when there is none.
    std::optional<FencingNumber> highestForeignFencing(const HeldLease &lease) const;
    /// Sets the number of the next order; marks an unanswered order as lost and skips its number.
    void advanceFencing(Engine &engine, const HeldLease &lease);
    /// Checks whether an order may be sent to @p engine and advances its number. Raises the number
    /// of the lease when an engine knows a foreign number or the block is used up.
    std::error_code prepareSend(Engine &engine, const std::optional<HeldLease> &lease,
                                TimePoint now);
    std::string send(Engine &engine, const PlannedOrder &order, TimePoint now);

    DataCentreId m_dataCentre;
    Duration m_orderTimeout;
    OrderGateHooks m_hooks;
    std::map<BackendId, Engine> m_engines;
    std::uint64_t m_lastOrder = 0;
    std::uint64_t m_refusedWithoutLease = 0;
};

} // namespace gentianramp
