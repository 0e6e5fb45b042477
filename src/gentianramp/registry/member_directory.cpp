#include <gentianramp/registry/member_directory.hpp>

#include <algorithm>
#include <set>

namespace gentianramp {

namespace {

/// A replaced instance is forgotten after it; far longer than any cut that is planned for.
constexpr Duration ForgetAfter = std::chrono::seconds(60);
/// A leader sends its state three times a second; it steps down after 1 s without a majority.
constexpr Duration LeaderSilence = std::chrono::milliseconds(1500);
constexpr Duration EntriesSilence = std::chrono::seconds(3);

} // namespace

MemberDirectory::MemberDirectory(InstanceId self)
    : m_self(std::move(self))
{ }

void MemberDirectory::setSeeds(std::vector<InstanceId> seeds)
{
    std::erase(seeds, m_self);
    m_seeds = std::move(seeds);
}

void MemberDirectory::noteState(const InstanceId &instance, MemberState state, TimePoint now)
{
    if (instance == m_self)
        return;
    Member &member = m_members[instance];
    member.dataCentre = state.dataCentre;
    member.state = std::move(state);
    member.heardAt = now;
    member.knownAt = now;
}

void MemberDirectory::noteKnown(const InstanceId &instance, const DataCentreId &dataCentre,
                                Duration silence, TimePoint now)
{
    if (instance == m_self || silence >= ForgetAfter)
        return;
    Member &member = m_members[instance];
    if (member.dataCentre.value().empty())
        member.dataCentre = dataCentre;
    member.knownAt = std::max(member.knownAt, now - silence);
}

void MemberDirectory::expire(TimePoint now)
{
    std::erase_if(m_members,
                  [&](const auto &entry) { return now - entry.second.knownAt >= ForgetAfter; });
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
        members.push_back({instance, member.dataCentre, now - member.knownAt});
    return members;
}

std::vector<SeatClaim> MemberDirectory::claims(TimePoint now) const
{
    std::vector<SeatClaim> claims;
    for (const auto &[instance, member] : m_members) {
        if (member.state)
            claims.push_back({instance, member.dataCentre, member.state->seat, member.state->folder,
                              now - member.heardAt});
    }
    return claims;
}

std::optional<InstanceId> MemberDirectory::leader(TimePoint now) const
{
    std::optional<InstanceId> leader;
    std::uint64_t term = 0;
    for (const auto &[instance, member] : m_members) {
        const bool leads
            = member.state && member.state->leads && now - member.heardAt <= LeaderSilence;
        if (leads && (!leader || member.state->term > term)) {
            leader = instance;
            term = member.state->term;
        }
    }
    return leader;
}

std::uint32_t MemberDirectory::entriesElsewhere(TimePoint now) const
{
    std::uint32_t entries = 0;
    for (const auto &[instance, member] : m_members) {
        if (member.state && now - member.heardAt <= EntriesSilence)
            entries += member.state->entries;
    }
    return entries;
}

} // namespace gentianramp
