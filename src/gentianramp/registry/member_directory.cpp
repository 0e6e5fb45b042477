#include <gentianramp/registry/member_directory.hpp>

#include <algorithm>
#include <set>

namespace gentianramp {

namespace {

/// Members not heard by any process for this time are dropped. Far longer than any network
/// partition that the system is designed for.
constexpr Duration ForgetTimeout = std::chrono::seconds(60);
/// A leader sends its state three times per second and steps down after 1 s without a majority.
constexpr Duration LeaderTimeout = std::chrono::milliseconds(1500);
/// Several presence messages were lost on a connection that should have delivered them.
constexpr Duration SilentConnectionTimeout = std::chrono::milliseconds(1200);
/// Two presence messages were lost, or the connection is not open yet.
constexpr Duration UnheardTimeout = std::chrono::milliseconds(700);
/// Longer than several presence messages are apart.
constexpr Duration SilenceBeforeJoining = std::chrono::milliseconds(1200);
constexpr Duration EntryCountTimeout = std::chrono::seconds(3);
/// Entry processes that ask another registry process would be counted twice for longer.
constexpr Duration DelaysTimeout = std::chrono::seconds(1);

} // namespace

MemberDirectory::MemberDirectory(InstanceId self)
    : m_self(std::move(self))
{ }

void MemberDirectory::setSeeds(std::vector<InstanceId> seeds)
{
    std::erase(seeds, m_self);
    m_seeds = std::move(seeds);
}

void MemberDirectory::recordContact(const InstanceId &instance, RegistryMemberState state,
                                    TimePoint now, bool onOwnConnection)
{
    if (instance == m_self)
        return;
    Member &member = m_members[instance];
    member.dataCentre = state.dataCentre;
    if (!member.state)
        member.connectedAt = now;
    if (!member.state || now - member.lastContactAt > SilenceBeforeJoining)
        m_lastJoinedAt = now;
    member.state = std::move(state);
    member.lastContactAt = now;
    member.lastReportedAt = now;
    if (onOwnConnection)
        member.lastHeardAt = now;
}

void MemberDirectory::recordReport(const InstanceId &instance, const DataCentreId &dataCentre,
                                   Duration contactAge, TimePoint now)
{
    if (instance == m_self || contactAge >= ForgetTimeout)
        return;
    Member &member = m_members[instance];
    if (member.dataCentre.value().empty())
        member.dataCentre = dataCentre;
    member.lastReportedAt = std::max(member.lastReportedAt, now - contactAge);
}

bool MemberDirectory::recordEcho(const InstanceId &instance, Duration contactAge, TimePoint now)
{
    const auto found = m_members.find(instance);
    if (found == m_members.end() || contactAge < SilentConnectionTimeout
        || now - found->second.connectedAt < SilentConnectionTimeout)
        return false;
    found->second.connectedAt = now;
    return true;
}

std::vector<InstanceId> MemberDirectory::takeSilentMembers(TimePoint now)
{
    std::vector<InstanceId> silent;
    for (auto &[instance, member] : m_members) {
        if (!member.state || now - member.lastContactAt < SilentConnectionTimeout
            || now - member.connectedAt < SilentConnectionTimeout)
            continue;
        member.connectedAt = now;
        silent.push_back(instance);
    }
    return silent;
}

void MemberDirectory::recordReturnRoute(const InstanceId &instance, std::string route,
                                        std::optional<Duration> contactAge)
{
    const auto found = m_members.find(instance);
    if (found == m_members.end())
        return;
    const bool heard = contactAge && *contactAge < UnheardTimeout;
    found->second.returnRoute = heard ? std::string() : std::move(route);
}

std::string MemberDirectory::returnRoute(const InstanceId &instance, TimePoint now) const
{
    const auto found = m_members.find(instance);
    if (found == m_members.end() || now - found->second.lastContactAt >= SilentConnectionTimeout)
        return {};
    return found->second.returnRoute;
}

void MemberDirectory::expire(TimePoint now)
{
    std::erase_if(m_members, [&](const auto &entry) {
        return now - entry.second.lastReportedAt >= ForgetTimeout;
    });
}

std::vector<InstanceId> MemberDirectory::contacts() const
{
    std::set<InstanceId> names(m_seeds.begin(), m_seeds.end());
    for (const auto &[instance, member] : m_members)
        names.insert(instance);
    return {names.begin(), names.end()};
}

std::vector<KnownMember> MemberDirectory::known(TimePoint now) const
{
    std::vector<KnownMember> members;
    members.reserve(m_members.size());
    for (const auto &[instance, member] : m_members)
        members.push_back(
            {instance, member.dataCentre, now - member.lastReportedAt, now - member.lastHeardAt});
    return members;
}

std::string MemberDirectory::seatOf(const InstanceId &instance) const
{
    const auto found = m_members.find(instance);
    return found == m_members.end() || !found->second.state ? std::string()
                                                            : found->second.state->seat;
}

std::vector<PeerStatus> MemberDirectory::peerStatuses(TimePoint now) const
{
    std::vector<PeerStatus> peerStatuses;
    for (const auto &[instance, member] : m_members) {
        if (member.state)
            peerStatuses.push_back({instance, member.dataCentre, member.state->seat,
                                    member.state->folderId, now - member.lastContactAt,
                                    member.state->takesSeat, member.state->leads});
    }
    return peerStatuses;
}

std::optional<InstanceId> MemberDirectory::leader(TimePoint now) const
{
    std::optional<InstanceId> leader;
    std::uint64_t term = 0;
    for (const auto &[instance, member] : m_members) {
        const bool leads
            = member.state && member.state->leads && now - member.lastContactAt <= LeaderTimeout;
        if (leads && (!leader || member.state->term > term)) {
            leader = instance;
            term = member.state->term;
        }
    }
    return leader;
}

ServiceDelays MemberDirectory::delaysElsewhere(TimePoint now) const
{
    ServiceDelays sum;
    for (const auto &[instance, member] : m_members) {
        if (member.state && now - member.lastContactAt <= DelaysTimeout)
            addDelays(sum, member.state->delays);
    }
    return sum;
}

std::uint32_t MemberDirectory::entryProcessesElsewhere(TimePoint now) const
{
    std::uint32_t entryProcessCount = 0;
    for (const auto &[instance, member] : m_members) {
        if (member.state && now - member.lastContactAt <= EntryCountTimeout)
            entryProcessCount += member.state->entryProcessCount;
    }
    return entryProcessCount;
}

} // namespace gentianramp
