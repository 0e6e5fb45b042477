#include <gentianramp/authority/lease_messages.hpp>

#include <gentianramp/authority/generated/lease.pb.h>
#include <limits>

namespace gentianramp {

namespace {

proto::LeaseBallot toProto(const Ballot &ballot)
{
    proto::LeaseBallot out;
    out.set_round(ballot.round);
    out.set_instance(ballot.instance.value());
    out.set_incarnation(ballot.incarnation.value());
    return out;
}

Ballot fromProto(const proto::LeaseBallot &in)
{
    return {.round = in.round(),
            .instance = InstanceId(in.instance()),
            .incarnation = Incarnation(in.incarnation())};
}

void fill(proto::LeaseMessage &out, const LeasePrepare &body)
{
    *out.mutable_prepare()->mutable_ballot() = toProto(body.ballot);
}

void fill(proto::LeaseMessage &out, const LeasePromise &body)
{
    proto::LeasePromise &promise = *out.mutable_promise();
    *promise.mutable_ballot() = toProto(body.ballot);
    promise.set_reply(static_cast<proto::LeaseReply>(body.reply));
    *promise.mutable_promised() = toProto(body.promised);
    promise.set_highest_fencing(body.highestFencing.value());
    if (body.grant) {
        *promise.mutable_grant()->mutable_ballot() = toProto(body.grant->ballot);
        promise.mutable_grant()->set_fencing(body.grant->fencing.value());
        promise.mutable_grant()->set_remaining_ns(body.grant->remaining.count());
    }
}

void fill(proto::LeaseMessage &out, const LeasePropose &body)
{
    *out.mutable_propose()->mutable_ballot() = toProto(body.ballot);
    out.mutable_propose()->set_fencing(body.fencing.value());
    out.mutable_propose()->set_length_ns(body.length.count());
}

void fill(proto::LeaseMessage &out, const LeaseAccepted &body)
{
    *out.mutable_accepted()->mutable_ballot() = toProto(body.ballot);
    out.mutable_accepted()->set_reply(static_cast<proto::LeaseReply>(body.reply));
    *out.mutable_accepted()->mutable_promised() = toProto(body.promised);
}

void fill(proto::LeaseMessage &out, const LeaseRelease &body)
{
    *out.mutable_release()->mutable_ballot() = toProto(body.ballot);
}

LeasePromise read(const proto::LeasePromise &in)
{
    LeasePromise promise{.ballot = fromProto(in.ballot()),
                         .reply = static_cast<LeaseReply>(in.reply()),
                         .promised = fromProto(in.promised()),
                         .grant = std::nullopt,
                         .highestFencing = FencingNumber(in.highest_fencing())};
    if (in.has_grant()) {
        promise.grant = LeaseGrant{.ballot = fromProto(in.grant().ballot()),
                                   .fencing = FencingNumber(in.grant().fencing()),
                                   .remaining = Duration(in.grant().remaining_ns())};
    }
    return promise;
}

LeasePropose read(const proto::LeasePropose &in)
{
    return {.ballot = fromProto(in.ballot()),
            .fencing = FencingNumber(in.fencing()),
            .length = Duration(in.length_ns())};
}

LeaseAccepted read(const proto::LeaseAccepted &in)
{
    return {.ballot = fromProto(in.ballot()),
            .reply = static_cast<LeaseReply>(in.reply()),
            .promised = fromProto(in.promised())};
}

/// No process may hold a lease for longer, so that a wrong figure can't block it for good.
constexpr Duration MaxLeaseLength = std::chrono::hours(1);

bool isLeaseLength(std::int64_t ns)
{
    return ns >= 0 && ns <= MaxLeaseLength.count();
}

bool hasPossibleLengths(const proto::LeaseMessage &in)
{
    return isLeaseLength(in.propose().length_ns())
        && isLeaseLength(in.promise().grant().remaining_ns());
}

bool hasKnownEnumValues(const proto::LeaseMessage &in)
{
    return proto::LeaseReply_IsValid(in.promise().reply())
        && proto::LeaseReply_IsValid(in.accepted().reply());
}

} // namespace

std::string encodeLeaseMessage(const LeaseMessage &message)
{
    proto::LeaseMessage out;
    out.set_data_centre(message.dataCentre.value());
    std::visit([&out](const auto &body) { fill(out, body); }, message.body);
    return out.SerializeAsString();
}

Result<LeaseMessage> decodeLeaseMessage(std::string_view payload)
{
    proto::LeaseMessage in;
    if (payload.size() > static_cast<std::size_t>(std::numeric_limits<int>::max())
        || !in.ParseFromArray(payload.data(), static_cast<int>(payload.size()))
        || !hasKnownEnumValues(in) || !hasPossibleLengths(in))
        return {Error::Malformed,
                "lease message is not valid protobuf, or has an unknown reply value or a length "
                "below zero or above an hour"};
    const DataCentreId dataCentre(in.data_centre());
    switch (in.body_case()) {
    case proto::LeaseMessage::kPrepare:
        return LeaseMessage{dataCentre, LeasePrepare{fromProto(in.prepare().ballot())}};
    case proto::LeaseMessage::kPromise:
        return LeaseMessage{dataCentre, read(in.promise())};
    case proto::LeaseMessage::kPropose:
        return LeaseMessage{dataCentre, read(in.propose())};
    case proto::LeaseMessage::kAccepted:
        return LeaseMessage{dataCentre, read(in.accepted())};
    case proto::LeaseMessage::kRelease:
        return LeaseMessage{dataCentre, LeaseRelease{fromProto(in.release().ballot())}};
    default:
        return {Error::Malformed, "lease message has no body"};
    }
}

} // namespace gentianramp
