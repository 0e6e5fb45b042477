#pragma once

#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/error.hpp>
#include <gentianramp/core/ids.hpp>
#include <gentianramp/membership/replica_groups.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace gentianramp {

/// What a member says to a candidate.
enum class LeaseReply {
    Ok,
    Overtaken, ///< A higher ballot was promised.
    Restarted, ///< The member sits out the longest lease after its start.
};

/// A lease that a member granted; the ballot's instance and incarnation are the holder.
struct LeaseGrant
{
    Ballot ballot;
    FencingNumber fencing;
    Duration remaining{};
    bool operator==(const LeaseGrant &) const = default;
};

/// Asks a member to promise a ballot and to tell what it granted.
struct LeasePrepare
{
    Ballot ballot;
    bool operator==(const LeasePrepare &) const = default;
};

/// Answer to a LeasePrepare.
struct LeasePromise
{
    Ballot ballot;
    LeaseReply reply = LeaseReply::Ok;
    Ballot promised; ///< With LeaseReply::Overtaken.
    std::optional<LeaseGrant> grant;
    FencingNumber highestFencing; ///< Of all grants that the member knows of.
    bool operator==(const LeasePromise &) const = default;
};

/// Asks a member to grant the lease.
struct LeasePropose
{
    Ballot ballot;
    FencingNumber fencing;
    Duration length{};
    bool operator==(const LeasePropose &) const = default;
};

/// Answer to a LeasePropose.
struct LeaseAccepted
{
    Ballot ballot;
    LeaseReply reply = LeaseReply::Ok;
    Ballot promised;
    bool operator==(const LeaseAccepted &) const = default;
};

/// Gives up all grants of the sender up to a ballot.
struct LeaseRelease
{
    Ballot ballot;
    bool operator==(const LeaseRelease &) const = default;
};

using LeaseBody
    = std::variant<LeasePrepare, LeasePromise, LeasePropose, LeaseAccepted, LeaseRelease>;

/// A message about the lease of one data centre.
struct LeaseMessage
{
    DataCentreId dataCentre;
    LeaseBody body;
    bool operator==(const LeaseMessage &) const = default;
};

/// Writes @p message as protobuf (proto/lease.proto).
std::string encodeLeaseMessage(const LeaseMessage &message);
/// Reads what encodeLeaseMessage() wrote; Error::Malformed for anything else.
Result<LeaseMessage> decodeLeaseMessage(std::string_view payload);

} // namespace gentianramp
