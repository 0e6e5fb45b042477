#pragma once

#include <gentianramp/idempotency/claim.hpp>
#include <optional>

namespace gentianramp {

/// Next step of an operation after a quorum has reported the newest record of the key.
enum class DecisionKind {
    Propose, ///< Ask the replicas to accept the record.
    Wait,    ///< Another claim holds the key; poll again later.
    Finish,  ///< Nothing is left to do.
};

/// Decision of a claim.
struct ClaimDecision
{
    DecisionKind kind = DecisionKind::Finish;
    ClaimRecord record; ///< For Propose: the record to propose. For Wait: the other claim's.
    ClaimResult result; ///< For Finish.
};

/// Decides the next step of @p claim for @p request, given the newest record of the key.
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
