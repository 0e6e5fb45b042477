#pragma once

#include <gentianramp/core/clock.hpp>
#include <gentianramp/peers/peer_instance.hpp>
#include <map>
#include <vector>

namespace gentianramp {

/// The entry instances that registry processes hear, as one registry process collects them: from
/// those that ask it and from the reports of the other processes. Performs no I/O.
class PeerDirectory
{
public:
    /// An entry instance asked this process.
    void noteHeard(const PeerInstance &peer, TimePoint now);
    /// Replaces what @p reporter told of the instances that ask it.
    void noteReport(const InstanceId &reporter, std::vector<PeerInstance> peers, TimePoint now);

    /// Instances that asked this process lately, sorted.
    std::vector<PeerInstance> heard(TimePoint now) const;
    /// Instances that asked any process lately, sorted.
    std::vector<PeerInstance> all(TimePoint now) const;

private:
    struct Heard
    {
        PeerInstance peer;
        TimePoint heardAt{};
    };
    struct Report
    {
        std::vector<PeerInstance> peers;
        TimePoint receivedAt{};
    };

    std::map<InstanceId, Heard> m_heard;
    std::map<InstanceId, Report> m_reports;
};

} // namespace gentianramp
