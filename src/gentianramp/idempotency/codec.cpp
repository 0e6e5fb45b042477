#include <gentianramp/idempotency/codec.hpp>

#include <gentianramp/idempotency/generated/key_claim.pb.h>
#include <limits>
#include <type_traits>

namespace gentianramp {

namespace {

proto::KeyScope toProto(const KeyScope &scope)
{
    proto::KeyScope out;
    out.set_customer(scope.customer.value());
    out.set_service(scope.service.value());
    out.set_key(scope.key.value());
    return out;
}

KeyScope fromProto(const proto::KeyScope &in)
{
    return {.customer = CustomerId(in.customer()),
            .service = ServiceId(in.service()),
            .key = IdempotencyKey(in.key())};
}

proto::KeyBallot toProto(const Ballot &ballot)
{
    proto::KeyBallot out;
    out.set_round(ballot.round);
    out.set_instance(ballot.instance.value());
    out.set_incarnation(ballot.incarnation.value());
    return out;
}

Ballot fromProto(const proto::KeyBallot &in)
{
    return {.round = in.round(),
            .instance = InstanceId(in.instance()),
            .incarnation = Incarnation(in.incarnation())};
}

proto::KeyClaimId toProto(const ClaimId &claim)
{
    proto::KeyClaimId out;
    out.set_instance(claim.instance.value());
    out.set_incarnation(claim.incarnation.value());
    out.set_number(claim.number);
    return out;
}

ClaimId fromProto(const proto::KeyClaimId &in)
{
    return {.instance = InstanceId(in.instance()),
            .incarnation = Incarnation(in.incarnation()),
            .number = in.number()};
}

proto::KeyRecord toProto(const ClaimRecord &record)
{
    proto::KeyRecord out;
    *out.mutable_claim() = toProto(record.claim);
    out.set_attempt(record.attempt);
    out.set_fingerprint(record.fingerprint);
    out.set_state(static_cast<proto::KeyState>(record.state));
    if (record.state == ClaimState::Complete) {
        out.mutable_answer()->set_status(record.answer.status);
        out.mutable_answer()->set_content_type(record.answer.contentType);
        out.mutable_answer()->set_body(record.answer.body);
        out.mutable_answer()->set_too_large(record.answer.tooLarge);
    }
    return out;
}

ClaimRecord fromProto(const proto::KeyRecord &in)
{
    return {.claim = fromProto(in.claim()),
            .attempt = in.attempt(),
            .fingerprint = in.fingerprint(),
            .state = static_cast<ClaimState>(in.state()),
            .answer = {.status = in.answer().status(),
                       .contentType = in.answer().content_type(),
                       .body = in.answer().body(),
                       .tooLarge = in.answer().too_large()}};
}

template <typename Incarnations>
void setIncarnations(Incarnations &out, const MemberIncarnations &incarnations)
{
    for (const auto &[instance, incarnation] : incarnations) {
        proto::KeyMemberLife *member = out.Add();
        member->set_instance(instance.value());
        member->set_incarnation(incarnation.value());
    }
}

template <typename Incarnations>
MemberIncarnations incarnationsFrom(const Incarnations &in)
{
    MemberIncarnations incarnations;
    for (const proto::KeyMemberLife &member : in)
        incarnations[InstanceId(member.instance())] = Incarnation(member.incarnation());
    return incarnations;
}

void fill(proto::KeyMessage &out, const KeyPrepare &message)
{
    *out.mutable_prepare()->mutable_scope() = toProto(message.scope);
    *out.mutable_prepare()->mutable_ballot() = toProto(message.ballot);
}

KeyMessage read(const proto::KeyPrepare &in)
{
    return KeyPrepare{.scope = fromProto(in.scope()), .ballot = fromProto(in.ballot())};
}

void fill(proto::KeyMessage &out, const KeyPromise &message)
{
    proto::KeyPromise &promise = *out.mutable_promise();
    *promise.mutable_scope() = toProto(message.scope);
    *promise.mutable_ballot() = toProto(message.ballot);
    promise.set_reply(static_cast<proto::KeyReply>(message.reply));
    promise.set_incarnation(message.incarnation.value());
    *promise.mutable_promised() = toProto(message.promised);
    *promise.mutable_accepted() = toProto(message.accepted);
    if (message.record)
        *promise.mutable_record() = toProto(*message.record);
}

KeyMessage read(const proto::KeyPromise &in)
{
    KeyPromise promise{.scope = fromProto(in.scope()),
                       .ballot = fromProto(in.ballot()),
                       .reply = static_cast<KeyReply>(in.reply()),
                       .incarnation = Incarnation(in.incarnation()),
                       .promised = fromProto(in.promised()),
                       .accepted = fromProto(in.accepted()),
                       .record = std::nullopt};
    if (in.has_record())
        promise.record = fromProto(in.record());
    return promise;
}

void fill(proto::KeyMessage &out, const KeyAccept &message)
{
    proto::KeyAccept &accept = *out.mutable_accept();
    *accept.mutable_scope() = toProto(message.scope);
    *accept.mutable_ballot() = toProto(message.ballot);
    *accept.mutable_record() = toProto(message.record);
    setIncarnations(*accept.mutable_quorum(), message.quorum);
}

KeyMessage read(const proto::KeyAccept &in)
{
    return KeyAccept{.scope = fromProto(in.scope()),
                     .ballot = fromProto(in.ballot()),
                     .record = fromProto(in.record()),
                     .quorum = incarnationsFrom(in.quorum())};
}

void fill(proto::KeyMessage &out, const KeyAccepted &message)
{
    proto::KeyAccepted &accepted = *out.mutable_accepted();
    *accepted.mutable_scope() = toProto(message.scope);
    *accepted.mutable_ballot() = toProto(message.ballot);
    accepted.set_reply(static_cast<proto::KeyReply>(message.reply));
    accepted.set_incarnation(message.incarnation.value());
    *accepted.mutable_promised() = toProto(message.promised);
    setIncarnations(*accepted.mutable_known(), message.known);
}

KeyMessage read(const proto::KeyAccepted &in)
{
    return KeyAccepted{.scope = fromProto(in.scope()),
                       .ballot = fromProto(in.ballot()),
                       .reply = static_cast<KeyReply>(in.reply()),
                       .incarnation = Incarnation(in.incarnation()),
                       .promised = fromProto(in.promised()),
                       .known = incarnationsFrom(in.known())};
}

void fill(proto::KeyMessage &out, const KeyLearnRequest &message)
{
    out.mutable_learn_request()->set_incarnation(message.incarnation.value());
    if (message.after)
        *out.mutable_learn_request()->mutable_after() = toProto(*message.after);
}

KeyMessage read(const proto::KeyLearnRequest &in)
{
    KeyLearnRequest request{.incarnation = Incarnation(in.incarnation()), .after = std::nullopt};
    if (in.has_after())
        request.after = fromProto(in.after());
    return request;
}

void fill(proto::KeyMessage &out, const KeyLearnPage &message)
{
    proto::KeyLearnPage &page = *out.mutable_learn_page();
    page.set_requester(message.requester.value());
    page.set_incarnation(message.incarnation.value());
    if (message.after)
        *page.mutable_after() = toProto(*message.after);
    for (const KeyLearnEntry &entry : message.entries) {
        proto::KeyLearnEntry &added = *page.add_entries();
        *added.mutable_scope() = toProto(entry.scope);
        *added.mutable_promised() = toProto(entry.promised);
        *added.mutable_accepted() = toProto(entry.accepted);
        if (entry.record)
            *added.mutable_record() = toProto(*entry.record);
    }
    page.set_last(message.last);
    for (const InstanceId &instance : message.unlearned)
        page.add_missing(instance.value());
}

KeyMessage read(const proto::KeyLearnPage &in)
{
    KeyLearnPage page{.requester = Incarnation(in.requester()),
                      .incarnation = Incarnation(in.incarnation()),
                      .after = std::nullopt,
                      .entries = {},
                      .last = in.last(),
                      .unlearned = {}};
    if (in.has_after())
        page.after = fromProto(in.after());
    for (const proto::KeyLearnEntry &entry : in.entries()) {
        KeyLearnEntry &added = page.entries.emplace_back();
        added.scope = fromProto(entry.scope());
        added.promised = fromProto(entry.promised());
        added.accepted = fromProto(entry.accepted());
        if (entry.has_record())
            added.record = fromProto(entry.record());
    }
    for (const std::string &instance : in.missing())
        page.unlearned.emplace(instance);
    return page;
}

void fill(proto::KeyMessage &out, const KeyClaimantQuery &message)
{
    out.mutable_claimant_query()->set_operation(message.operation);
    *out.mutable_claimant_query()->mutable_claim() = toProto(message.claim);
}

KeyMessage read(const proto::KeyClaimantQuery &in)
{
    return KeyClaimantQuery{.operation = in.operation(), .claim = fromProto(in.claim())};
}

void fill(proto::KeyMessage &out, const KeyClaimantAnswer &message)
{
    out.mutable_claimant_answer()->set_operation(message.operation);
    *out.mutable_claimant_answer()->mutable_claim() = toProto(message.claim);
    out.mutable_claimant_answer()->set_running(message.running);
}

KeyMessage read(const proto::KeyClaimantAnswer &in)
{
    return KeyClaimantAnswer{
        .operation = in.operation(), .claim = fromProto(in.claim()), .running = in.running()};
}

bool hasKnownState(const proto::KeyRecord &record)
{
    return proto::KeyState_IsValid(record.state());
}

bool hasKnownEnumValues(const proto::KeyMessage &in)
{
    switch (in.body_case()) {
    case proto::KeyMessage::kPromise:
        return proto::KeyReply_IsValid(in.promise().reply())
            && hasKnownState(in.promise().record());
    case proto::KeyMessage::kAccept:
        return hasKnownState(in.accept().record());
    case proto::KeyMessage::kAccepted:
        return proto::KeyReply_IsValid(in.accepted().reply());
    case proto::KeyMessage::kLearnPage:
        for (const proto::KeyLearnEntry &entry : in.learn_page().entries()) {
            if (!hasKnownState(entry.record()))
                return false;
        }
        return true;
    default:
        return true;
    }
}

} // namespace

std::string encodeKeyMessage(const KeyMessage &message)
{
    proto::KeyMessage out;
    std::visit([&out](const auto &body) { fill(out, body); }, message);
    return out.SerializeAsString();
}

Result<KeyMessage> decodeKeyMessage(std::string_view payload)
{
    proto::KeyMessage in;
    if (payload.size() > static_cast<std::size_t>(std::numeric_limits<int>::max())
        || !in.ParseFromArray(payload.data(), static_cast<int>(payload.size()))
        || !hasKnownEnumValues(in))
        return {Error::Malformed,
                "key claim message is no valid protobuf or has an unknown enum value"};
    switch (in.body_case()) {
    case proto::KeyMessage::kPrepare:
        return read(in.prepare());
    case proto::KeyMessage::kPromise:
        return read(in.promise());
    case proto::KeyMessage::kAccept:
        return read(in.accept());
    case proto::KeyMessage::kAccepted:
        return read(in.accepted());
    case proto::KeyMessage::kLearnRequest:
        return read(in.learn_request());
    case proto::KeyMessage::kLearnPage:
        return read(in.learn_page());
    case proto::KeyMessage::kClaimantQuery:
        return read(in.claimant_query());
    case proto::KeyMessage::kClaimantAnswer:
        return read(in.claimant_answer());
    default:
        return {Error::Malformed, "key claim message has no body"};
    }
}

} // namespace gentianramp
