#pragma once

#include <gentianramp/idempotency/claim.hpp>
#include <optional>

namespace gentianramp {

/// What to do after a quorum told what it knows of a key.
enum class DecisionKind {
    Propose, ///< Ask the quorum to keep the record.
    Wait,    ///< Another claim is in progress; look again later.
    Finish,  ///< Nothing is left to do.
};

/// Decision of a claim.
struct ClaimDecision
{
    DecisionKind kind = DecisionKind::Finish;
    ClaimRecord record; ///< For Propose: the own record. For Wait: the other claim's.
    ClaimResult result; ///< For Finish.
};

/// Decides how @p claim for @p request goes on, given the newest record of the key.
ClaimDecision decideClaim(const std::optional<ClaimRecord> &newest, const ClaimRequest &request,
                          const ClaimId &claim);

/// Decision of a settlement.
struct SettlementDecision
{
    DecisionKind kind = DecisionKind::Finish; ///< Propose or Finish.
    ClaimRecord record;                       ///< For Propose.
    bool keyHeldByOther = false; ///< Another claim holds the key although this one may have run.
};

/// Decides how the @p outcome of @p ticket is recorded, given the newest record of the key.
SettlementDecision decideSettlement(const std::optional<ClaimRecord> &newest,
                                    const ClaimTicket &ticket, const ClaimOutcome &outcome);

} // namespace gentianramp
