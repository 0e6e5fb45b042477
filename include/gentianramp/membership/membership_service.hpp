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

/// State of a process as seen by another one.
enum class MemberState {
    Unknown,   ///< There is no recent report from its data centre, or no heartbeat yet.
    Alive,     ///< Its last heartbeat is recent.
    Suspected, ///< Its heartbeats stopped.
    Leaving,   ///< It shuts down, or the platform is removing it.
};

std::string_view toString(MemberState state);

/// Options of a MembershipService.
struct MembershipOptions
{
    InstanceId self;
    DataCentreId dataCentre;
    std::vector<PlacedInstance> instances; ///< All processes of the system, including this one.
    /// Processes that may be relays: the control processes.
    std::vector<PlacedInstance> relayCandidates;
    Duration heartbeatInterval = std::chrono::seconds(1);
    /// Between digests: a relay's summary of the processes that are not alive.
    Duration digestInterval = std::chrono::seconds(2);
    Duration suspectTimeout
        = std::chrono::milliseconds(3500); ///< Since the last heartbeat of a process.
    Duration unknownTimeout
        = std::chrono::seconds(8); ///< Since the last report from a data centre.
};

/// Sends @p payload over the mesh as PayloadKind::Heartbeat; must not call the service.
using MembershipSendHook = std::function<void(const InstanceId &to, std::string payload)>;

/// Time to live with which the messages of the service should be sent.
constexpr Duration MembershipMessageTtl = std::chrono::seconds(2);

/// Number of relays in each data centre.
constexpr std::size_t RelayCount = 2;

/// State of one process as seen by this one.
struct MemberView
{
    PlacedInstance placed;
    MemberState state = MemberState::Unknown;
    Incarnation incarnation; ///< 0 unless this process received its heartbeats.
    auto operator<=>(const MemberView &) const = default;
};

/// Tracks which processes run, without messages between every pair of them.
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
    /// Marks the processes @p leaving, which the platform's list shows as leaving, for two minutes
    /// or until a new incarnation. The list lags, so it does not show that a process runs or has
    /// ended.
    void onPlatformList(const std::vector<InstanceId> &leaving, TimePoint now);
    /// Announces in the next heartbeats that this process shuts down.
    void setLeaving();

    MemberState state(const InstanceId &instance, TimePoint now) const;
    std::vector<MemberView> members(TimePoint now) const;
    bool isRelay() const;
    /// Number of messages that could not be decoded.
    std::uint64_t malformed() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace gentianramp
