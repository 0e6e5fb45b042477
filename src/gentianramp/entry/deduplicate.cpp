#include "deduplicate.hpp"

#include <gentianramp/core/digest.hpp>

#include <algorithm>
#include <gentianramp/core/invariant.hpp>

namespace gentianramp {

namespace {

constexpr Duration RepeatLaterDelay = std::chrono::seconds(1);
/// Time to send the answer to the caller: a wait for another attempt with the same key ends this
/// long before the request's deadline.
constexpr Duration AnswerMargin = std::chrono::milliseconds(50);

/// The idempotency key, or else the request id, which a repeated request also carries.
IdempotencyKey claimedKey(const CallerRequest &caller)
{
    const bool keyed = !caller.key.value().empty();
    return keyed ? caller.key : IdempotencyKey("request:" + caller.id.value());
}

ClaimRequest claimRequestFor(const IdentifiedRequest &request)
{
    const CallerRequest &caller = request.caller;
    ClaimRequest claim;
    claim.scope = {request.customer, request.service->id, claimedKey(caller)};
    claim.fingerprint = sha256Hex({caller.method, " ", caller.target, "\n", *caller.body});
    claim.firstAttempt = caller.firstAttempt;
    claim.wallMs = wallClockMs();
    claim.deadline = request.deadline - AnswerMargin;
    return claim;
}

RequestError refusalFor(const ClaimResult &result)
{
    const std::string reason = "key_" + std::string(toString(result.status));
    switch (result.status) {
    case ClaimStatus::Conflict:
        return {422,
                result.verdict,
                reason,
                "the idempotency key was used for a different request",
                {}};
    case ClaimStatus::InProgress:
        return {409, result.verdict, reason, "another attempt with this idempotency key is running",
                RepeatLaterDelay};
    case ClaimStatus::MayHaveRun:
        return {409,
                result.verdict,
                reason,
                "an earlier attempt may have run; the request is not run again",
                {}};
    case ClaimStatus::AlreadyComplete:
        return {
            409, Verdict::Complete, reason, "the request ran, but its answer was not stored", {}};
    case ClaimStatus::Granted:
    case ClaimStatus::Unavailable:
    case ClaimStatus::Overloaded:
        break;
    }
    return {503, result.verdict, reason, "the idempotency key cannot be claimed now",
            RepeatLaterDelay};
}

} // namespace

HeldClaim::HeldClaim(std::shared_ptr<SharedKeyService> keyService, ClaimTicket ticket)
    : m_keyService(std::move(keyService))
    , m_ticket(std::move(ticket))
{ }

HeldClaim::~HeldClaim()
{
    if (!m_settled)
        settle({m_sent ? ClaimState::MayHaveRun : ClaimState::Released, {}});
}

bool HeldClaim::startDispatch()
{
    if (!m_ticket.mayDispatch(RuntimeClock::now()))
        return false;
    m_sent = true;
    return true;
}

void HeldClaim::complete(StoredAnswer answer)
{
    settle({ClaimState::Complete, std::move(answer)});
}

void HeldClaim::settle(ClaimOutcome outcome)
{
    checkInvariant(!m_settled, "claim_settled_once", m_ticket.scope.key.value());
    m_settled = true;
    m_keyService->settle(m_ticket, std::move(outcome));
}

boost::asio::awaitable<Deduplicated> deduplicate(IdentifiedRequest request,
                                                 std::shared_ptr<SharedKeyService> keyService)
{
    AdmissibleRequest admissible;
    admissible.undispatchedVerdict = request.caller.undispatchedVerdict();
    if (request.idempotent) {
        admissible.request = std::move(request);
        co_return admissible;
    }
    ClaimResult result = co_await keyService->claim(claimRequestFor(request));
    if (result.status == ClaimStatus::Granted) {
        admissible.undispatchedVerdict = Verdict::NotRun;
        admissible.claim
            = std::make_shared<HeldClaim>(std::move(keyService), std::move(result.ticket));
        admissible.request = std::move(request);
        co_return admissible;
    }
    if (result.status == ClaimStatus::AlreadyComplete && !result.answer.tooLarge)
        co_return EarlierAnswer{std::move(result.answer)};
    co_return refusalFor(result);
}

} // namespace gentianramp
