#pragma once

#include "identify.hpp"
#include "shared_key_service.hpp"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <variant>

namespace gentianramp {

/// Granted claim on the key of a request that must not run twice; settled exactly once.
///
/// The destructor settles a claim that is still open: as released when no byte was sent to a
/// backend server, else as MayHaveRun.
class HeldClaim
{
public:
    HeldClaim(std::shared_ptr<SharedKeyService> keyService, ClaimTicket ticket);
    ~HeldClaim();
    HeldClaim(const HeldClaim &) = delete;
    HeldClaim &operator=(const HeldClaim &) = delete;

    /// Asks whether the first byte may still be sent. When it returns true, the request counts as
    /// sent.
    bool startDispatch();
    /// Records that the backend server did not run the request.
    void recordNotRun() { m_sent = false; }
    void complete(StoredAnswer answer);

private:
    void settle(ClaimOutcome outcome);

    std::shared_ptr<SharedKeyService> m_keyService;
    ClaimTicket m_ticket;
    bool m_sent = false;
    bool m_settled = false;
};

/// A request that may be dispatched; output of the deduplicate filter.
struct AdmissibleRequest
{
    IdentifiedRequest request;
    std::shared_ptr<HeldClaim> claim; ///< Null for requests that may run more than once.
    Verdict undispatchedVerdict = Verdict::NotRun; ///< Until a request is sent.
};

/// Stored answer of an earlier request with the same key.
struct EarlierAnswer
{
    StoredAnswer answer;
};

using Deduplicated = std::variant<AdmissibleRequest, EarlierAnswer, RequestError>;

/// Claims the key of a request that must not run twice.
boost::asio::awaitable<Deduplicated> deduplicate(IdentifiedRequest request,
                                                 std::shared_ptr<SharedKeyService> keyService);

} // namespace gentianramp
