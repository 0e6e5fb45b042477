#include "site_report.hpp"

#include <algorithm>
#include <gentianramp/ledger/configuration_delta.hpp>

namespace gentianramp {

namespace {

constexpr std::size_t BitsPerByte = 8;

} // namespace

SiteIndex::SiteIndex(const DataCentreId &dataCentre, const std::vector<DistributionMember> &members)
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

std::optional<std::size_t> SiteIndex::indexOf(const InstanceId &instance) const
{
    const auto found = std::lower_bound(m_instances.begin(), m_instances.end(), instance);
    if (found == m_instances.end() || *found != instance)
        return std::nullopt;
    return static_cast<std::size_t>(found - m_instances.begin());
}

void encodeRevisions(const RevisionsByIndex &revisions, proto::SpreadReport &report)
{
    std::map<std::uint64_t, std::string> bitmaps;
    for (const auto &[index, revision] : revisions) {
        std::string &bits = bitmaps[revision];
        if (bits.size() <= index / BitsPerByte)
            bits.resize(index / BitsPerByte + 1, '\0');
        bits[index / BitsPerByte]
            = static_cast<char>(bits[index / BitsPerByte] | (1 << (index % BitsPerByte)));
    }
    for (auto &[revision, bits] : bitmaps) {
        proto::RevisionHolders &holders = *report.add_holders();
        holders.set_revision(revision);
        holders.set_places(std::move(bits));
    }
}

RevisionsByIndex decodeRevisions(const proto::SpreadReport &report, std::size_t count)
{
    RevisionsByIndex revisions;
    for (const proto::RevisionHolders &holders : report.holders()) {
        const std::string &bits = holders.places();
        for (std::size_t index = 0; index < std::min(count, bits.size() * BitsPerByte); ++index) {
            if ((bits[index / BitsPerByte] >> (index % BitsPerByte)) & 1)
                mergeRevisions(revisions, {{index, holders.revision()}});
        }
    }
    return revisions;
}

void mergeRevisions(RevisionsByIndex &revisions, const RevisionsByIndex &more)
{
    for (const auto &[index, revision] : more) {
        std::uint64_t &known = revisions[index];
        known = std::max(known, revision);
    }
}

} // namespace gentianramp
