#pragma once

#include <cstdint>
#include <functional>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/ids.hpp>
#include <gentianramp/membership/placement.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gentianramp {

/// Options of a LeaseService.
struct LeaseOptions
{
    InstanceId self;
    DataCentreId dataCentre; ///< The service competes for the lease of this data centre.
    Incarnation incarnation; ///< Larger than any earlier one of the instance.
    std::vector<PlacedInstance> instances; ///< All control processes, this one too.
    /// Control processes before the last change of the list. While set, a quorum needs a majority
    /// of each list.
    std::vector<PlacedInstance> previousInstances;
    Duration length = std::chrono::seconds(3); ///< Lease length; the same in all processes.
    Duration renewInterval = std::chrono::seconds(1);
    /// Longest random delay before a new round.
    Duration maxRetryJitter = std::chrono::milliseconds(100);
    Duration roundTimeout = std::chrono::milliseconds(200);
    /// An order reaches its engine within this time after it was sent, or never.
    Duration orderTimeout = std::chrono::milliseconds(500);
    /// Fencing numbers start above this value. Wall-clock seconds times FencingBlockSize keep them
    /// rising even after all members and engines restarted; nothing else depends on the wall clock.
    FencingNumber fencingFloor;
    double clockDrift = 0.01; ///< Largest relative difference in the speed of two clocks.
    std::uint64_t seed = 1;   ///< For the jitter of retries.
};

/// Count of fencing numbers of one lease. The first one, HeldLease::fencing, is a multiple of it.
constexpr std::uint64_t FencingBlockSize = 65536;

/// The right to send orders to the engines of a data centre.
struct HeldLease
{
    /// First number of the lease's block; above the blocks of all known earlier holders.
    FencingNumber fencing;
    TimePoint acquiredAt;   ///< All orders of earlier holders have arrived or timed out by then.
    TimePoint sendDeadline; ///< No order may be sent at or after this time.
    auto operator<=>(const HeldLease &) const = default;
};

/// Sends @p payload through the mesh as PayloadKind::Lease; must not call the service.
using LeaseSendHook = std::function<void(const InstanceId &to, std::string payload)>;

/// Time to live of messages of the service.
constexpr Duration LeaseMessageTtl = std::chrono::seconds(1);

/// Members of the lease group of @p dataCentre among the control processes.
std::vector<InstanceId> leaseGroup(const DataCentreId &dataCentre,
                                   const std::vector<PlacedInstance> &instances);

/// Lease participant in one control process: a member of the lease groups of some data centres and
/// a candidate for the lease of its own data centre.
///
/// Stores nothing on disk: after its start a member grants no lease until every lease that it may
/// have granted in an earlier incarnation has expired. Not thread-safe.
class LeaseService
{
public:
    LeaseService(LeaseOptions options, LeaseSendHook send, TimePoint now);
    ~LeaseService();
    LeaseService(const LeaseService &) = delete;
    LeaseService &operator=(const LeaseService &) = delete;

    void onMessage(const InstanceId &sender, std::string_view payload, TimePoint now);
    /// Call every 20 ms or so.
    void tick(TimePoint now);

    /// The lease if this process is certain to hold it at @p now, else empty.
    std::optional<HeldLease> held(TimePoint now) const;
    /// Raises the fencing number above @p seen, a number read from an engine. held() is empty until
    /// a quorum has accepted the new number.
    void raiseFencing(FencingNumber seen, TimePoint now);
    /// Gives up the lease and stops competing for it in this incarnation. held() is empty from
    /// @p now on. The members are told at @p ordersArrived, when no order can be on its way any
    /// more; another process can then acquire the lease before it expires.
    void release(TimePoint now, TimePoint ordersArrived);

    /// Count of received messages that could not be decoded.
    std::uint64_t malformed() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace gentianramp
