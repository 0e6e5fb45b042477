#pragma once

#include "relay_state.hpp"

#include <gentianramp/core/verdict.hpp>
#include <gentianramp/relay/event_assembler.hpp>

namespace gentianramp {

/// A request with less time left is not sent.
inline constexpr Duration MinTimeLeftForSend = std::chrono::milliseconds(5);

/// Who sent a request to this instance.
enum class RequestSource {
    Caller,
    Instance, ///< Another instance, which reaches no backend server; not handed over again.
};

/// One caller's request and its attempts at backend servers, until its final answer.
class RelayedRequest : public std::enable_shared_from_this<RelayedRequest>
{
public:
    RelayedRequest(std::shared_ptr<RelayState> state, HttpRequest request, ResponseWriter &writer,
                   RequestSource source);
    ~RelayedRequest();

    boost::asio::awaitable<void> serve();
    /// Lets a request that waits for room look for it again.
    void wake() { m_waitTimer.cancel(); }
    /// Gives the request up. A caller to whom nothing was sent yet gets a final answer; a stream
    /// that has started is cut.
    void expire();
    /// When the request was read, if it may be counted for its customer with an earlier time than
    /// that of its answer; empty: not.
    std::optional<TimePoint> uncountedSince() const;

private:
    /// How one attempt ended.
    enum class AttemptResult {
        Done,       ///< The caller got its answer, or its connection can't be used any more.
        NotRun,     ///< The backend server did not run the request.
        Unreached,  ///< No byte of the request was sent.
        MayHaveRun, ///< No usable answer arrived.
    };
    /// One send of the request, or of its prefill, to a backend server, or of the request to
    /// another instance; the target of the latter names the backend server only once that has
    /// answered.
    struct Attempt
    {
        SendTarget target;
        std::shared_ptr<HttpExchange> exchange;
        bool answered = false;
        TimePoint sentAt{};
        TimePoint answeredAt{};
        bool hasBegun = false; ///< An event of the answer has arrived.
        bool byHelper = false; ///< Sent to another instance.
        std::error_code error; ///< Why the answer is incomplete.
        bool open = false;     ///< The table counts the attempt as being served.
    };
    /// Ends an attempt that an exception leaves open.
    class AttemptGuard;

    /// Name of the result in log lines.
    static std::string_view toString(AttemptResult result);

    boost::asio::awaitable<void> resolveAndSend();

    // Routing
    boost::asio::awaitable<bool> resolveRoute();
    /// Makes the declaration in force here that by which another instance decided the request that
    /// it hands over; false when the request was refused because they differ.
    boost::asio::awaitable<bool> matchDeclaration();
    /// Goes on by the declaration in force, if that decides the request alike; otherwise the
    /// request keeps its own.
    bool adoptDeclarationInForce();
    /// No server can have run the request, so that it may be decided once more.
    bool mayDecideAnew() const;
    /// Forgets how the request was routed, before it is routed by the declaration in force.
    void dropDecision();
    std::uint64_t declarationNumber() const;
    /// Finds the customer by the request's key; false when the request was refused because it needs
    /// a key that a customer holds.
    boost::asio::awaitable<bool> identifyCustomer();
    /// A route that needs a key is not served because keys may have been removed meanwhile.
    bool mayHaveLostKeys() const;
    /// Finds out at which software version a stream that the caller takes up again has to go on;
    /// false when the request was refused because that is not known.
    boost::asio::awaitable<bool> resolveOrigin();
    boost::asio::awaitable<void> answerLocally(unsigned status, std::string_view reason,
                                               std::optional<Duration> retryAfter = std::nullopt);

    // Attempts
    boost::asio::awaitable<void> sendUntilDone();
    bool mayWaitForLimit();

    // Admission
    /// The instance decides whether the request is sent now, waits or is refused.
    bool needsAdmission() const;
    /// The request waits and others go before it, so that no server has to be chosen.
    bool isBehindOthers() const;
    AdmissionDecision decideAdmission(const RequestPlacement &placement);
    AdmissionDecision noteAdmission(const AdmissionDecision &decision);
    boost::asio::awaitable<void> refuseAdmission(const AdmissionDecision &decision);
    boost::asio::awaitable<void> waitForRoom();
    void leaveQueue();

    PlacementQuery placementQuery() const;
    std::optional<BlamedPart> admit();
    std::optional<RequestPlacement> choosePlacement();
    boost::asio::awaitable<AttemptResult> sendOnce(const SendTarget &target);
    /// Asks the engine to prefill the prompt and sets m_prefilledPrompt. NotRun or Unreached when
    /// the prompt was not prefilled.
    boost::asio::awaitable<AttemptResult> prefillPrompt(const SendTarget &prefillEngine);
    void releasePrefilledPrompt();
    HttpCall makeCall(const SendTarget &target) const;
    /// A second answer to the first send could not be told from the answer to a further one on the
    /// same connection, since both carry the request's id.
    bool wasSentTo(const HttpAddress &address) const;
    void logSendFailed(const SendTarget &target, std::string_view event, AttemptResult result,
                       const std::error_code &error, unsigned status, TimePoint sentAt) const;
    bool mayRepeat(AttemptResult result) const;
    /// Backend servers that this instance may send the request to.
    std::uint32_t maxAttempts() const;
    bool isUncounted(AttemptResult result);
    bool takeRepeat();
    bool takeRepeats(std::uint32_t count);

    // Other instances
    /// How a hand-over ended.
    struct HandOverResult
    {
        AttemptResult attempt = AttemptResult::MayHaveRun;
        bool lacksServers = false; ///< Servers of the service do not answer that instance either.
        bool wasSent = false; ///< The instance sent the request to a server, which rejected it.
        /// The instance refused because it decides by this declaration; empty: for another reason.
        std::optional<std::uint64_t> otherDeclaration;
    };
    enum class HandOverEnd {
        Answered,    ///< The caller has its answer, or is gone.
        NotTaken,    ///< No instance took the request.
        DecidedAnew, ///< A newer declaration is in force, by which the request was routed again.
    };

    /// The request may be sent by way of another instance.
    bool mayHandOver() const;
    /// Hands the request over to other instances, one after the other.
    boost::asio::awaitable<HandOverEnd> handOver();
    /// Goes on by the declaration in force; NotTaken unless the request had to be routed again.
    boost::asio::awaitable<HandOverEnd> followDeclarationInForce();
    boost::asio::awaitable<HandOverResult> handOverTo(const RelayHelper &helper);
    /// Takes the repeats for the sends of another instance, after a server has had the request: one
    /// for the request and one for the prefill of its prompt.
    bool takeFurtherSends();
    HttpCall makeHandOverCall(const RelayHelper &helper) const;
    /// Reads what the other instance says of the answer.
    AttemptResult noteHelperHead(Attempt &attempt);
    std::optional<std::uint64_t> noteHelperDeclaration(const RelayHelper &helper,
                                                       const HttpHeaders &headers,
                                                       AttemptResult result);
    /// Adds what another instance needs to know to the head of an answer.
    void addHandOverHeaders(HttpResponse &head, Verdict verdict) const;

    // Relay
    boost::asio::awaitable<AttemptResult> relay(Attempt &attempt);
    boost::asio::awaitable<AttemptResult> relayAnswer(Attempt &attempt);
    boost::asio::awaitable<AttemptResult> relayWholeAnswer(Attempt &attempt);
    boost::asio::awaitable<AttemptResult> relayStream(Attempt &attempt);
    void noteAnswerWaits();
    boost::asio::awaitable<bool> deliverEvents(Attempt &attempt, std::string_view events);
    HttpResponse callerResponseHead(const HttpExchange &exchange) const;
    void noteHead(const Attempt &attempt);
    bool isEventStream(const HttpExchange &exchange) const;
    void markAnswered(Attempt &attempt);
    void reportLostConnection(const Attempt &attempt);
    /// Counts the request for its customer, once.
    void countBegun(TimePoint at);
    /// Counts a request whose answer was lost if the server probably began to run it.
    void countUnanswered(const Attempt &attempt);
    void noteServed(const Attempt &attempt);
    void noteSent(Attempt &attempt);
    /// The first event of the stream is about to be sent to the caller.
    void noteBegun(const Attempt &attempt);
    /// A stream that has begun may still find a server of the version that began it.
    bool mayGoOn() const;
    /// The prefilled prompt can be read again by an engine of another version.
    bool mayPrefillElsewhere() const;
    /// Servers of the service run, or lately ran, more than one version.
    bool hasOtherVersions() const;
    void abandon(Attempt &attempt);
    void reportOutcome(Attempt &attempt, AttemptResult result);

    // Final answers
    boost::asio::awaitable<void> refuse(std::string_view reason);
    boost::asio::awaitable<void> fail();
    boost::asio::awaitable<void> refusePart(const BlamedPart &blamedPart);
    boost::asio::awaitable<void> failAfterException(std::string_view what);
    Duration retryAfter() const;
    void logOutcome(std::string_view event, unsigned status, std::string_view reason);

    // Time and the caller
    void startDeadline();
    void onCallerGone();
    void watchSilence();
    bool leavesSilentServer();
    bool keepSilentServer(std::string_view reason);
    void noteProgress() { m_progressAt = RuntimeClock::now(); }
    Duration timeLeft() const;
    /// The caller disconnected or the request was given up.
    bool isOver() const { return m_callerGone || m_expired; }

    std::shared_ptr<RelayState> m_state;
    /// Shared with the calls to backend servers, which may outlast the request.
    std::shared_ptr<const HttpRequest> m_request;
    ResponseWriter *m_writer;
    RequestSource m_source;
    std::shared_ptr<const RouteTable> m_routes;
    const Route *m_route = nullptr;
    std::string m_id;
    std::string m_customer;       ///< Name of the customer; empty: none is known.
    std::uint32_t m_priority = 0; ///< Of the customer, or else of the route.
    std::string m_service;
    std::optional<PromptDescription> m_prompt;
    std::uint64_t m_identity = 0; ///< See requestIdentity().
    CrashSuspects m_suspects;     ///< What it may crash a server with.
    /// Attempts whose server ended the connection before an answer began.
    std::uint32_t m_lostSends = 0;
    /// Crashes at which the same request had waited before the first of these.
    std::uint32_t m_crashesBefore = 0;
    TimePoint m_startedAt;
    TimePoint m_deadline = TimePoint::max();
    Timer m_deadlineTimer;
    Timer m_silenceTimer;
    Timer m_waitTimer;
    WaitNumber m_waitNumber = 0;           ///< In the queue of the service; 0: does not wait.
    bool m_isAdmitted = false;             ///< The instance decided that it is sent.
    AdmissionConditions m_conditions;      ///< Of the last decision.
    std::optional<Duration> m_returnAfter; ///< Time to return of a refusal by the decision.
    Duration m_waitedTime{};               ///< Time in the queue.
    TimePoint m_progressAt; ///< Last start of an attempt, or last bytes of its answer.
    std::optional<TimePoint> m_firstEventAt;

    std::shared_ptr<HttpExchange> m_exchange; ///< Exchange of the current attempt.
    InstanceId m_helper; ///< Last instance that the request was handed over to.
    /// Number that the other instance of the last hand-over stated; empty: none.
    std::optional<std::uint64_t> m_otherDeclaration;
    std::optional<Duration> m_helperRetryAfter; ///< Of the last instance that refused it.
    Duration m_refusedWait{};      ///< Expected wait because of which the request was refused.
    BackendId m_backend;           ///< Backend server of the last attempt or prefill.
    std::string m_softwareVersion; ///< Of the backend server of the last attempt.
    /// What sent the first event that the caller has; empty before that. Its version is empty where
    /// it could not be told.
    std::optional<StreamOrigin> m_origin;
    std::string m_resumes; ///< The caller's attempt that brought the stream's first event.
    std::optional<std::uint64_t> m_resumedAfter; ///< The caller's Last-Event-Id.
    /// A prompt that an engine has prefilled and keeps until its KV cache is transferred.
    struct PrefilledPrompt
    {
        BackendId prefillEngine;
        HttpAddress address;
        std::string handle;
        std::string softwareVersion;
    };
    std::optional<PrefilledPrompt> m_prefilledPrompt;
    /// Attempts that reached a backend server, without the uncounted rejections.
    std::uint32_t m_sendCount = 0;
    /// What an instance that hands the request over leaves of its attempts.
    std::optional<std::uint32_t> m_attemptsLeft;
    /// Rejections and failed prefills after the answer had begun that used up no attempt.
    std::uint32_t m_uncountedRejections = 0;
    std::uint32_t m_prefillCount = 0; ///< Engines that were asked to prefill the prompt.
    /// The same since the last send, without the uncounted ones.
    std::uint32_t m_prefillsForSend = 0;
    Duration m_prefillTime{}; ///< Time of all prefills.
    /// Until when a prefilled prompt may wait for a server below its limit; empty: did not wait.
    std::optional<TimePoint> m_limitWaitEnd;
    BackendId m_prefillEngine;     ///< Last engine that was asked to prefill.
    Duration m_lastExpectedWait{}; ///< Expected wait of the last placement.
    std::vector<BackendId> m_tried;
    std::vector<HttpAddress> m_sentTo; ///< Servers and instances, also for prefills.
    Verdict m_verdict = Verdict::NotRun;
    /// Last event delivered, or named by the caller's Last-Event-Id.
    std::optional<std::uint64_t> m_lastEventId;
    std::shared_ptr<MemoryLease> m_answerLease; ///< Of the last whole answer, if it is large.
    /// Complete 5xx answer, sent to the caller if all repeats fail.
    std::optional<HttpResponse> m_backendFailure;
    bool m_isCounted = false;     ///< Counted for its customer.
    bool m_originNoted = false;   ///< What began the stream was recorded.
    bool m_lacksServers = false;  ///< No server can take it, and some are silent.
    bool m_prefilling = false;    ///< The current exchange is a prefill.
    bool m_repeatsTaken = false;  ///< The repeats for the next attempt were taken already.
    bool m_repeatRefused = false; ///< No repeat was allowed while a server was silent.
    bool m_keepsSilent = false;   ///< It was logged that the request stays at a silent server.
    bool m_isTrial = false;       ///< Sent although one of its parts is blamed for crashes.
    bool m_callerGone = false;
    bool m_expired = false;
    bool m_ended = false;
};

} // namespace gentianramp
