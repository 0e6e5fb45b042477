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

/// Result in a member's answer to a candidate.
enum class LeaseReply {
    Ok,
    Overtaken, ///< The member has promised a higher ballot.
    Restarted, ///< The member has started recently and does not grant leases yet.
};

/// A lease granted by a member; the ballot's instance and incarnation identify the holder.
struct LeaseGrant
{
    Ballot ballot;
    FencingNumber fencing;
    Duration remaining{};
    bool operator==(const LeaseGrant &) const = default;
};

/// Asks a member to promise a ballot and to report its current grant.
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
    Ballot promised; ///< Higher ballot, with LeaseReply::Overtaken.
    std::optional<LeaseGrant> grant;
    FencingNumber highestFencing; ///< Over all grants of the member in this incarnation.
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

/// Answer to a LeasePropose; the lease is granted only with LeaseReply::Ok.
struct LeaseAccepted
{
    Ballot ballot;
    LeaseReply reply = LeaseReply::Ok;
    Ballot promised;
    bool operator==(const LeaseAccepted &) const = default;
};

/// Gives up all grants to the sender with ballots up to @p ballot.
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
