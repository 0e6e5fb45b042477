#include <gentianramp/idempotency/claim_decision.hpp>

namespace gentianramp {

namespace {

ClaimDecision finish(ClaimStatus status, Verdict verdict, StoredAnswer answer = {})
{
    return {.kind = DecisionKind::Finish,
            .record = {},
            .result
            = {.status = status, .verdict = verdict, .ticket = {}, .answer = std::move(answer)}};
}

ClaimDecision propose(const ClaimRequest &request, const ClaimId &claim, std::uint32_t attempt)
{
    return {.kind = DecisionKind::Propose,
            .record = {.claim = claim,
                       .attempt = attempt,
                       .fingerprint = request.fingerprint,
                       .state = ClaimState::Claimed,
                       .answer = {}},
            .result = {}};
}

} // namespace

ClaimDecision decideClaim(const std::optional<ClaimRecord> &newest, const ClaimRequest &request,
                          const ClaimId &claim)
{
    if (!newest)
        return propose(request, claim, 1);
    if (newest->claim == claim && newest->state == ClaimState::Claimed)
        return propose(request, claim, newest->attempt);
    if (newest->fingerprint != request.fingerprint) {
        const bool released = newest->state == ClaimState::Released;
        return finish(ClaimStatus::Conflict, released ? Verdict::NotRun : Verdict::MayHaveRun);
    }
    switch (newest->state) {
    case ClaimState::Released:
        return propose(request, claim, newest->attempt + 1);
    case ClaimState::Complete: {
        // An answer that was not stored can't be returned; the verdict is then only MayHaveRun.
        const bool kept = !newest->answer.tooLarge;
        return finish(ClaimStatus::AlreadyComplete, kept ? Verdict::Complete : Verdict::MayHaveRun,
                      newest->answer);
    }
    case ClaimState::MayHaveRun:
        return finish(ClaimStatus::MayHaveRun, Verdict::MayHaveRun);
    case ClaimState::Claimed:
        break;
    }
    return {.kind = DecisionKind::Wait, .record = *newest, .result = {}};
}

SettlementDecision decideSettlement(const std::optional<ClaimRecord> &newest,
                                    const ClaimTicket &ticket, const ClaimOutcome &outcome)
{
    if (newest && newest->claim != ticket.claim) {
        return {.kind = DecisionKind::Finish,
                .record = {},
                .keyHeldByOther = outcome.state != ClaimState::Released};
    }
    // A release is recorded even when no replica knows the claim: a KeyAccept of the claim may
    // still be in transit and would leave the key claimed.
    return {.kind = DecisionKind::Propose,
            .record = {.claim = ticket.claim,
                       .attempt = ticket.attempt,
                       .fingerprint = ticket.fingerprint,
                       .state = outcome.state,
                       .answer = outcome.answer},
            .keyHeldByOther = false};
}

} // namespace gentianramp
