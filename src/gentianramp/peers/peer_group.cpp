#include <gentianramp/peers/peer_group.hpp>

#include <algorithm>
#include <xxhash.h>

namespace gentianramp {

namespace {

constexpr std::size_t KeepersInOwnDataCentre = 2;
/// One more than keep a record: the instance that made it may be among the first.
constexpr std::size_t WitnessesInOwnDataCentre = 3;

/// An instance that did not answer, or reaches no server, is not asked to take requests over for
/// this time.
constexpr Duration FailurePause = std::chrono::seconds(1);

std::uint64_t rankOf(const std::string &name, std::string_view key)
{
    return XXH3_64bits_withSeed(name.data(), name.size(), XXH3_64bits(key.data(), key.size()));
}

} // namespace

PeerGroup::PeerGroup(PeerGroupOptions options)
    : m_options(std::move(options))
{ }

void PeerGroup::publish(const std::vector<PeerInstance> &peers, TimePoint now)
{
    m_publishedAt = now;
    for (const PeerInstance &peer : peers) {
        if (peer.instance == m_options.self)
            continue;
        Known &known = m_peers[peer.instance];
        known.peer = peer;
        known.listedAt = now;
    }
    std::erase_if(m_peers, [&](const auto &entry) {
        return now - entry.second.listedAt > m_options.retention;
    });
}

std::map<DataCentreId, std::vector<InstanceId>> PeerGroup::ranked(std::string_view key) const
{
    std::map<DataCentreId, std::vector<InstanceId>> instances;
    for (const auto &[instance, known] : m_peers)
        instances[known.peer.dataCentre].push_back(instance);
    for (auto &[dataCentre, members] : instances)
        std::sort(members.begin(), members.end(),
                  [&](const InstanceId &left, const InstanceId &right) {
                      return rankOf(left.value(), key) > rankOf(right.value(), key);
                  });
    return instances;
}

std::vector<InstanceId> PeerGroup::keepers(std::string_view key) const
{
    std::vector<InstanceId> keepers;
    const InstanceId *elsewhere = nullptr;
    std::uint64_t bestRank = 0;
    const auto instances = ranked(key);
    for (const auto &[dataCentre, members] : instances) {
        if (dataCentre == m_options.dataCentre) {
            keepers.insert(keepers.end(), members.begin(),
                           members.begin()
                               + static_cast<std::ptrdiff_t>(
                                   std::min(members.size(), KeepersInOwnDataCentre)));
            continue;
        }
        const std::uint64_t rank = rankOf(dataCentre.value(), key);
        if (!elsewhere || rank > bestRank) {
            elsewhere = &members.front();
            bestRank = rank;
        }
    }
    if (elsewhere)
        keepers.push_back(*elsewhere);
    return keepers;
}

std::vector<InstanceId> PeerGroup::witnesses(std::string_view key) const
{
    std::vector<InstanceId> witnesses;
    for (const auto &[dataCentre, members] : ranked(key)) {
        const std::size_t count = dataCentre == m_options.dataCentre ? WitnessesInOwnDataCentre : 1;
        witnesses.insert(witnesses.end(), members.begin(),
                         members.begin()
                             + static_cast<std::ptrdiff_t>(std::min(members.size(), count)));
    }
    return witnesses;
}

bool PeerGroup::Known::isAvoided(const std::string &service, TimePoint now) const
{
    return std::any_of(avoidUntil.begin(), avoidUntil.end(), [&](const auto &entry) {
        return now < entry.second && (entry.first.empty() || entry.first == service);
    });
}

std::vector<PeerInstance> PeerGroup::helpers(const std::string &service, std::uint64_t random,
                                             TimePoint now) const
{
    std::vector<PeerInstance> helpers;
    for (const auto &[instance, known] : m_peers) {
        if (!known.peer.cutOff && known.listedAt == m_publishedAt && !known.isAvoided(service, now))
            helpers.push_back(known.peer);
    }
    const std::string_view key(reinterpret_cast<const char *>(&random), sizeof random);
    std::sort(helpers.begin(), helpers.end(),
              [&](const PeerInstance &left, const PeerInstance &right) {
                  const bool leftNear = left.dataCentre == m_options.dataCentre;
                  const bool rightNear = right.dataCentre == m_options.dataCentre;
                  if (leftNear != rightNear)
                      return leftNear;
                  return rankOf(left.instance.value(), key) > rankOf(right.instance.value(), key);
              });
    return helpers;
}

void PeerGroup::noteFailed(const InstanceId &instance, const std::string &service, TimePoint now)
{
    const auto found = m_peers.find(instance);
    if (found != m_peers.end())
        found->second.avoidUntil[service] = now + FailurePause;
}

std::vector<PeerInstance> PeerGroup::peers() const
{
    std::vector<PeerInstance> peers;
    peers.reserve(m_peers.size());
    for (const auto &[instance, known] : m_peers)
        peers.push_back(known.peer);
    return peers;
}

} // namespace gentianramp
