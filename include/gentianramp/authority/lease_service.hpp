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
    DataCentreId dataCentre;               ///< The service competes for the lease of this one.
    Incarnation incarnation;               ///< Larger than in any earlier life of the instance.
    std::vector<PlacedInstance> instances; ///< All control processes, this one too.
    /// Control processes before the last change; majorities of both lists are needed while set.
    std::vector<PlacedInstance> previousInstances;
    Duration length = std::chrono::seconds(3); ///< The same in all processes.
    Duration renewInterval = std::chrono::seconds(1);
    Duration retryInterval = std::chrono::milliseconds(100); ///< Longest jitter of a new attempt.
    Duration roundTimeout = std::chrono::milliseconds(200);
    Duration orderFlight = std::chrono::milliseconds(500); ///< Longest way of an order.
    /// Fencing numbers start above this. Wall-clock seconds times FencingBlock lets them rise even
    /// when all members and engines restarted; nothing else depends on it.
    FencingNumber fencingFloor;
    double clockDrift = 0.01; ///< Largest relative difference in the speed of two clocks.
    std::uint64_t seed = 1;   ///< For the jitter of retries.
};

/// Numbers that go with one lease: its fencing number and those above it up to the next block.
constexpr std::uint64_t FencingBlock = 65536;

/// The right to order the engines of a data centre.
struct HeldLease
{
    FencingNumber fencing; ///< First of its block; above the blocks of all known earlier holders.
    TimePoint acquiredAt;  ///< All orders of earlier holders have arrived by then.
    TimePoint sendUntil;   ///< No order may be sent at or after this time.
    auto operator<=>(const HeldLease &) const = default;
};

/// Hands @p payload to the mesh as PayloadKind::Lease; must not call the service.
using LeaseSendHook = std::function<void(const InstanceId &to, std::string payload)>;

/// Time to live that messages of the service should be sent with.
constexpr Duration LeaseMessageTtl = std::chrono::seconds(1);

/// Members of the lease group of @p dataCentre among the control processes.
std::vector<InstanceId> leaseGroup(const DataCentreId &dataCentre,
                                   const std::vector<PlacedInstance> &instances);

/// One control process's part in the leases: member of the groups of some data centres, and
/// candidate for the lease of its own.
///
/// Diskless: after its start a member grants nothing until the longest lease is over. Not
/// thread-safe.
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

    /// The lease, when it is certain at @p now that this process holds it.
    std::optional<HeldLease> held(TimePoint now) const;
    /// Raises the fencing number above @p seen, a number read from an engine. The lease is not
    /// held until a majority knows the new number.
    void raiseFencing(FencingNumber seen, TimePoint now);
    /// Gives the lease up for good, so that another process gets it at once. held() ends now; the
    /// members are told at @p ordersArrived, when no order can be on its way any more.
    void release(TimePoint now, TimePoint ordersArrived);

    /// Messages that could not be read.
    std::uint64_t malformed() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace gentianramp
