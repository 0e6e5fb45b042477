#include "relayed_request.hpp"

#include "forwarded_headers.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gentianramp/core/hexadecimal.hpp>
#include <gentianramp/core/log.hpp>
#include <gentianramp/http/whole_answer.hpp>
#include <gentianramp/relay/request_identity.hpp>
#include <gentianramp/relay/retry_after.hpp>

namespace gentianramp {

namespace asio = boost::asio;

namespace {

/// Backend servers are in the same region: connecting takes a few milliseconds unless the server is
/// gone or its accept queue is full.
constexpr Duration ConnectTimeout = std::chrono::milliseconds(400);
/// A backend server that sends no byte for this time gets a health check. Well above the pauses of
/// a busy engine (250 ms at most for timely streams).
constexpr Duration SilenceBeforeHealthCheck = std::chrono::milliseconds(450);
constexpr Duration SilenceCheckInterval = std::chrono::milliseconds(200);
/// Bound on sends that reach no listener. They cost the backend servers nothing and do not count as
/// attempts.
constexpr std::uint32_t MaxUnreachedSends = 4;
/// Engines that are asked in turn to prefill a prompt. A prefill does not run the request.
constexpr std::uint32_t MaxPrefillAttempts = 2;
constexpr std::uint32_t MaxUncountedRejections = 3;
/// A request that two servers left unanswered as they ended is not sent to a third one.
constexpr std::uint32_t MaxLostSends = 2;
/// Delay of the next attempt after a stream that had begun was rejected; doubles with each
/// rejection.
constexpr Duration FirstRejectionDelay = std::chrono::milliseconds(50);
/// Interval at which a stream that had begun looks for a server to go on at.
constexpr Duration ServerWaitInterval = std::chrono::milliseconds(100);
/// A prefilled prompt waits for a server below its limit for this part of its time at most.
constexpr Duration LimitWaitInterval = std::chrono::milliseconds(20);
constexpr int LimitWaitTimeLeftDivisor = 4;
/// Retry-After is at most the caller's remaining time divided by these: in general, and after a
/// refusal because of a long expected wait. Callers honour at most a third of their remaining time.
constexpr int RetryAfterTimeLeftDivisor = 5;
constexpr int RetryAfterLongWaitDivisor = 3;
constexpr Duration LongestRetryAfter = std::chrono::milliseconds(800);

/// Several rounds of requests to the registry; a declaration that it has confirmed is known then.
constexpr Duration DeclarationRetryAfter = std::chrono::milliseconds(300);
/// Another instance can take the request immediately.
constexpr Duration LeavingRetryAfter = std::chrono::milliseconds(20);

/// A request is refused when its expected wait exceeds its remaining time by this factor: estimates
/// are off by a factor of two when requests of other priorities wait too.
constexpr int RefusalWaitFactor = 2;

/// Answers that are not streams are kept until they are complete.
constexpr std::size_t MaxWholeAnswerBytes = 8 * 1024 * 1024;
/// An answer to a prefill is a handle, which arrives at once unless the engine falls silent.
constexpr std::size_t MaxPrefillAnswerBytes = 64 * 1024;
constexpr Duration PrefillBodyTimeout = std::chrono::seconds(2);

/// Longest time after which a waiting request looks for room again; an answer that ends or a load
/// report wakes it earlier.
constexpr Duration RoomCheckInterval = std::chrono::milliseconds(20);

constexpr unsigned Ok = 200;
/// Longer names of earlier attempts are cut off, and so match none.
constexpr std::size_t MaxRequestIdLength = 128;

bool isSuccess(unsigned status)
{
    return status >= 200 && status < 300;
}

/// True for an answer by which a caller knows that its request has not run and never will.
bool promisesNotRun(unsigned status)
{
    constexpr unsigned requestTimeout = 408;
    constexpr unsigned tooManyRequests = 429;
    constexpr unsigned serviceUnavailable = 503;
    return status == requestTimeout || status == tooManyRequests || status == serviceUnavailable;
}

/// True when the end of the body does not have to be told from the connection's end.
bool isDelimited(const HttpExchange &exchange)
{
    return exchange.headers().contains("Content-Length")
        || exchange.headers().contains("Transfer-Encoding");
}

/// Name under which the origin of a stream is recorded: a customer can't take up the stream of
/// another one.
std::string streamRecordKey(const std::string &customer, const std::string &attempt)
{
    return customer.empty() ? attempt : customer + '/' + attempt;
}

} // namespace

class RelayedRequest::AttemptGuard
{
public:
    AttemptGuard(RelayedRequest &request, Attempt &attempt)
        : m_request(request)
        , m_attempt(attempt)
    { }
    ~AttemptGuard()
    {
        if (m_attempt.open)
            m_request.abandon(m_attempt);
    }
    AttemptGuard(const AttemptGuard &) = delete;
    AttemptGuard &operator=(const AttemptGuard &) = delete;

private:
    RelayedRequest &m_request;
    Attempt &m_attempt;
};

RelayedRequest::RelayedRequest(std::shared_ptr<RelayState> state, HttpRequest request,
                               ResponseWriter &writer, RequestSource source)
    : m_state(std::move(state))
    , m_request(std::make_shared<const HttpRequest>(std::move(request)))
    , m_writer(&writer)
    , m_source(source)
    , m_routes(m_state->routes)
    , m_startedAt(RuntimeClock::now())
    , m_deadlineTimer(m_state->executor)
    , m_silenceTimer(m_state->executor)
    , m_waitTimer(m_state->executor)
    , m_progressAt(m_startedAt)
{ }

RelayedRequest::~RelayedRequest()
{
    leaveQueue();
    m_state->openRequests.erase(this);
}

asio::awaitable<void> RelayedRequest::serve()
{
    const auto self = shared_from_this();
    m_state->metrics.requests.add();
    std::string exceptionText;
    try {
        co_await resolveAndSend();
    } catch (const std::exception &exception) {
        exceptionText = exception.what();
        exceptionText += exceptionText.empty() ? "unknown" : "";
    }
    if (!exceptionText.empty())
        co_await failAfterException(exceptionText);
    releasePrefilledPrompt();
    leaveQueue();
    m_ended = true;
    m_deadlineTimer.cancel();
    m_silenceTimer.cancel();
    if (m_callerGone) {
        m_state->metrics.callersGone.add();
        logOutcome("caller_gone", 0, "left");
    }
}

asio::awaitable<void> RelayedRequest::resolveAndSend()
{
    if (!co_await resolveRoute())
        co_return;
    m_writer->setCallerGoneHook([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->onCallerGone();
    });
    startDeadline();
    m_state->openRequests.insert(this);
    if (m_lastEventId && !co_await resolveOrigin())
        co_return;
    if (m_source == RequestSource::Caller && !m_customer.empty())
        m_state->options.usage.arrived(m_customer, m_startedAt);
    // The instance where a request arrives counts it for its repeats, and the one that sends it to
    // backend servers for what their limits allow.
    if (m_source == RequestSource::Caller)
        m_state->allowance(m_service).noteRequest(m_startedAt);
    else
        m_state->metrics.takenOver.add();
    if (!m_state->table.allSilent())
        m_state->arrivals[m_service].add(1, m_startedAt);
    co_await sendUntilDone();
}

// Routing

/// Finds the route, the deadline and the service; false when the request was already answered.
asio::awaitable<bool> RelayedRequest::resolveRoute()
{
    const BackendProtocol &protocol = m_state->options.protocol;
    m_id = std::string(m_request->headers.find(protocol.requestId));
    if (!m_state->hasListing || !m_routes) {
        co_await answerLocally(503, "no_declaration", DeclarationRetryAfter);
        co_return false;
    }
    if (m_source == RequestSource::Instance && !co_await matchDeclaration())
        co_return false;
    m_route = m_routes->find(m_request->headers.find("Host"), m_request->path());
    if (!m_route && !m_state->declarationIsConfirmed()) {
        co_await answerLocally(503, "declaration_unconfirmed", DeclarationRetryAfter);
        co_return false;
    }
    if (!m_route) {
        co_await answerLocally(404, "no_route");
        co_return false;
    }
    if (m_id.empty()) {
        co_await answerLocally(400, "no_request_id");
        co_return false;
    }
    if (!co_await identifyCustomer())
        co_return false;
    Duration budget = m_route->timeout;
    if (const auto stated = parseNumber(m_request->headers.find(protocol.timeBudget)))
        budget = std::min<Duration>(
            budget, std::chrono::milliseconds(std::min<std::uint64_t>(*stated, 3'600'000)));
    m_deadline = m_startedAt + budget;
    if (m_state->shutdownDeadline && m_deadline > *m_state->shutdownDeadline) {
        m_writer->closeAfterResponse();
        co_await answerLocally(503, "leaving", LeavingRetryAfter);
        co_return false;
    }
    m_service = pickService(*m_route, m_state->uniformRandom());
    if (m_route->carriesPrompt && protocol.prompt)
        m_prompt = protocol.prompt(m_request->headers);
    const PromptDescription *prompt = m_prompt ? &*m_prompt : nullptr;
    m_identity = requestIdentity(*m_request, prompt, m_customer, protocol);
    m_suspects = crashSuspects(prompt, m_identity);
    if (m_route->kind == RouteKind::Stream) {
        m_resumedAfter = m_lastEventId = parseNumber(m_request->headers.find(protocol.lastEventId));
        m_resumes = m_request->headers.find(protocol.resumes).substr(0, MaxRequestIdLength);
    }
    if (m_source == RequestSource::Instance) {
        if (const auto left = parseNumber(m_request->headers.find(instance_headers::Attempts)))
            m_attemptsLeft
                = static_cast<std::uint32_t>(std::min<std::uint64_t>(*left, m_route->attempts));
        // By the declaration of an instance of an earlier build, the request may have to run once.
        if (!m_otherDeclaration)
            m_attemptsLeft = std::min(m_attemptsLeft.value_or(1), 1U);
    }
    co_return true;
}

std::uint64_t RelayedRequest::declarationNumber() const
{
    return m_routes ? m_routes->declaration().number : 0;
}

asio::awaitable<bool> RelayedRequest::matchDeclaration()
{
    m_otherDeclaration = parseNumber(m_request->headers.find(instance_headers::Declaration));
    if (!m_otherDeclaration || *m_otherDeclaration == declarationNumber())
        co_return true;
    if (isNewerDeclaration(*m_otherDeclaration, declarationNumber())) {
        const InstanceId sender(std::string(m_request->headers.find(instance_headers::Instance)));
        co_await m_state->declarations.catchUp(sender, *m_otherDeclaration);
        m_routes = m_state->routes;
    }
    if (*m_otherDeclaration == declarationNumber())
        co_return true;
    co_await answerLocally(503, "other_declaration", DeclarationRetryAfter);
    co_return false;
}

bool RelayedRequest::adoptDeclarationInForce()
{
    const std::shared_ptr<const RouteTable> &inForce = m_state->routes;
    if (inForce == m_routes)
        return true;
    const auto isSame = [](const auto *left, const auto *right) {
        return left == right || (left && right && *left == *right);
    };
    const Route *route = inForce->find(m_request->headers.find("Host"), m_request->path());
    if (!route || *route != *m_route || inForce->requiresKeys() != m_routes->requiresKeys()
        || !isSame(inForce->service(m_service), m_routes->service(m_service))
        || !isSame(inForce->customer(m_customer), m_routes->customer(m_customer)))
        return false;
    m_routes = inForce;
    m_route = route;
    return true;
}

bool RelayedRequest::mayDecideAnew() const
{
    return m_verdict == Verdict::NotRun && !m_writer->started() && !isOver();
}

void RelayedRequest::dropDecision()
{
    logInfo("request_decided_anew",
            {{"request", m_id},
             {"former", declarationNumber()},
             {"declaration", m_state->declarationNumber()}});
    leaveQueue();
    m_routes = m_state->routes;
    m_tried.clear();
    m_origin.reset();
    m_customer.clear();
}

asio::awaitable<bool> RelayedRequest::identifyCustomer()
{
    m_priority = m_route->priority;
    if (!m_routes->requiresKeys())
        co_return true;
    const bool isNamed = m_source == RequestSource::Instance
        && m_request->headers.contains(instance_headers::Customer);
    const Customer *customer = isNamed
        ? m_routes->customer(m_request->headers.find(instance_headers::Customer))
        : m_routes->findCustomer(
            bearerKey(m_request->headers.find(m_state->options.protocol.authorization)));
    // The instance that handed the request over may have a newer declaration.
    if (isNamed)
        m_customer = m_request->headers.find(instance_headers::Customer);
    else if (customer)
        m_customer = customer->name;
    if (customer)
        m_priority = customer->priority.value_or(m_route->priority);
    if (isNamed || m_route->isPublic)
        co_return true;
    if (mayHaveLostKeys()) {
        co_await answerLocally(503, "keys_unconfirmed", DeclarationRetryAfter);
        co_return false;
    }
    if (customer)
        co_return true;
    // A newer declaration may have the key, and a caller does not try again after a 401.
    if (!m_state->declarationIsConfirmed()) {
        co_await answerLocally(503, "declaration_unconfirmed", DeclarationRetryAfter);
        co_return false;
    }
    m_state->metrics.unknownKeys.add();
    co_await answerLocally(401, "unknown_key");
    co_return false;
}

bool RelayedRequest::mayHaveLostKeys() const
{
    const std::optional<Duration> longest = m_state->options.keyRevocationTime;
    const std::optional<Duration> age = m_state->options.declarationAge();
    return longest && (!age || *age > *longest);
}

asio::awaitable<bool> RelayedRequest::resolveOrigin()
{
    const OriginDecision decision = co_await m_state->origins.decide(
        m_service, streamRecordKey(m_customer, m_resumes), m_route->shares.size() > 1);
    if (m_callerGone)
        co_return false;
    // The route's share of another service may have begun the stream.
    const bool mayRun = decision.origin
        && std::any_of(m_route->shares.begin(), m_route->shares.end(),
                       [&](const ServiceShare &share) {
                           return share.service == decision.origin->service;
                       });
    logInfo("stream_origin",
            {{"request", m_id},
             {"resumes", m_resumes},
             {"after_event", static_cast<std::int64_t>(*m_lastEventId)},
             {"goes_on", mayRun ? 1 : 0},
             {"reason", decision.reason},
             {"service", decision.origin ? decision.origin->service : m_service},
             {"version", decision.origin ? decision.origin->version : std::string()},
             {"versions", m_state->versionEvidence(m_service).versions.size()},
             {"list_age_ms", ageMs(m_state->options.listingAge())}});
    if (!mayRun) {
        m_state->metrics.originRefusals.add();
        co_await answerLocally(503, "stream_version_unknown", retryAfter());
        co_return false;
    }
    m_origin = decision.origin;
    m_service = m_origin->service;
    m_state->metrics.resumes.add();
    co_return true;
}

/// Answers the request from this instance, without a backend server's answer.
asio::awaitable<void> RelayedRequest::answerLocally(unsigned status, std::string_view reason,
                                                    std::optional<Duration> retryAfter)
{
    HttpResponse response;
    response.status = status;
    if (!m_id.empty())
        response.headers.add(m_state->options.protocol.requestId, m_id);
    if (retryAfter)
        response.headers.add("Retry-After", formatRetryAfter(*retryAfter));
    response.headers.add("Content-Type", "text/plain");
    addHandOverHeaders(response, m_verdict);
    response.body = std::string(reason) + '\n';
    (status == 503 || status == 429 ? m_state->metrics.refused : m_state->metrics.failed).add();
    logOutcome(status == 503 ? "request_refused" : "request_failed", status, reason);
    m_ended = true;
    co_await m_writer->send(std::move(response));
}

// Attempts

asio::awaitable<void> RelayedRequest::sendUntilDone()
{
    std::uint32_t unreachedSends = 0;
    for (;;) {
        if (m_callerGone)
            co_return;
        if (m_expired || timeLeft() < MinTimeLeftForSend)
            co_return co_await fail();
        if (const std::optional<BlamedPart> blamedPart = admit())
            co_return co_await refusePart(*blamedPart);
        if (!mayGoOn())
            co_return co_await fail();
        if (m_waitNumber != 0 && m_state->shutdownDeadline) {
            m_writer->closeAfterResponse();
            co_return co_await answerLocally(503, "leaving", LeavingRetryAfter);
        }
        if (isBehindOthers()) {
            m_conditions.mayPlace = false;
            const AdmissionDecision decision = noteAdmission(m_state->waiting.at(m_service).review(
                m_waitNumber, m_conditions, RuntimeClock::now()));
            if (decision.action == AdmissionAction::Refuse)
                co_return co_await refuseAdmission(decision);
            if (decision.action == AdmissionAction::Wait) {
                co_await waitForRoom();
                continue;
            }
        }
        const std::optional<RequestPlacement> placement = choosePlacement();
        if (!placement && m_prefilledPrompt && mayWaitForLimit()) {
            co_await sleepFor(LimitWaitInterval);
            continue;
        }
        // Engines of the version that prefilled the prompt may be gone.
        if (!placement && m_prefilledPrompt && mayPrefillElsewhere() && takeRepeat()) {
            releasePrefilledPrompt();
            continue;
        }
        m_lacksServers = !placement && m_state->table.anySilent(m_service);
        if (m_lacksServers && mayHandOver()) {
            const HandOverEnd end = co_await handOver();
            if (end == HandOverEnd::Answered)
                co_return;
            if (end == HandOverEnd::DecidedAnew)
                continue;
        }
        if (!placement && m_sendCount == 0)
            co_return co_await refuse(m_origin ? "no_backend_of_version" : "no_backend");
        if (!placement && m_writer->started() && m_route->repeatable()) {
            // Servers that are silent or full may take it soon; otherwise the answer is cut.
            m_tried.clear();
            co_await sleepFor(ServerWaitInterval);
            continue;
        }
        if (!placement)
            co_return co_await fail();
        if (needsAdmission()) {
            const AdmissionDecision decision = decideAdmission(*placement);
            if (decision.action != AdmissionAction::Place) {
                m_lastExpectedWait = placement->responder.expectedWait;
                m_state->table.notSent(placement->responder);
                if (placement->prefillEngine)
                    m_state->table.notSent(*placement->prefillEngine);
            }
            if (decision.action == AdmissionAction::Refuse)
                co_return co_await refuseAdmission(decision);
            if (decision.action == AdmissionAction::Wait) {
                co_await waitForRoom();
                continue;
            }
        }
        if (m_sendCount == 0 && m_prefillCount == 0
            && placement->responder.expectedWait > RefusalWaitFactor * timeLeft()) {
            m_refusedWait = m_lastExpectedWait = placement->responder.expectedWait;
            m_state->table.notSent(placement->responder);
            if (placement->prefillEngine)
                m_state->table.notSent(*placement->prefillEngine);
            co_return co_await refuse("too_late");
        }
        m_lastExpectedWait = placement->responder.expectedWait;
        const bool separatePrefill = placement->prefillEngine.has_value();
        const SendTarget &firstTarget
            = separatePrefill ? *placement->prefillEngine : placement->responder;
        AttemptResult result = AttemptResult::Done;
        if (separatePrefill)
            result = co_await prefillPrompt(firstTarget);
        const bool prefillFailed = result != AttemptResult::Done;
        if (separatePrefill)
            m_state->table.notSent(placement->responder);
        // The engine that decodes is chosen again: during the prefill, the first choice may have
        // begun to drain or to change its stage, or filled up.
        if (separatePrefill && !prefillFailed)
            continue;
        if (!prefillFailed)
            result = co_await sendOnce(placement->responder);
        if (result == AttemptResult::Done || m_callerGone)
            co_return;
        m_tried.push_back(prefillFailed ? firstTarget.backend : placement->responder.backend);
        if (result == AttemptResult::Unreached && ++unreachedSends < MaxUnreachedSends)
            continue;
        if (result == AttemptResult::Unreached && mayHandOver()) {
            const HandOverEnd end = co_await handOver();
            if (end == HandOverEnd::Answered)
                co_return;
            if (end == HandOverEnd::DecidedAnew)
                continue;
        }
        const bool mayTryAgain
            = prefillFailed ? m_prefillsForSend < MaxPrefillAttempts : mayRepeat(result);
        // Prefilling the prompt again costs a second repeat in addition to that of the request.
        const bool needsSecondPrefill = !prefillFailed && m_prefillCount > 0 && !m_prefilledPrompt;
        const bool repeatsTaken = std::exchange(m_repeatsTaken, false);
        if (!mayTryAgain || (!repeatsTaken && !takeRepeats(needsSecondPrefill ? 2 : 1)))
            co_return co_await fail();
        if (result == AttemptResult::NotRun && m_writer->started())
            co_await sleepFor(FirstRejectionDelay * (1U << m_uncountedRejections));
    }
}

/// Streams that go on, repeats and requests of other instances are sent at once: each of them has
/// been admitted before, here or elsewhere.
bool RelayedRequest::needsAdmission() const
{
    return m_state->options.queuesWhenShort && m_routes->requiresKeys() && !m_isAdmitted && m_prompt
        && !m_origin && m_sendCount == 0 && m_prefillCount == 0 && m_tried.empty()
        && m_source == RequestSource::Caller;
}

bool RelayedRequest::isBehindOthers() const
{
    return m_waitNumber != 0
        && !m_state->waiting.at(m_service).isAmongFirst(m_waitNumber, WaitingLookAhead);
}

AdmissionDecision RelayedRequest::decideAdmission(const RequestPlacement &placement)
{
    const TimePoint now = RuntimeClock::now();
    const std::optional<PlacementRoom> room = m_state->table.room(placementQuery(), placement, now);
    // Without reports nothing is known to be short.
    if (!room)
        return noteAdmission({});
    m_conditions = {room->room, m_state->instances, room->wait, true, m_state->uniformRandom()};
    const auto queue
        = m_state->waiting
              .try_emplace(m_service, WaitingRequests::DefaultLimit, m_state->uniformRandom())
              .first;
    if (m_waitNumber != 0)
        return noteAdmission(queue->second.review(m_waitNumber, m_conditions, now));
    AdmissionRequest request;
    request.priority = m_priority;
    request.kind = m_route->name;
    request.customer = m_customer;
    request.identity = m_identity;
    request.work = room->work;
    request.firstEventTime = room->firstEventTime;
    request.onTimeUntil = m_route->latencyTarget > Duration::zero()
        ? m_startedAt + m_route->latencyTarget
        : m_deadline;
    request.deadline = m_deadline;
    const WaitNumber number = ++m_state->lastWaitNumber;
    const AdmissionDecision decision = queue->second.arrive(number, request, m_conditions, now);
    if (decision.action == AdmissionAction::Wait) {
        m_waitNumber = number;
        m_state->waitingByNumber.emplace(number, this);
        m_state->metrics.admissionWaits.add();
        logInfo("request_waits",
                {{"request", m_id},
                 {"reason", gentianramp::toString(decision.reason)},
                 {"expected_ms", toMilliseconds(room->wait)},
                 {"taken", static_cast<std::int64_t>(room->room.taken)},
                 {"places", static_cast<std::int64_t>(room->room.places)},
                 {"waiting", queue->second.size()}});
    }
    return noteAdmission(decision);
}

/// A decision other than to wait ends the wait.
AdmissionDecision RelayedRequest::noteAdmission(const AdmissionDecision &decision)
{
    m_isAdmitted = decision.action == AdmissionAction::Place;
    if (decision.action != AdmissionAction::Wait)
        leaveQueue();
    return decision;
}

asio::awaitable<void> RelayedRequest::refuseAdmission(const AdmissionDecision &decision)
{
    m_state->metrics.admissionRefusals.add();
    m_returnAfter = decision.returnAfter;
    co_await refuse(gentianramp::toString(decision.reason));
}

/// Returns when there may be room, the caller left or the request was given up.
asio::awaitable<void> RelayedRequest::waitForRoom()
{
    const TimePoint waitsSince = RuntimeClock::now();
    m_waitTimer.expires_after(std::min<Duration>(RoomCheckInterval, timeLeft()));
    boost::system::error_code woken;
    co_await m_waitTimer.async_wait(asio::redirect_error(asio::use_awaitable, woken));
    m_waitedTime += RuntimeClock::now() - waitsSince;
}

void RelayedRequest::leaveQueue()
{
    const WaitNumber number = std::exchange(m_waitNumber, 0);
    if (number == 0)
        return;
    m_state->waitingByNumber.erase(number);
    const auto queue = m_state->waiting.find(m_service);
    if (queue != m_state->waiting.end())
        queue->second.drop(number);
}

/// True while a prompt that is prefilled may wait for a server below its limit.
bool RelayedRequest::mayWaitForLimit()
{
    const TimePoint now = RuntimeClock::now();
    if (!m_limitWaitEnd)
        m_limitWaitEnd = now + timeLeft() / LimitWaitTimeLeftDivisor;
    const auto wait = m_state->table.limitWait(m_service, now);
    return wait && now + wait->untilNext < *m_limitWaitEnd;
}

PlacementQuery RelayedRequest::placementQuery() const
{
    PlacementQuery request;
    request.service = m_service;
    request.prompt = m_prompt ? &*m_prompt : nullptr;
    request.repeatable = m_route->repeatable();
    request.prefilledAt = m_prefilledPrompt ? &m_prefilledPrompt->prefillEngine : nullptr;
    request.latencyTarget = m_route->latencyTarget;
    request.excluded = m_tried;
    request.isResumable = m_route->kind == RouteKind::Stream && m_route->repeatable();
    if (m_origin)
        request.softwareVersion = &m_origin->version;
    else if (m_prefilledPrompt)
        request.softwareVersion = &m_prefilledPrompt->softwareVersion;
    return request;
}

std::optional<RequestPlacement> RelayedRequest::choosePlacement()
{
    PlacementQuery request = placementQuery();
    std::optional<RequestPlacement> placement = m_state->table.choose(request, RuntimeClock::now());
    if (!placement && !m_tried.empty()) {
        // A server that failed this request before is used when there are no others.
        request.excluded = {};
        placement = m_state->table.choose(request, RuntimeClock::now());
    }
    return placement;
}

bool RelayedRequest::mayGoOn() const
{
    if (!m_origin || !m_writer->started())
        return true;
    const bool isNamed = !m_origin->version.empty();
    return isNamed ? m_state->table.lists(m_service, m_origin->version) : !hasOtherVersions();
}

bool RelayedRequest::mayPrefillElsewhere() const
{
    return !m_origin && hasOtherVersions() && m_prefillCount < MaxPrefillAttempts;
}

bool RelayedRequest::hasOtherVersions() const
{
    return m_state->table.versions().recent(m_service, RuntimeClock::now()).size() > 1;
}

/// True when another attempt is allowed after @p result.
bool RelayedRequest::mayRepeat(AttemptResult result) const
{
    if (m_sendCount >= maxAttempts())
        return false;
    // The request may be what crashes the servers, unless its answer has begun.
    if (result == AttemptResult::MayHaveRun && !m_writer->started()
        && (m_isTrial || m_lostSends >= MaxLostSends || m_crashesBefore > 0
            || m_state->wasAtEarlierCrash(m_suspects)))
        return false;
    return result == AttemptResult::NotRun || m_route->repeatable();
}

std::uint32_t RelayedRequest::maxAttempts() const
{
    return std::min(m_route->attempts, m_attemptsLeft.value_or(m_route->attempts));
}

/// What is blamed for crashes and keeps the request from being sent; empty when it may be.
std::optional<BlamedPart> RelayedRequest::admit()
{
    if (m_isTrial)
        return std::nullopt;
    if (m_lostSends == 0)
        m_crashesBefore = m_state->crashes->unansweredCrashes(m_identity);
    const CrashAdmission admission = m_state->admit(m_suspects);
    m_isTrial = admission.isTrial;
    return admission.refusedFor;
}

/// True when @p result uses up no attempt: once the answer has begun, nothing but a cut answer is
/// left without another one.
bool RelayedRequest::isUncounted(AttemptResult result)
{
    if (result != AttemptResult::NotRun || !m_writer->started()
        || m_uncountedRejections >= MaxUncountedRejections)
        return false;
    ++m_uncountedRejections;
    return true;
}

bool RelayedRequest::takeRepeat()
{
    const bool granted
        = m_state->allowance(m_service).take(m_state->instances, RuntimeClock::now());
    if (granted)
        m_state->metrics.repeats.add();
    else
        logInfo("repeat_not_allowed", {{"request", m_id}, {"service", m_service}});
    return granted;
}

bool RelayedRequest::takeRepeats(std::uint32_t count)
{
    for (; count > 0; --count) {
        if (!takeRepeat())
            return false;
    }
    return true;
}

HttpCall RelayedRequest::makeCall(const SendTarget &target) const
{
    const BackendProtocol &protocol = m_state->options.protocol;
    HttpCall call;
    call.address = target.address;
    call.request.method = m_request->method;
    call.request.target = m_request->target;
    call.sharedBody = std::shared_ptr<const std::string>(m_request, &m_request->body);
    const std::string_view connection = m_request->headers.find("Connection");
    for (const HttpHeader &field : m_request->headers.fields()) {
        const bool stripped = std::any_of(
            protocol.strippedHeaders.begin(), protocol.strippedHeaders.end(),
            [&](const std::string &name) { return sameHeaderName(name, field.name); });
        if (!stripped && !isInstanceHeader(field.name) && !isHopByHop(field.name)
            && !listedInConnection(connection, field.name))
            call.request.headers.add(field.name, field.value);
    }
    if (m_routes->requiresKeys()) {
        call.request.headers.remove(protocol.authorization);
        if (!m_customer.empty())
            call.request.headers.set(protocol.customer, m_customer);
    }
    call.request.headers.set(protocol.timeBudget, std::to_string(toMilliseconds(timeLeft())));
    call.request.headers.set(protocol.target, target.backend.value());
    if (m_prompt)
        call.request.headers.set(protocol.priority,
                                 std::to_string(std::min<std::uint32_t>(m_priority, 9)));
    if (m_route->kind == RouteKind::Stream && m_lastEventId)
        call.request.headers.set(protocol.lastEventId, std::to_string(*m_lastEventId));
    if (target.prefixSource)
        call.request.headers.set(protocol.prefixSource,
                                 target.prefixSource->host + ':'
                                     + std::to_string(target.prefixSource->port));
    if (m_prefilledPrompt)
        call.request.headers.set(protocol.kvSource,
                                 m_prefilledPrompt->address.host + ':'
                                     + std::to_string(m_prefilledPrompt->address.port) + '/'
                                     + m_prefilledPrompt->handle);
    call.echoedHeader = {protocol.requestId, m_id};
    call.connectTimeout = std::min<Duration>(ConnectTimeout, timeLeft());
    call.headTimeout = timeLeft() + std::chrono::seconds(1);
    call.silenceTimeout = call.headTimeout;
    // A pooled connection may be closed at the server's end already, and a request that may not run
    // twice can't be sent again.
    call.freshConnection = !m_route->repeatable() || wasSentTo(target.address);
    return call;
}

bool RelayedRequest::wasSentTo(const HttpAddress &address) const
{
    return std::find(m_sentTo.begin(), m_sentTo.end(), address) != m_sentTo.end();
}

asio::awaitable<RelayedRequest::AttemptResult> RelayedRequest::sendOnce(const SendTarget &target)
{
    Attempt attempt;
    attempt.target = target;
    attempt.exchange = m_state->client.exchange(makeCall(target));
    m_sentTo.push_back(target.address);
    attempt.sentAt = attempt.target.sentAt = RuntimeClock::now();
    m_exchange = attempt.exchange;
    m_backend = target.backend;
    m_softwareVersion = target.softwareVersion;
    ++m_sendCount;
    m_prefillsForSend = 0;
    const AttemptGuard guard(*this, attempt);
    noteSent(attempt);
    noteProgress();
    watchSilence();
    const std::error_code error = co_await attempt.exchange->open();
    m_silenceTimer.cancel();
    attempt.error = error;
    AttemptResult result = AttemptResult::MayHaveRun;
    if (!error) {
        result = co_await relay(attempt);
    } else if (!attempt.exchange->anyBytesWritten()) {
        result = AttemptResult::Unreached;
        --m_sendCount;
    }
    if (result != AttemptResult::Done && result != AttemptResult::MayHaveRun)
        attempt.exchange->cancel();
    if (result == AttemptResult::MayHaveRun) {
        attempt.exchange->cancel();
        m_verdict = Verdict::MayHaveRun;
    }
    if (result == AttemptResult::MayHaveRun || (result != AttemptResult::Done && m_callerGone))
        countUnanswered(attempt);
    if (isUncounted(result))
        --m_sendCount;
    m_exchange.reset();
    reportOutcome(attempt, result);
    const bool misdirected = result == AttemptResult::NotRun
        && attempt.exchange->status() == m_state->options.protocol.wrongTargetStatus;
    if (misdirected)
        m_state->table.noteMisdirected(target.backend, RuntimeClock::now());
    if (result == AttemptResult::NotRun && !misdirected && m_prefilledPrompt)
        m_state->table.noteKvTransferFailed(m_prefilledPrompt->prefillEngine, target.backend,
                                            RuntimeClock::now());
    if (result != AttemptResult::Unreached && !misdirected)
        m_prefilledPrompt.reset(); // Transferred, or lost with the failed attempt.
    if (result != AttemptResult::Done && !m_callerGone)
        logSendFailed(target, "send_failed", result, error, attempt.exchange->status(),
                      attempt.sentAt);
    co_return result;
}

asio::awaitable<RelayedRequest::AttemptResult>
RelayedRequest::prefillPrompt(const SendTarget &prefillEngine)
{
    const BackendProtocol &protocol = m_state->options.protocol;
    HttpCall call = makeCall(prefillEngine);
    // A prefill may be repeated: it does not run the request.
    call.freshConnection = wasSentTo(prefillEngine.address);
    call.request.headers.set(protocol.prefillOnly, protocol.prefillValue);
    call.maxBodyBytes = MaxPrefillAnswerBytes;
    Attempt attempt;
    attempt.target = prefillEngine;
    attempt.exchange = m_state->client.exchange(std::move(call));
    m_sentTo.push_back(prefillEngine.address);
    attempt.sentAt = RuntimeClock::now();
    m_exchange = attempt.exchange;
    m_backend = m_prefillEngine = prefillEngine.backend;
    ++m_prefillCount;
    ++m_prefillsForSend;
    m_prefilling = true;
    const AttemptGuard guard(*this, attempt);
    noteSent(attempt);
    noteProgress();
    watchSilence();
    std::error_code error = co_await attempt.exchange->open();
    AttemptResult result = AttemptResult::NotRun;
    if (!error) {
        noteHead(attempt);
        attempt.exchange->limitRest(PrefillBodyTimeout);
        const Result<std::string> body = co_await attempt.exchange->readAll();
        error = body.error();
        const std::string handle
            = body && attempt.exchange->status() == Ok ? protocol.handle(*body) : std::string();
        if (!handle.empty()) {
            m_prefilledPrompt = PrefilledPrompt{prefillEngine.backend, prefillEngine.address,
                                                handle, prefillEngine.softwareVersion};
            result = AttemptResult::Done;
        }
    } else if (!attempt.exchange->anyBytesWritten()) {
        result = AttemptResult::Unreached;
    }
    m_silenceTimer.cancel();
    m_prefilling = false;
    m_prefillTime += RuntimeClock::now() - attempt.sentAt;
    if (!error && attempt.exchange->status() == protocol.wrongTargetStatus)
        m_state->table.noteMisdirected(prefillEngine.backend, RuntimeClock::now());
    attempt.error = error;
    attempt.answered = result == AttemptResult::Done;
    if (attempt.answered)
        m_state->table.answered(attempt.target, RuntimeClock::now());
    else
        attempt.exchange->cancel();
    if (isUncounted(result))
        --m_prefillsForSend;
    m_exchange.reset();
    reportOutcome(attempt,
                  error && result == AttemptResult::NotRun ? AttemptResult::MayHaveRun : result);
    if (result == AttemptResult::Done && isOver()) {
        releasePrefilledPrompt();
        co_return AttemptResult::NotRun;
    }
    if (result != AttemptResult::Done && !m_callerGone)
        logSendFailed(prefillEngine, "read_failed", result, error, attempt.exchange->status(),
                      attempt.sentAt);
    co_return result;
}

/// Frees the KV cache of a prefilled prompt that will not be transferred.
void RelayedRequest::releasePrefilledPrompt()
{
    if (!m_prefilledPrompt)
        return;
    // An engine that asked to be sent nothing, or less, drops the KV cache itself after a while.
    if (!m_state->table.isHeld(m_prefilledPrompt->prefillEngine, RuntimeClock::now())
        && !m_state->table.isLimited(m_prefilledPrompt->prefillEngine))
        asio::co_spawn(m_state->executor,
                       m_state->freeHandle(m_prefilledPrompt->address, m_prefilledPrompt->handle),
                       asio::detached);
    m_prefilledPrompt.reset();
}

std::string_view RelayedRequest::toString(AttemptResult result)
{
    switch (result) {
    case AttemptResult::Done:
        return "done";
    case AttemptResult::NotRun:
        return "not_run";
    case AttemptResult::Unreached:
        return "unreached";
    case AttemptResult::MayHaveRun:
        break;
    }
    return "may_have_run";
}

void RelayedRequest::logSendFailed(const SendTarget &target, std::string_view event,
                                   AttemptResult result, const std::error_code &error,
                                   unsigned status, TimePoint sentAt) const
{
    logWarning(event,
               {{"request", m_id},
                {"what", hexadecimal(m_identity)},
                {"backend", target.backend.value()},
                {"step", toString(result)},
                {"error", error ? error.message() : "answer"},
                {"status", status},
                {"expected_ms", toMilliseconds(target.expectedWait)},
                {"after_ms", toMilliseconds(RuntimeClock::now() - sentAt)},
                {"expired", m_expired ? 1 : 0}});
}

void RelayedRequest::noteSent(Attempt &attempt)
{
    m_state->table.sent(attempt.target, m_prompt ? &*m_prompt : nullptr, attempt.sentAt);
    attempt.open = true;
    if (!m_customer.empty() && attempt.target.uncachedTokens > 0)
        m_state->options.usage.work(m_customer, attempt.target.uncachedTokens, attempt.sentAt);
}

void RelayedRequest::countBegun(TimePoint at)
{
    if (!m_customer.empty() && !std::exchange(m_isCounted, true))
        m_state->options.usage.begun(m_customer, at);
}

std::optional<TimePoint> RelayedRequest::uncountedSince() const
{
    // A stream is counted as its first event arrives, a call with the time of its send.
    const bool isCountedLater = !m_customer.empty() && !m_prompt && !m_isCounted && !m_ended;
    return isCountedLater ? std::optional(m_startedAt) : std::nullopt;
}

void RelayedRequest::countUnanswered(const Attempt &attempt)
{
    // A stream begins to run with its first token; before that it may wait in the engine's queue.
    const bool hasProbablyBegun
        = m_prompt ? attempt.exchange->status() == Ok : attempt.exchange->anyBytesWritten();
    if (hasProbablyBegun)
        countBegun(attempt.sentAt);
}

/// Ends an attempt whose result is not known because of an exception.
void RelayedRequest::abandon(Attempt &attempt)
{
    m_silenceTimer.cancel();
    attempt.exchange->cancel();
    m_exchange.reset();
    if (!m_prefilling && attempt.exchange->anyBytesWritten())
        m_verdict = Verdict::MayHaveRun;
    m_prefilling = false;
    attempt.open = false;
    m_state->table.ended(attempt.target, attempt.answered, SendOutcome::Abandoned,
                         RuntimeClock::now());
}

void RelayedRequest::reportOutcome(Attempt &attempt, AttemptResult result)
{
    attempt.open = false;
    const TimePoint now = RuntimeClock::now();
    SendOutcome outcome = SendOutcome::Served;
    if (m_callerGone || (m_expired && result != AttemptResult::Done))
        outcome = SendOutcome::Abandoned;
    else if (result == AttemptResult::NotRun)
        outcome = SendOutcome::Rejected;
    else if (result != AttemptResult::Done)
        outcome = SendOutcome::Failed;
    m_state->table.ended(attempt.target, attempt.answered, outcome, now);
    m_state->wakeWaiting(m_service);
    reportLostConnection(attempt);
    if (result == AttemptResult::Unreached)
        m_state->checkHealth(attempt.target.backend, m_service);
}

/// A server that ended the connection may have crashed, and the request may be the cause.
void RelayedRequest::reportLostConnection(const Attempt &attempt)
{
    if (isOver() || attempt.error != make_error_code(Error::ConnectionLost))
        return;
    if (!attempt.hasBegun && attempt.exchange->anyBytesWritten())
        ++m_lostSends;
    m_state->noteConnectionLost(attempt.target, m_service,
                                attempt.hasBegun ? CrashSuspects() : m_suspects);
}

/// A complete answer to the request clears it and the parts of its prompt.
void RelayedRequest::noteServed(const Attempt &attempt)
{
    std::vector<std::uint64_t> suspects{m_identity};
    if (m_prompt) {
        for (const PromptPart &part : m_prompt->parts)
            suspects.push_back(part.id);
    }
    m_state->noteServed(m_service, suspects, attempt.answeredAt);
}

// Relay

asio::awaitable<RelayedRequest::AttemptResult> RelayedRequest::relay(Attempt &attempt)
{
    const BackendProtocol &protocol = m_state->options.protocol;
    HttpExchange &exchange = *attempt.exchange;
    noteProgress();
    noteHead(attempt);
    if (exchange.status() == protocol.wrongTargetStatus
        || exchange.headers().contains(protocol.notRun))
        co_return AttemptResult::NotRun;
    const bool signedAnswer = exchange.headers().contains(protocol.signature);
    if (isSuccess(exchange.status()) && !signedAnswer)
        co_return AttemptResult::MayHaveRun;
    // Callers take these for a promise, which the server has not given.
    if (promisesNotRun(exchange.status()) && !signedAnswer && !m_route->repeatable())
        co_return AttemptResult::MayHaveRun;
    co_return co_await relayAnswer(attempt);
}

asio::awaitable<RelayedRequest::AttemptResult> RelayedRequest::relayAnswer(Attempt &attempt)
{
    const HttpExchange &exchange = *attempt.exchange;
    if (m_route->kind == RouteKind::Stream && exchange.status() == Ok && isEventStream(exchange))
        co_return co_await relayStream(attempt);
    co_return co_await relayWholeAnswer(attempt);
}

void RelayedRequest::noteHead(const Attempt &attempt)
{
    m_state->noteAnswerHead(attempt.target.backend, attempt.exchange->status(),
                            attempt.exchange->headers());
    m_state->noteLimit(attempt.target.backend, attempt.exchange->status(),
                       attempt.exchange->headers());
}

bool RelayedRequest::isEventStream(const HttpExchange &exchange) const
{
    return exchange.headers().find("Content-Type").starts_with("text/event-stream");
}

void RelayedRequest::noteAnswerWaits()
{
    m_state->metrics.answerRoomWaits.add();
    logWarning("answer_waits",
               {{"request", m_id},
                {"reason", "no_memory"},
                {"held_bytes", m_state->options.memory->heldBytes()}});
}

asio::awaitable<RelayedRequest::AttemptResult> RelayedRequest::relayWholeAnswer(Attempt &attempt)
{
    m_answerLease.reset();
    WholeAnswerOptions options{m_state->options.memory, MaxWholeAnswerBytes,
                               [this] { return isOver(); }, [this] { noteAnswerWaits(); }};
    Result<WholeAnswer> result = co_await readWholeAnswer(*attempt.exchange, std::move(options));
    attempt.error = result.error();
    if (!result)
        co_return AttemptResult::MayHaveRun;
    WholeAnswer answer = std::move(result).value();
    m_answerLease = std::move(answer.lease);
    markAnswered(attempt);
    if (!attempt.byHelper)
        countBegun(m_prompt ? attempt.answeredAt : attempt.sentAt);
    HttpResponse response = callerResponseHead(*attempt.exchange);
    response.body = std::move(answer.body);
    const bool failure = response.status >= 500;
    // A started stream can't continue with an answer of another kind.
    if (m_writer->started())
        co_return AttemptResult::MayHaveRun;
    if (failure && !attempt.byHelper && m_route->repeatable() && m_sendCount < maxAttempts()
        && !isOver()) {
        m_backendFailure = std::move(response);
        co_return AttemptResult::MayHaveRun;
    }
    if (isSuccess(response.status))
        noteServed(attempt);
    m_state->metrics.served.add();
    m_verdict = Verdict::Complete;
    addHandOverHeaders(response, Verdict::Complete);
    logOutcome("request_answered", response.status, "whole");
    co_await m_writer->send(std::move(response));
    co_return AttemptResult::Done;
}

asio::awaitable<RelayedRequest::AttemptResult> RelayedRequest::relayStream(Attempt &attempt)
{
    EventAssembler events(m_lastEventId);
    HttpExchange &exchange = *attempt.exchange;
    for (;;) {
        if (!attempt.byHelper)
            watchSilence();
        const Result<std::string_view> piece = co_await exchange.readPiece();
        m_silenceTimer.cancel();
        attempt.error = piece.error();
        if (!piece)
            co_return AttemptResult::MayHaveRun;
        if (piece->empty())
            break;
        noteProgress();
        m_state->table.noteContact(attempt.target.backend, m_progressAt);
        const std::string whole = events.feed(*piece);
        attempt.hasBegun = events.hasEvents();
        m_lastEventId = events.lastId();
        if (!whole.empty() && !co_await deliverEvents(attempt, whole))
            co_return AttemptResult::Done;
        if (events.overflowed() || events.malformed())
            co_return AttemptResult::MayHaveRun;
    }
    // Nothing shows that a stream without a length and without events is complete.
    if (events.insideEvent() || (!events.hasEvents() && !isDelimited(exchange))) {
        if (!isDelimited(exchange))
            attempt.error = make_error_code(Error::ConnectionLost);
        co_return AttemptResult::MayHaveRun;
    }
    const std::string comments = events.takePartial();
    if ((!comments.empty() || !m_writer->started()) && !co_await deliverEvents(attempt, comments))
        co_return AttemptResult::Done;
    noteServed(attempt);
    m_state->metrics.served.add();
    m_verdict = Verdict::Complete;
    logOutcome("request_answered", Ok, "stream");
    co_await m_writer->finishStream();
    co_return AttemptResult::Done;
}

/// Sends whole events to the caller; false when the caller's connection failed.
asio::awaitable<bool> RelayedRequest::deliverEvents(Attempt &attempt, std::string_view events)
{
    std::error_code error;
    markAnswered(attempt);
    if (attempt.hasBegun && !attempt.byHelper)
        countBegun(attempt.answeredAt);
    noteBegun(attempt);
    if (!m_writer->started()) {
        m_state->metrics.firstEventTime.record(
            std::chrono::duration<double>(RuntimeClock::now() - m_startedAt).count());
        HttpResponse head = callerResponseHead(*attempt.exchange);
        addHandOverHeaders(head, Verdict::Complete);
        error = co_await m_writer->startStream(std::move(head));
    }
    if (!error)
        error = co_await m_writer->writePiece(events);
    if (!error)
        co_return true;
    m_callerGone = true;
    attempt.exchange->cancel();
    co_return false;
}

void RelayedRequest::noteBegun(const Attempt &attempt)
{
    if (!attempt.hasBegun || m_originNoted)
        return;
    m_originNoted = true;
    const bool isCertain = attempt.byHelper || m_state->table.isVersionCertain(attempt.target);
    if (!m_origin) {
        m_origin = StreamOrigin{m_service, attempt.target.softwareVersion};
        // An instance that took the request over names the version only if it is certain.
        if (!isCertain && hasOtherVersions())
            m_origin->version.clear();
    }
    // A caller may take a stream of this route up at an instance that does not know its origin.
    const OriginEvidence own = m_state->versionEvidence(m_service);
    const bool tellOthers
        = m_route->repeatable() && (m_route->shares.size() > 1 || !hasOneVersion(own));
    const RecordKeepers keepers
        = hasOtherVersions() ? RecordKeepers::EntriesAndRegistry : RecordKeepers::Entries;
    m_state->origins.noteBegun(streamRecordKey(m_customer, m_resumes.empty() ? m_id : m_resumes),
                               *m_origin, tellOthers ? keepers : RecordKeepers::None,
                               m_route->repeatable() && isCertain && !hasOtherVersions());
}

void RelayedRequest::markAnswered(Attempt &attempt)
{
    if (attempt.answered)
        return;
    attempt.answered = true;
    const TimePoint now = RuntimeClock::now();
    attempt.answeredAt = now;
    if (!m_firstEventAt)
        m_firstEventAt = now;
    m_state->table.answered(attempt.target, now);
}

HttpResponse RelayedRequest::callerResponseHead(const HttpExchange &exchange) const
{
    HttpResponse head;
    head.status = exchange.status();
    const std::string_view connection = exchange.headers().find("Connection");
    for (const HttpHeader &field : exchange.headers().fields()) {
        if (!isHopByHop(field.name) && !listedInConnection(connection, field.name)
            && !isInstanceHeader(field.name))
            head.headers.add(field.name, field.value);
    }
    return head;
}

// Final answers

/// Sends the final answer of a request that is given up; a refusal only if no backend server can
/// have run it.
asio::awaitable<void> RelayedRequest::fail()
{
    if (m_callerGone)
        co_return;
    if (m_writer->started()) {
        // Closes the connection without the last chunk, so that the caller detects the broken
        // stream.
        m_state->metrics.failed.add();
        logOutcome("stream_broken", Ok, m_expired ? "deadline" : "backend_failed");
        co_return;
    }
    if (m_backendFailure) {
        m_state->metrics.served.add();
        m_verdict = Verdict::Complete;
        addHandOverHeaders(*m_backendFailure, Verdict::Complete);
        logOutcome("request_answered", m_backendFailure->status, "backend_failure");
        co_await m_writer->send(std::move(*m_backendFailure));
        co_return;
    }
    if (m_verdict == Verdict::NotRun)
        co_return co_await refuse(m_expired ? "deadline" : "backends_full");
    if (m_expired || timeLeft() < MinTimeLeftForSend)
        co_return co_await answerLocally(504, "deadline");
    co_await answerLocally(502, "backend_failed");
}

/// Ends a request that crashes backend servers, or a part of whose prompt does.
asio::awaitable<void> RelayedRequest::refusePart(const BlamedPart &blamedPart)
{
    m_state->metrics.blamedRefusals.add();
    if (m_verdict != Verdict::NotRun || m_writer->started())
        co_return co_await fail();
    const Duration untilTrial = m_state->crashes->timeToTrial(blamedPart, RuntimeClock::now());
    co_await answerLocally(
        503, blamedPart.isRequest ? "request_crashes_servers" : "part_crashes_servers",
        std::max<Duration>(untilTrial, retryAfter()));
}

/// Sends the final answer after an exception, if none has started.
asio::awaitable<void> RelayedRequest::failAfterException(std::string_view what)
{
    logError("request_exception", {{"request", m_id}, {"error", what}});
    if (m_callerGone || m_ended)
        co_return;
    if (m_writer->started()) {
        m_state->metrics.failed.add();
        logOutcome("stream_broken", Ok, "internal_error");
        co_return;
    }
    if (m_verdict == Verdict::NotRun)
        co_return co_await refuse("internal_error");
    co_await answerLocally(502, "internal_error");
}

asio::awaitable<void> RelayedRequest::refuse(std::string_view reason)
{
    const std::optional<Duration> atLimit = m_state->takeReturnTime(m_service);
    if (!atLimit)
        co_return co_await answerLocally(503, reason, retryAfter());
    m_state->metrics.limitRefusals.add();
    co_await answerLocally(503, "servers_at_limit", *atLimit);
}

/// Retry-After, randomised so that callers return spread over a part of their remaining time.
Duration RelayedRequest::retryAfter() const
{
    Duration longest
        = std::min<Duration>(timeLeft() / RetryAfterTimeLeftDivisor, LongestRetryAfter);
    // No backend server may be sent requests before.
    const std::optional<Duration> held = m_state->table.holdLeft(m_service, RuntimeClock::now());
    if (held)
        return *held + std::chrono::duration_cast<Duration>(longest * m_state->uniformRandom());
    if (m_helperRetryAfter)
        return *m_helperRetryAfter;
    if (m_returnAfter)
        return *m_returnAfter;
    // The backlog that caused the refusal has to be processed first.
    if (m_refusedWait > Duration::zero())
        longest = std::min<Duration>(timeLeft() / RetryAfterLongWaitDivisor, m_refusedWait);
    const double jitter = 0.5 + 0.5 * m_state->uniformRandom();
    return std::chrono::duration_cast<Duration>(longest * jitter);
}

void RelayedRequest::logOutcome(std::string_view event, unsigned status, std::string_view reason)
{
    const TimePoint now = RuntimeClock::now();
    const Duration took = now - m_startedAt;
    if (m_verdict == Verdict::Complete)
        m_state->metrics.answerTime.record(std::chrono::duration<double>(took).count());
    logInfo(event,
            {{"request", m_id},
             {"what", hexadecimal(m_identity)},
             {"route", m_route ? std::string_view(m_route->name) : std::string_view()},
             {"customer", m_customer},
             {"service", m_service},
             {"backend", m_backend.value()},
             {"handed_to", m_helper.value()},
             {"taken_over", m_source == RequestSource::Instance ? 1 : 0},
             {"version", m_softwareVersion},
             {"resumes", m_resumes},
             {"after_event", m_resumedAfter ? static_cast<std::int64_t>(*m_resumedAfter) : -1},
             {"status", status},
             {"reason", reason},
             {"verdict", gentianramp::toString(m_verdict)},
             {"reads", m_prefillCount},
             {"reader", m_prefillEngine.value()},
             {"read_ms", m_prefillCount > 0 ? toMilliseconds(m_prefillTime) : -1},
             {"sends", m_sendCount},
             {"first_ms", m_firstEventAt ? toMilliseconds(*m_firstEventAt - m_startedAt) : -1},
             {"total_ms", toMilliseconds(took)},
             {"waited_ms", toMilliseconds(m_waitedTime)},
             {"left_ms", m_route ? toMilliseconds(timeLeft()) : -1},
             {"declaration", declarationNumber()},
             {"other_declaration", m_otherDeclaration.value_or(0)},
             {"declaration_age_ms", ageMs(m_state->options.declarationAge())},
             {"expected_ms", toMilliseconds(m_lastExpectedWait)},
             {"list_age_ms", ageMs(m_state->options.listingAge())}});
}

// Time and the caller

Duration RelayedRequest::timeLeft() const
{
    return std::max<Duration>(m_deadline - RuntimeClock::now(), Duration::zero());
}

void RelayedRequest::startDeadline()
{
    m_deadlineTimer.expires_at(m_deadline);
    m_deadlineTimer.async_wait(
        [weak = weak_from_this()](const boost::system::error_code &cancelled) {
            const auto self = weak.lock();
            if (!cancelled && self)
                self->expire();
        });
}

void RelayedRequest::expire()
{
    if (m_ended)
        return;
    m_expired = true;
    wake();
    if (m_exchange)
        m_exchange->cancel();
}

void RelayedRequest::onCallerGone()
{
    if (m_ended)
        return;
    m_callerGone = true;
    wake();
    if (m_exchange)
        m_exchange->cancel();
}

/// Starts a health check when the backend server sends nothing. If the check fails, a repeatable
/// request is cancelled there and sent to another server, if there is one.
void RelayedRequest::watchSilence()
{
    m_silenceTimer.expires_after(SilenceCheckInterval);
    m_silenceTimer.async_wait(
        [weak = weak_from_this()](const boost::system::error_code &cancelled) {
            const auto self = weak.lock();
            if (cancelled || !self || self->m_ended || !self->m_exchange)
                return;
            const TimePoint now = RuntimeClock::now();
            const auto silence = self->m_state->table.timeSinceContact(self->m_backend, now);
            const bool quiet = now - self->m_progressAt >= SilenceBeforeHealthCheck
                && (!silence || *silence >= SilenceBeforeHealthCheck);
            if (quiet) {
                if (self->m_state->table.isSilent(self->m_backend) && self->leavesSilentServer())
                    return self->m_exchange->cancel();
                self->m_state->checkHealth(self->m_backend, self->m_service);
            }
            self->watchSilence();
        });
}

/// Decides whether the request leaves a silent server, which may go on a moment later. It stays
/// unless it may be sent again and another server can take it; the repeats are taken then.
bool RelayedRequest::leavesSilentServer()
{
    if (!m_route->repeatable() || !mayRepeat(AttemptResult::MayHaveRun))
        return false;
    if (m_prefilling && m_prefillsForSend >= MaxPrefillAttempts)
        return keepSilentServer("prefilled_twice");
    std::vector<BackendId> excluded = m_tried;
    excluded.push_back(m_backend);
    PlacementQuery query = placementQuery();
    query.excluded = excluded;
    if (!m_state->table.canPlace(query, RuntimeClock::now()))
        return keepSilentServer("no_other_server");
    // The KV cache of a prefilled prompt is lost with the attempt.
    const bool needsSecondPrefill = !m_prefilling && m_prefillCount > 0;
    if (m_repeatRefused || !takeRepeats(needsSecondPrefill ? 2 : 1)) {
        m_repeatRefused = true;
        return keepSilentServer("no_repeat");
    }
    m_repeatsTaken = true;
    logInfo("silent_server_left",
            {{"request", m_id}, {"backend", m_backend.value()}, {"sends", m_sendCount}});
    return true;
}

bool RelayedRequest::keepSilentServer(std::string_view reason)
{
    if (!std::exchange(m_keepsSilent, true))
        logInfo("silent_server_kept",
                {{"request", m_id}, {"backend", m_backend.value()}, {"reason", reason}});
    return false;
}

} // namespace gentianramp
