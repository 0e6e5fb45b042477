#pragma once

#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/ids.hpp>
#include <gentianramp/registry/seat_assignment.hpp>
#include <map>
#include <optional>
#include <vector>

namespace gentianramp {

/// What a registry process says of itself.
struct RegistryMemberState
{
    DataCentreId dataCentre;
    std::string seat;
    std::uint64_t folderId = 0;
    bool leads = false;
    std::uint64_t term = 0;
    std::uint32_t entryProcessCount = 0; ///< Entry processes that ask it.
    bool operator==(const RegistryMemberState &) const = default;
};

/// A registry process that is known by name.
struct KnownMember
{
    InstanceId instance;
    DataCentreId dataCentre; ///< Empty while it was never heard.
    Duration contactAge{};
    bool operator==(const KnownMember &) const = default;
};

/// Registry processes that this one knows, from seeds, own contact and what others tell. Pure.
class MemberDirectory
{
public:
    explicit MemberDirectory(InstanceId self);

    /// Addresses that the platform names; they are tried for as long as it names them.
    void setSeeds(std::vector<InstanceId> seeds);
    /// Heard directly from @p instance.
    void recordContact(const InstanceId &instance, RegistryMemberState state, TimePoint now);
    /// Another process heard @p instance that long ago.
    void recordReport(const InstanceId &instance, const DataCentreId &dataCentre,
                      Duration contactAge, TimePoint now);
    /// Drops members that nobody has heard for long.
    void expire(TimePoint now);

    /// Everyone worth a message, without this process.
    std::vector<InstanceId> contacts() const;
    std::vector<KnownMember> known(TimePoint now) const;
    /// Members heard directly, for seatAssignment.
    std::vector<PeerStatus> peerStatuses(TimePoint now) const;
    /// The member that says it leads in the highest term, if it was heard lately.
    std::optional<InstanceId> leader(TimePoint now) const;
    /// Entry processes that ask the other members.
    std::uint32_t entryProcessesElsewhere(TimePoint now) const;

private:
    struct Member
    {
        DataCentreId dataCentre;
        std::optional<RegistryMemberState> state; ///< Empty until heard directly.
        TimePoint lastContactAt{};                ///< Directly.
        TimePoint lastReportedAt{};               ///< By anyone.
    };

    InstanceId m_self;
    std::vector<InstanceId> m_seeds;
    std::map<InstanceId, Member> m_members;
};

} // namespace gentianramp
