#pragma once

#include "declaration_exchange.hpp"
#include "origin_lookup.hpp"
#include <boost/asio/any_io_executor.hpp>

#include <gentianramp/admission/waiting_requests.hpp>
#include <gentianramp/core/metrics.hpp>
#include <gentianramp/relay/backend_table.hpp>
#include <gentianramp/relay/crash_watch.hpp>
#include <gentianramp/relay/relay_service.hpp>
#include <gentianramp/relay/work_meter.hpp>
#include <map>
#include <random>
#include <set>
#include <span>

namespace gentianramp {

/// Metrics of the relay, registered once.
struct RelayMetrics
{
    explicit RelayMetrics(MetricsRegistry &registry);

    Counter &requests;
    Counter &served;
    Counter &refused;
    Counter &failed;
    Counter &repeats;
    Counter &resumes;
    Counter &callersGone;
    Counter &crashes;
    Counter &answerRoomWaits;
    Counter &blamedRefusals;
    Counter &limitRefusals;
    Counter &originRefusals;
    Counter &unknownKeys;
    Counter &admissionWaits;
    Counter &admissionRefusals;
    Counter &handedOver;
    Counter &handOversFailed;
    Counter &handOversOtherDeclaration;
    Counter &declarationsFetched;
    Counter &takenOver;
    Distribution &firstEventTime;
    Distribution &answerTime;
};

class RelayedRequest;

/// Age for log lines in milliseconds; -1 when there is none.
inline std::int64_t ageMs(const std::optional<Duration> &age)
{
    return age ? toMilliseconds(*age) : -1;
}

/// Whether a request may be sent in view of what is blamed for crashes.
struct CrashAdmission
{
    std::optional<BlamedPart> refusedFor; ///< Empty: the request may be sent.
    bool isTrial = false;                 ///< It may be sent although a part is blamed.
    bool operator==(const CrashAdmission &) const = default;
};

/// Waiting requests that look for room at a time: those behind them can't be sent before.
inline constexpr std::size_t WaitingLookAhead = 4;

/// State that all requests of a RelayService share.
struct RelayState : std::enable_shared_from_this<RelayState>
{
    RelayState(boost::asio::any_io_executor executor, RelayOptions options);

    /// Notes what a backend server states about itself in the head of any answer.
    void noteAnswerHead(const BackendId &backend, unsigned status, const HttpHeaders &headers);
    /// Notes what a backend server states about itself in an answer that came by way of another
    /// instance: the caller is told, but this instance had no contact with the server.
    void notePassedOn(const BackendId &backend, unsigned status, const HttpHeaders &headers);
    /// Notes that the backend server leaves, if the answer says so.
    void noteLeaving(const BackendId &backend, const HttpHeaders &headers);
    /// Notes the rate of requests that a backend server names in the answer to a request, or that
    /// it names none.
    void noteLimit(const BackendId &backend, unsigned status, const HttpHeaders &headers);
    /// A backend server ended a connection before the answer on it was complete; its health is
    /// checked. @p unanswered are the suspects of a request whose answer had not begun.
    void noteConnectionLost(const SendTarget &target, const std::string &service,
                            const CrashSuspects &unanswered);
    /// A crash is believed once another server has answered after it: an instance that is cut off
    /// loses the connections of all servers.
    void noteCrash(const ServerCrash &crash);
    void believeCrash(const ServerCrash &crash);
    /// Believes or drops crashes that were held back.
    void reviewHeldCrashes();
    /// A complete answer to a request began at @p beganAt.
    void noteServed(const std::string &service, std::span<const std::uint64_t> suspects,
                    TimePoint beganAt);
    /// Updates which prompt parts are blamed for crashes, at most every BlameInterval.
    const std::vector<BlamedPart> &blamedParts();
    /// This instance was granted a trial of a blamed part and has not used it.
    bool mayTry(std::uint64_t part) const;
    /// Decides whether a request with these suspects may be sent. Uses up a trial that this
    /// instance was granted.
    CrashAdmission admit(const CrashSuspects &suspects);
    /// Whether a part of the prompt waited for an answer at an earlier crash and was never
    /// answered.
    bool wasAtEarlierCrash(const CrashSuspects &suspects) const;
    /// Starts a health check of a backend server unless one is in progress.
    void checkHealth(const BackendId &backend, const std::string &service);
    /// Repeats the health check until the backend server answers or is no longer listed.
    boost::asio::awaitable<void> checkUntilAnswered(BackendId backend, std::string path);
    boost::asio::awaitable<void> freeHandle(HttpAddress address, std::string handle);
    /// Number of the declaration in force; 0: none.
    std::uint64_t declarationNumber() const;
    /// The declaration in force was confirmed so recently that a newer one need not be in force.
    bool declarationIsConfirmed() const;
    RetryAllowance &allowance(const std::string &service);
    /// What this instance knows of the versions of a service.
    OriginEvidence versionEvidence(const std::string &service) const;
    /// Requests that arrive here and what may be sent of them to limited backend servers; empty
    /// while no limit is known.
    ReportedDemand demand(TimePoint now) const;
    /// Time after which one more refused caller may return to a service whose servers are at their
    /// limits: callers that were refused before take the requests until then. Empty: they are not.
    std::optional<Duration> takeReturnTime(const std::string &service);
    /// Uniformly distributed in [0, 1).
    double uniformRandom();
    /// Lets the first requests that wait for servers of the service look for room again.
    void wakeWaiting(const std::string &service);
    /// The same for all requests that wait for servers.
    void wakeAllWaiting();

    boost::asio::any_io_executor executor;
    RelayOptions options;
    std::unique_ptr<MetricsRegistry> ownMetrics; ///< Set when the options have no registry.
    RelayMetrics metrics;
    HttpClient client;
    BackendTable table;
    OriginLookup origins;
    DeclarationExchange declarations;
    std::shared_ptr<const RouteTable> routes;
    bool hasListing = false; ///< A backend listing has been published.
    std::uint32_t instances = 1;
    /// Instances that state by which declaration they decide; earlier builds do not.
    std::set<InstanceId> statesDeclaration;
    std::optional<TimePoint> shutdownDeadline;        ///< Set while the process shuts down.
    std::map<std::string, RetryAllowance> allowances; ///< By service.
    std::map<std::string, WorkMeter> arrivals;        ///< Requests by service.
    /// By service: when the requests that its servers' limits allow are no longer promised.
    std::map<std::string, TimePoint> promisedUntil;
    std::set<BackendId> pendingHealthChecks;
    std::shared_ptr<CrashEvidence> crashes;
    CrashWatch crashWatch;
    std::vector<ServerCrash> heldCrashes; ///< No other server has answered since.
    std::vector<BlamedPart> currentBlame; ///< As of blameUpdatedAt.
    TimePoint blameUpdatedAt{};
    std::map<std::uint64_t, TimePoint> partRefusedAt;
    std::map<std::uint64_t, TimePoint> trialsUsed;  ///< Grant of the last used trial of each part.
    std::set<RelayedRequest *> openRequests;        ///< Requests that are being served.
    std::map<std::string, WaitingRequests> waiting; ///< Requests that wait for servers, by service.
    std::map<WaitNumber, RelayedRequest *> waitingByNumber;
    WaitNumber lastWaitNumber = 0;
    std::mt19937_64 random;
};

} // namespace gentianramp
