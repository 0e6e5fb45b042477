#pragma once

#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/ids.hpp>
#include <gentianramp/registry/seat_assignment.hpp>
#include <gentianramp/registry/stage_delays.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gentianramp {

/// State that a registry process reports about itself.
struct RegistryMemberState
{
    DataCentreId dataCentre;
    std::string seat;
    std::uint64_t folderId = 0;
    bool takesSeat = true; ///< Holds no seat, and its data folder can take one.
    bool leads = false;
    std::uint64_t term = 0;
    std::uint32_t entryProcessCount = 0; ///< Entry processes that it serves.
    ServiceDelays delays;                ///< Sum over these entry processes.
    bool operator==(const RegistryMemberState &) const = default;
};

/// A registry process whose address is known.
struct KnownMember
{
    InstanceId instance;
    DataCentreId dataCentre;     ///< Empty until known.
    Duration contactAge{};       ///< Time since any process last heard it.
    Duration directContactAge{}; ///< Time since this process last heard it on its connection.
    bool operator==(const KnownMember &) const = default;
};

/// The registry processes known to this one, from seeds, direct contact and reports of other
/// processes. Performs no I/O.
class MemberDirectory
{
public:
    explicit MemberDirectory(InstanceId self);

    /// Sets the addresses listed by the platform; these stay contacts while they are listed.
    void setSeeds(std::vector<InstanceId> seeds);
    /// Records a state received from @p instance itself. @p onOwnConnection is false for an answer,
    /// which came on this process's connection to it and does not show that its own one works.
    void recordContact(const InstanceId &instance, RegistryMemberState state, TimePoint now,
                       bool onOwnConnection = true);
    /// Records that another process last heard @p instance @p contactAge ago.
    void recordReport(const InstanceId &instance, const DataCentreId &dataCentre,
                      Duration contactAge, TimePoint now);
    /// Records that @p instance last heard this process @p contactAge ago. True when the connection
    /// to it has to be replaced, because it is silent: @p instance is heard but does not hear.
    bool recordEcho(const InstanceId &instance, Duration contactAge, TimePoint now);
    /// Members that fell silent; the connection to each has to be replaced, since connections may
    /// go silent in both directions. Each is returned once per interval.
    std::vector<InstanceId> takeSilentMembers(TimePoint now);
    /// Records the connection on which @p instance was heard, and how long ago it last heard this
    /// process; empty when it does not know this process.
    void recordReturnRoute(const InstanceId &instance, std::string route,
                           std::optional<Duration> contactAge);
    /// The connection on which to answer @p instance while it does not hear this process on the
    /// connection to it, for example after a restart; empty when it hears.
    std::string returnRoute(const InstanceId &instance, TimePoint now) const;
    /// Drops members that no process has heard for 60 s.
    void expire(TimePoint now);

    /// All seeds and known members except this process.
    std::vector<InstanceId> contacts() const;
    std::vector<KnownMember> known(TimePoint now) const;
    /// The seat that @p instance held when it was last heard; empty: none, or it is not known.
    std::string seatOf(const InstanceId &instance) const;
    /// Members that this process has heard directly, for assignSeats().
    std::vector<PeerStatus> peerStatuses(TimePoint now) const;
    /// The recently heard member that reports leadership in the highest term.
    std::optional<InstanceId> leader(TimePoint now) const;
    /// When a member was last heard for the first time or after a silence.
    std::optional<TimePoint> lastJoinedAt() const { return m_lastJoinedAt; }
    /// Sum of the delays that other registry processes reported recently.
    ServiceDelays delaysElsewhere(TimePoint now) const;
    /// Entry processes served by the other members.
    std::uint32_t entryProcessesElsewhere(TimePoint now) const;

private:
    struct Member
    {
        DataCentreId dataCentre;
        std::optional<RegistryMemberState> state; ///< Empty until the member was heard directly.
        TimePoint lastContactAt{};                ///< Last direct contact.
        TimePoint lastHeardAt{};                  ///< Last direct contact on its own connection.
        TimePoint connectedAt{};                  ///< When the connection to it was last replaced.
        TimePoint lastReportedAt{};               ///< Last contact of any process with the member.
        std::string returnRoute;                  ///< Empty while the member hears this process.
    };

    InstanceId m_self;
    std::vector<InstanceId> m_seeds;
    std::map<InstanceId, Member> m_members;
    std::optional<TimePoint> m_lastJoinedAt;
};

} // namespace gentianramp
