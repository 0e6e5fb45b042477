#pragma once

#include <gentianramp/core/clock.hpp>
#include <gentianramp/peers/peer_instance.hpp>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace gentianramp {

/// Options of a PeerGroup.
struct PeerGroupOptions
{
    InstanceId self;
    DataCentreId dataCentre;
    /// An instance that is no longer listed is kept for this time: a registry process that has
    /// restarted lists only those that asked it since.
    Duration retention = std::chrono::seconds(5);
};

/// What one entry instance knows of the others, and which of them keep or know a record with a
/// given key. All instances rank each other alike. Performs no I/O.
class PeerGroup
{
public:
    explicit PeerGroup(PeerGroupOptions options);

    void publish(const std::vector<PeerInstance> &peers, TimePoint now);

    /// Instances that keep a record of this one: two of its data centre, and one of another data
    /// centre that the key names.
    std::vector<InstanceId> keepers(std::string_view key) const;
    /// Instances to ask for a record that any instance may have made: three of the own data centre
    /// and the first one of each other.
    std::vector<InstanceId> witnesses(std::string_view key) const;
    /// Instances that may take over requests for a service, best first: those of the own data
    /// centre, then others, in an order that @p random decides. Without those that say they are cut
    /// off, are not listed now, or failed lately.
    std::vector<PeerInstance> helpers(const std::string &service, std::uint64_t random,
                                      TimePoint now) const;
    /// The instance reaches no server of the service; empty: the instance did not answer.
    void noteFailed(const InstanceId &instance, const std::string &service, TimePoint now);
    /// All instances but this one.
    std::vector<PeerInstance> peers() const;

private:
    struct Known
    {
        PeerInstance peer;
        TimePoint listedAt{};
        std::map<std::string, TimePoint> avoidUntil; ///< By service; empty: for all.

        bool isAvoided(const std::string &service, TimePoint now) const;
    };

    /// Instances by data centre, in the order of their rank for the key.
    std::map<DataCentreId, std::vector<InstanceId>> ranked(std::string_view key) const;

    PeerGroupOptions m_options;
    TimePoint m_publishedAt{};
    std::map<InstanceId, Known> m_peers;
};

} // namespace gentianramp
