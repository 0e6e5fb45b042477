#pragma once

#include "identify.hpp"
#include "key_gate.hpp"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <variant>

namespace gentianramp {

/// Right to dispatch a request that must not run twice; settled exactly once.
///
/// A claim that goes away unsettled is settled by what happened: released when no byte was sent,
/// else as one that may have run.
class HeldClaim
{
public:
    HeldClaim(std::shared_ptr<KeyGate> gate, ClaimTicket ticket);
    ~HeldClaim();
    HeldClaim(const HeldClaim &) = delete;
    HeldClaim &operator=(const HeldClaim &) = delete;

    /// True while the first byte may be sent; notes that it is sent when so.
    bool startDispatch();
    /// The backend server says that it did not run the request.
    void noteNotRun() { m_sent = false; }
    void complete(StoredAnswer answer);

private:
    void settle(ClaimOutcome outcome);

    std::shared_ptr<KeyGate> m_gate;
    ClaimTicket m_ticket;
    bool m_sent = false;
    bool m_settled = false;
};

/// A request that may be dispatched; output of the deduplicate filter.
struct AdmissibleRequest
{
    IdentifiedRequest request;
    std::shared_ptr<HeldClaim> claim; ///< Null for requests that may run more than once.
    Verdict prior = Verdict::NotRun;  ///< What may be said as long as this exchange sends nothing.
};

/// The answer that an earlier attempt under the same key got.
struct EarlierAnswer
{
    StoredAnswer answer;
};

using Deduplicated = std::variant<AdmissibleRequest, EarlierAnswer, Exit>;

/// Claims the key of a request that must not run twice.
boost::asio::awaitable<Deduplicated> deduplicate(IdentifiedRequest request,
                                                 std::shared_ptr<KeyGate> gate);

} // namespace gentianramp
