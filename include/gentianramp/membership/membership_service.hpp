#pragma once

#include <cstdint>
#include <functional>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/ids.hpp>
#include <gentianramp/membership/placement.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace gentianramp {

/// What is known of a process.
enum class MemberState {
    Unknown,   ///< Nothing recent was heard of its data centre.
    Alive,     ///< Its heartbeats arrive.
    Suspected, ///< Its heartbeats stopped.
    Leaving,   ///< It shuts down, or the platform withdraws it.
};

std::string_view toString(MemberState state);

/// Options of a MembershipService.
struct MembershipOptions
{
    InstanceId self;
    DataCentreId dataCentre;
    std::vector<PlacedInstance> instances; ///< All processes of the system, this one too.
    std::vector<PlacedInstance>
        relayCandidates; ///< Processes that may relay: the control processes.
    Duration beatInterval = std::chrono::seconds(1);
    Duration digestInterval = std::chrono::seconds(2);
    Duration suspectAfter = std::chrono::milliseconds(3500); ///< Silence of one process.
    Duration unknownAfter = std::chrono::seconds(8);         ///< Silence about a data centre.
};

/// Hands @p payload to the mesh as PayloadKind::Heartbeat; must not call the service.
using MembershipSendHook = std::function<void(const InstanceId &to, std::string payload)>;

/// Time to live that messages of the service should be sent with.
constexpr Duration MembershipMessageTtl = std::chrono::seconds(2);

/// Relays in one data centre.
constexpr std::size_t RelayCount = 2;

/// State of one process as seen from here.
struct MemberView
{
    PlacedInstance placed;
    MemberState state = MemberState::Unknown;
    Incarnation incarnation; ///< 0 when it is not known here.
    auto operator<=>(const MemberView &) const = default;
};

/// Knows which processes run, without messages between all of them.
///
/// Each process sends heartbeats to two relays of its data centre. Relays send the exceptions (who
/// does not run) to their data centre and to the relays of the others. Not thread-safe.
class MembershipService
{
public:
    MembershipService(MembershipOptions options, MembershipSendHook send, TimePoint now);
    ~MembershipService();
    MembershipService(const MembershipService &) = delete;
    MembershipService &operator=(const MembershipService &) = delete;

    void onMessage(const InstanceId &sender, Incarnation incarnation, std::string_view payload,
                   TimePoint now);
    /// Call several times a second.
    void tick(TimePoint now);
    /// Takes the platform's list, which lags. Only its word on leaving processes counts; that a
    /// process is listed as live, or not listed, says nothing.
    void onPlatformList(const std::vector<InstanceId> &leaving, TimePoint now);
    /// Tells the others with the next heartbeats that this process shuts down.
    void setLeaving();

    MemberState state(const InstanceId &instance, TimePoint now) const;
    std::vector<MemberView> members(TimePoint now) const;
    bool isRelay() const;
    std::uint64_t malformed() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace gentianramp
