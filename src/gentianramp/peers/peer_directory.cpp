#include <gentianramp/peers/peer_directory.hpp>

namespace gentianramp {

namespace {

/// Entry instances ask a registry process four times a second, and another one if that is silent.
constexpr Duration HeardTimeout = std::chrono::seconds(3);
/// Reports are repeated every two seconds.
constexpr Duration ReportTimeout = std::chrono::seconds(5);

} // namespace

void PeerDirectory::noteHeard(const PeerInstance &peer, TimePoint now)
{
    m_heard[peer.instance] = {peer, now};
}

void PeerDirectory::noteReport(const InstanceId &reporter, std::vector<PeerInstance> peers,
                               TimePoint now)
{
    m_reports[reporter] = {std::move(peers), now};
    std::erase_if(m_reports,
                  [&](const auto &entry) { return now - entry.second.receivedAt > ReportTimeout; });
    std::erase_if(m_heard,
                  [&](const auto &entry) { return now - entry.second.heardAt > HeardTimeout; });
}

std::vector<PeerInstance> PeerDirectory::heard(TimePoint now) const
{
    std::vector<PeerInstance> peers;
    for (const auto &[instance, heard] : m_heard) {
        if (now - heard.heardAt <= HeardTimeout)
            peers.push_back(heard.peer);
    }
    return peers;
}

std::vector<PeerInstance> PeerDirectory::all(TimePoint now) const
{
    std::map<InstanceId, PeerInstance> peers;
    for (const auto &[reporter, report] : m_reports) {
        if (now - report.receivedAt > ReportTimeout)
            continue;
        for (const PeerInstance &peer : report.peers)
            peers[peer.instance] = peer;
    }
    for (const PeerInstance &peer : heard(now))
        peers[peer.instance] = peer;
    std::vector<PeerInstance> sorted;
    sorted.reserve(peers.size());
    for (auto &[instance, peer] : peers)
        sorted.push_back(std::move(peer));
    return sorted;
}

} // namespace gentianramp
