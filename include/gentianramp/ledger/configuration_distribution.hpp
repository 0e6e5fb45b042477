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

/// A process that takes part in the spread of configurations.
struct DistributionMember
{
    InstanceId instance;
    DataCentreId dataCentre;
    bool control = false; ///< Control processes pass configurations on; others only receive.
    bool voter = false;
    auto operator<=>(const DistributionMember &) const = default;
};

/// Options of a ConfigurationDistribution.
struct DistributionOptions
{
    InstanceId self;
    std::vector<DistributionMember> members; ///< All processes, this one too.
    Duration reportInterval = std::chrono::seconds(2);
    Duration retryInterval = std::chrono::milliseconds(300); ///< Of an update without a report.
    Duration silenceLimit = std::chrono::seconds(5);         ///< Then another parent is tried.
    Duration returnInterval = std::chrono::seconds(30); ///< Then the first parent is tried again.
};

/// A configuration that the voters accepted.
struct AcceptedConfiguration
{
    Revision revision;
    std::string bytes; ///< Canonical.
    auto operator<=>(const AcceptedConfiguration &) const = default;
};

/// A message of the spread, for PayloadKind::Configuration.
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
    std::optional<AcceptedConfiguration> accepted; ///< Newer than all before; to be put in force.
};

/// What one process has in force, as reported.
struct MemberRevision
{
    DistributionMember member;
    std::optional<Revision> revision; ///< Empty when it was not heard of lately.
    std::optional<Duration> age;      ///< Since its data centre last reported; empty: never.
    bool operator==(const MemberRevision &) const = default;
};

/// Brings accepted configurations from the voters to every process, as a pure state machine.
///
/// The control processes of a data centre form a tree: voters first, then by name, each with at
/// most DistributionFanOut control processes below it; the others hang on control processes in
/// turn. The root of a data centre follows the leader of the ledger. A process that hears nothing
/// from its parent tries others, at last the voters themselves. Updates are pushed at once and
/// repeated until reported; a process on any older revision gets a delta when one is kept, else the
/// whole. The revision of a process only grows. Reports are merged on the way up, so that the
/// leader hears once for each data centre.
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
    /// A voter's ledger has @p configuration applied.
    DistributionOutput distribute(const AcceptedConfiguration &configuration, TimePoint now);
    /// A voter heard at @p now from @p leader, which may be itself, or knows no leader any more.
    void noteLeader(const std::optional<InstanceId> &leader, TimePoint now);

    /// Newest configuration here; revision 0 when there is none.
    const AcceptedConfiguration &current() const;
    /// Time since the leader of the ledger last confirmed current(); empty when it never did.
    std::optional<Duration> age(TimePoint now) const;
    std::optional<InstanceId> leader() const;
    InstanceId parent() const;
    /// All processes with what they have in force, as far as it is reported to this one.
    std::vector<MemberRevision> members(TimePoint now) const;
    std::uint64_t malformed() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// Control processes directly below another one.
constexpr std::size_t DistributionFanOut = 8;

/// Parents that @p self tries, in order; those in other data centres are voters.
std::vector<InstanceId> distributionParents(const InstanceId &self,
                                            const std::vector<DistributionMember> &members);

} // namespace gentianramp
