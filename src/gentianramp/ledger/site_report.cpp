#include "site_report.hpp"

#include <algorithm>
#include <gentianramp/ledger/configuration_delta.hpp>

namespace gentianramp {

namespace {

constexpr std::size_t BitsPerByte = 8;

} // namespace

SiteMembers::SiteMembers(const DataCentreId &dataCentre,
                         const std::vector<DistributionMember> &members)
{
    for (const DistributionMember &member : members) {
        if (member.dataCentre == dataCentre)
            m_instances.push_back(member.instance);
    }
    std::sort(m_instances.begin(), m_instances.end());
    std::string list;
    for (const InstanceId &instance : m_instances)
        list += instance.value() + '\n';
    m_digest = contentDigest(list);
}

std::optional<std::size_t> SiteMembers::placeOf(const InstanceId &instance) const
{
    const auto found = std::lower_bound(m_instances.begin(), m_instances.end(), instance);
    if (found == m_instances.end() || *found != instance)
        return std::nullopt;
    return static_cast<std::size_t>(found - m_instances.begin());
}

void encodePlaces(const PlaceRevisions &revisions, proto::SpreadReport &report)
{
    std::map<std::uint64_t, std::string> bitmaps;
    for (const auto &[place, revision] : revisions) {
        std::string &bits = bitmaps[revision];
        if (bits.size() <= place / BitsPerByte)
            bits.resize(place / BitsPerByte + 1, '\0');
        bits[place / BitsPerByte]
            = static_cast<char>(bits[place / BitsPerByte] | (1 << (place % BitsPerByte)));
    }
    for (auto &[revision, bits] : bitmaps) {
        proto::RevisionHolders &holders = *report.add_holders();
        holders.set_revision(revision);
        holders.set_places(std::move(bits));
    }
}

PlaceRevisions decodePlaces(const proto::SpreadReport &report, std::size_t count)
{
    PlaceRevisions revisions;
    for (const proto::RevisionHolders &holders : report.holders()) {
        const std::string &bits = holders.places();
        for (std::size_t place = 0; place < std::min(count, bits.size() * BitsPerByte); ++place) {
            if ((bits[place / BitsPerByte] >> (place % BitsPerByte)) & 1)
                mergePlaces(revisions, {{place, holders.revision()}});
        }
    }
    return revisions;
}

void mergePlaces(PlaceRevisions &revisions, const PlaceRevisions &more)
{
    for (const auto &[place, revision] : more) {
        std::uint64_t &known = revisions[place];
        known = std::max(known, revision);
    }
}

} // namespace gentianramp
