#pragma once

#include "caller_watch.hpp"
#include "deduplicate.hpp"
#include "place.hpp"
#include "telemetry.hpp"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <gentianramp/engine/backend_client.hpp>
#include <gentianramp/routing/router.hpp>
#include <memory>
#include <variant>
#include <vector>

namespace gentianramp {

/// Called with the phase that a backend server stated when it refused work.
using StatedPhaseHook = std::function<void(const BackendId &, BackendPhase)>;

/// What all requests of an entry instance share.
struct RequestTools
{
    Router *router = nullptr;
    HttpClient *client = nullptr;
    Telemetry *telemetry = nullptr;
    StatedPhaseHook onStatedPhase;
    /// True while what is known of backend servers may be too old, as after a pause of the process.
    std::function<bool()> viewIsStale;
    /// Runs work that outlives the request, on an executor of its own.
    std::function<void(boost::asio::awaitable<void>)> spawn;
};

/// An attempt whose answer has begun.
struct OpenAnswer
{
    Placement placement;
    std::shared_ptr<BackendExchange> exchange;
    Attempt attempt{1};
};

using Opened = std::variant<OpenAnswer, Exit, CallerLeft>;

/// The attempts of one request: chooses, dispatches and repeats where that is allowed.
class RequestRun
{
public:
    RequestRun(const RequestTools &tools, AdmissibleRequest input, CallerWatch &watch,
               std::uint32_t attemptSalt);

    /// Tries backend servers until one begins to answer. @p delivered tokens of the answer were
    /// passed on; then a refusal is not final before the deadline.
    boost::asio::awaitable<Opened> open(std::uint32_t delivered);
    /// The whole answer of @p answer was received.
    void succeed(OpenAnswer &answer, std::uint32_t emitted);
    /// @p answer broke after it had begun; the next open() goes on elsewhere.
    void fail(OpenAnswer &answer, AttemptFailure failure, std::string_view how);
    /// True when another attempt may follow one that may have run.
    bool mayRepeat() const;
    /// What the caller may be told when the request ends without an answer.
    Verdict verdict() const;
    Exit failedExit(AttemptFailure failure) const;
    bool deadlinePassed() const;

    const CallerRequest &caller() const { return m_input.request.caller; }
    const IdentifiedRequest &request() const { return m_input.request; }
    const RequestTools &tools() const { return *m_tools; }
    CallerWatch &watch() { return *m_watch; }
    HeldClaim *claim() { return m_input.claim.get(); }
    Duration sinceArrival() const { return RuntimeClock::now() - caller().arrivedAt; }
    /// Longest wait for the first token of an attempt.
    Duration firstTokenSilence() const;
    /// Longest wait between two tokens.
    Duration tokenSilence() const;

private:
    boost::asio::awaitable<void> waitForFreshView();
    RequestAttributes shape(std::uint32_t delivered) const;
    BackendCall makeCall(const Placement &placement, const EngineFields &fields);
    Duration headTimeout(std::uint32_t delivered) const;
    Duration untilDeadline() const;
    bool beginDispatch();
    boost::asio::awaitable<OpenAnswer> dispatch(Placement placement, std::uint32_t delivered,
                                                CallStart &start);
    boost::asio::awaitable<std::string> prefillElsewhere(const Placement &placement);
    bool noteStart(OpenAnswer &answer, CallStart start);
    bool waitsOut(const Refusal &refusal, std::uint32_t delivered);
    void cancelAtBackend(const OpenAnswer &answer);

    const RequestTools *m_tools;
    AdmissibleRequest m_input;
    CallerWatch *m_watch;
    std::uint32_t m_attemptSalt;
    std::uint32_t m_attempts = 0; ///< Dispatched so far.
    std::uint32_t m_repeats = 0;  ///< Attempts after one that may have run.
    bool m_mayHaveRun = false;
    std::vector<BackendId> m_excluded;
    AttemptFailure m_lastFailure = AttemptFailure::Refused;
};

} // namespace gentianramp
