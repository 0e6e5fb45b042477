#pragma once

#include <compare>
#include <cstdint>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/ids.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gentianramp {

/// A process that takes part in the distribution of configurations.
struct DistributionMember
{
    InstanceId instance;
    DataCentreId dataCentre;
    bool control = false; ///< Control processes forward configurations; others only receive.
    bool voter = false;
    auto operator<=>(const DistributionMember &) const = default;
};

/// Options of a ConfigurationDistribution.
struct DistributionOptions
{
    InstanceId self;
    std::vector<DistributionMember> members; ///< All processes, including this one.
    Duration reportInterval = std::chrono::seconds(2);
    /// First back-off before an update is sent again that no report has confirmed.
    Duration retryInterval = std::chrono::milliseconds(300);
    /// Time since the last contact after which another parent is tried, or a child ignored.
    Duration contactTimeout = std::chrono::seconds(5);
    /// Time with another parent after which the first one is tried again.
    Duration preferredParentRetryInterval = std::chrono::seconds(30);
};

/// A configuration that the voters accepted.
struct AcceptedConfiguration
{
    Revision revision;
    std::string bytes; ///< Canonical.
    auto operator<=>(const AcceptedConfiguration &) const = default;
};

/// A message to one process, for PayloadKind::Configuration.
struct DistributionMessage
{
    InstanceId to;
    std::string payload;
    auto operator<=>(const DistributionMessage &) const = default;
};

/// What the caller has to do after a step.
struct DistributionOutput
{
    std::vector<DistributionMessage> messages;
    /// Newer than all earlier ones; the caller puts it in force.
    std::optional<AcceptedConfiguration> accepted;
};

/// Revision that one process has in force, as reported.
struct MemberRevision
{
    DistributionMember member;
    std::optional<Revision> revision; ///< Empty without a recent report of the process.
    /// Time since the last report from its data centre; empty when there was none.
    std::optional<Duration> age;
    bool operator==(const MemberRevision &) const = default;
};

/// Distributes accepted configurations from the voters to every process, as a pure state machine.
///
/// The control processes of a data centre form a tree: voters first, then by name, each with at
/// most DistributionFanOut control processes as children; the other processes are assigned to the
/// control processes round robin. The parent of a data centre's root is the leader of the ledger.
/// A process that receives nothing from its parent tries others, the voters of other data centres
/// last. Updates are sent at once and repeated until a report confirms them. A child on the
/// revision before the newest gets a delta, any other child the whole configuration. The revision
/// of a process only grows. Reports are merged on the way to the root, so that the leader gets one
/// report for each data centre.
class ConfigurationDistribution
{
public:
    ConfigurationDistribution(DistributionOptions options, TimePoint now);
    ~ConfigurationDistribution();
    ConfigurationDistribution(const ConfigurationDistribution &) = delete;
    ConfigurationDistribution &operator=(const ConfigurationDistribution &) = delete;

    DistributionOutput onMessage(const InstanceId &sender, std::string_view payload, TimePoint now);
    /// Call a few times a second.
    DistributionOutput tick(TimePoint now);
    /// Puts @p configuration, which this voter's ledger has applied, in force here and sends it to
    /// the children, unless it is not newer than current().
    DistributionOutput distribute(const AcceptedConfiguration &configuration, TimePoint now);
    /// Sets the leader of the ledger that this voter knows, which may be itself; empty when no
    /// leader is known. @p confirmedAt is Replica::confirmedAt().
    void noteLeader(const std::optional<InstanceId> &leader, std::optional<TimePoint> confirmedAt);

    /// Newest configuration of this process; revision 0 when there is none.
    const AcceptedConfiguration &current() const;
    /// Time since the leader of the ledger last confirmed current(); empty when it never did.
    std::optional<Duration> age(TimePoint now) const;
    std::optional<InstanceId> leader() const;
    InstanceId parent() const;
    /// All processes with the revisions that were reported to this one.
    std::vector<MemberRevision> members(TimePoint now) const;
    /// Number of messages and deltas that could not be decoded.
    std::uint64_t malformed() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// Most control processes that are children of another one.
constexpr std::size_t DistributionFanOut = 8;

/// Parents that @p self tries, in order of preference; those in other data centres are voters.
std::vector<InstanceId> distributionParents(const InstanceId &self,
                                            const std::vector<DistributionMember> &members);

} // namespace gentianramp
