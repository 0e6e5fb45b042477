#pragma once

#include "caller_watch.hpp"
#include "deduplicate.hpp"
#include "place.hpp"
#include "telemetry.hpp"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <gentianramp/engine/backend_client.hpp>
#include <gentianramp/http/memory_budget.hpp>
#include <gentianramp/routing/router.hpp>
#include <memory>
#include <variant>
#include <vector>

namespace gentianramp {

/// Called with the phase that a backend server stated when it refused work.
using StatedPhaseHook = std::function<void(const BackendId &, BackendPhase)>;

/// Objects and hooks that all requests of an entry instance share.
struct RequestContext
{
    Router *router = nullptr;
    HttpClient *client = nullptr;
    Telemetry *telemetry = nullptr;
    std::shared_ptr<MemoryBudget> memory; ///< Of whole answers.
    StatedPhaseHook onStatedPhase;
    /// True while the view of the backend servers may be outdated, as after the process was
    /// suspended.
    std::function<bool()> viewIsStale;
    /// Runs a coroutine that may outlive the request, on another executor.
    std::function<void(boost::asio::awaitable<void>)> spawn;
};

/// An attempt whose answer has started.
struct StartedAnswer
{
    Placement placement;
    std::shared_ptr<BackendExchange> exchange;
    Attempt attempt{1};
};

using OpenResult = std::variant<StartedAnswer, RequestError, CallerLeft>;

/// The attempts of one request: selects a backend server, dispatches the request and retries where
/// that is allowed.
class RequestAttempts
{
public:
    RequestAttempts(const RequestContext &context, AdmissibleRequest input, CallerWatch &watch,
                    std::uint32_t attemptPrefix);

    /// Tries backend servers until one starts to answer. @p delivered is the number of tokens that
    /// the caller has; if it is not 0, a refusal is retried until the deadline, unless this
    /// instance is shutting down or the deadline cannot be met.
    boost::asio::awaitable<OpenResult> open(std::uint32_t delivered);
    /// Records that @p answer was received completely, with @p emitted tokens.
    void succeed(StartedAnswer &answer, std::uint32_t emitted);
    /// Records that @p answer failed after it had started; the next open() excludes its backend
    /// server.
    void fail(StartedAnswer &answer, AttemptFailure failure, std::string_view outcome);
    /// True when the request is idempotent, so that it may be dispatched again after an attempt
    /// that may have run.
    bool mayRepeat() const;
    /// Verdict for the caller when the request ends without an answer.
    Verdict verdict() const;
    RequestError backendError(AttemptFailure failure) const;
    bool deadlinePassed() const;

    const CallerRequest &caller() const { return m_input.request.caller; }
    const IdentifiedRequest &request() const { return m_input.request; }
    const RequestContext &context() const { return *m_context; }
    CallerWatch &watch() { return *m_watch; }
    HeldClaim *claim() { return m_input.claim.get(); }
    Duration sinceArrival() const { return RuntimeClock::now() - caller().arrivedAt; }
    /// Time-out for the first token of an attempt.
    Duration firstTokenTimeout() const;
    /// Time-out between two tokens.
    Duration tokenTimeout() const;

private:
    boost::asio::awaitable<void> waitForFreshView();
    RequestAttributes shape(std::uint32_t delivered) const;
    BackendCall makeCall(const Placement &placement, const EngineFields &fields);
    Duration silenceTimeout(Duration usual) const;
    Duration headTimeout(std::uint32_t delivered) const;
    Duration untilDeadline() const;
    bool beginDispatch();
    boost::asio::awaitable<StartedAnswer> dispatch(Placement placement, std::uint32_t delivered,
                                                   StartOutcome &outcome);
    boost::asio::awaitable<std::string> prefillAndTransfer(const Placement &placement);
    bool recordFailedStart(StartedAnswer &answer, StartOutcome outcome);
    bool prepareRetryAfter(const Refusal &refusal, std::uint32_t delivered);
    void cancelAtBackend(const StartedAnswer &answer);

    const RequestContext *m_context;
    AdmissibleRequest m_input;
    CallerWatch *m_watch;
    std::uint32_t m_attemptPrefix;
    std::uint32_t m_attemptCount = 0;    ///< Including prefills at other engines.
    std::uint32_t m_mayHaveRunCount = 0; ///< Failed attempts that may have run.
    bool m_mayHaveRun = false;
    std::vector<BackendId> m_excluded;
    AttemptFailure m_lastFailure = AttemptFailure::Refused;
};

} // namespace gentianramp
