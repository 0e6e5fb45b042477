#include "relay_state.hpp"

#include "forwarded_headers.hpp"
#include "relayed_request.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gentianramp/core/log.hpp>
#include <gentianramp/relay/retry_after.hpp>

namespace gentianramp {

namespace asio = boost::asio;

namespace {

/// Longer header values are cut off in log lines.
constexpr std::size_t MaxLoggedValue = 64;
constexpr unsigned Ok = 200;
constexpr unsigned ServiceUnavailable = 503;
/// Engines answer health checks without using a slot, within a few milliseconds.
constexpr Duration HealthCheckTimeout = std::chrono::milliseconds(250);
constexpr Duration FreeHandleTimeout = std::chrono::milliseconds(500);
/// Answers that are not passed on to callers.
constexpr std::size_t MaxStatusBytes = 1024 * 1024;
/// Interval between health checks of a silent backend server, until it answers or is no longer
/// listed.
constexpr Duration HealthCheckInterval = std::chrono::milliseconds(500);
/// Pooled connections are closed after this time, which is below the shortest idle time-out of
/// backend servers.
constexpr Duration MaxIdleAge = std::chrono::seconds(4);

/// Bounds of the times after which callers may return to servers that are at their limits.
constexpr Duration LongestReturnTime = std::chrono::seconds(30);
constexpr double SmallestReturnRate = 1;
/// Interval between health checks while it is not known whether the server crashed: a crashing
/// server may accept one more connection.
constexpr Duration CrashCheckInterval = std::chrono::milliseconds(50);
constexpr Duration BlameInterval = std::chrono::milliseconds(50);
/// An older trial was granted to an earlier process of this instance.
constexpr Duration MaxTrialAge = std::chrono::seconds(10);
/// A trial of a blamed part is granted to an instance that refused a request with it this lately.
constexpr Duration RefusedPartRetention = std::chrono::seconds(2);
constexpr int StreamAttempts = 2;
/// A server that was not heard for this time is checked while many others are silent.
constexpr Duration QuietBeforeReachCheck = std::chrono::milliseconds(450);
constexpr std::size_t ReachChecksAtOnce = 16;
/// Another server answers within this time unless this instance is cut off.
constexpr Duration HeldCrashTime = std::chrono::seconds(2);

HttpClientOptions clientOptions()
{
    HttpClientOptions options;
    options.maxIdleAge = MaxIdleAge;
    options.maxIdlePerAddress = 8;
    return options;
}

} // namespace

RelayMetrics::RelayMetrics(MetricsRegistry &registry)
    : requests(registry.counter("gentianramp_relay_requests_total", "Requests read"))
    , served(registry.counter("gentianramp_relay_served_total", "Answers of backend servers"))
    , refused(registry.counter("gentianramp_relay_refused_total", "Refused, not run"))
    , failed(registry.counter("gentianramp_relay_failed_total", "Failed, may have run"))
    , repeats(registry.counter("gentianramp_relay_repeats_total", "Sent again"))
    , resumes(registry.counter("gentianramp_relay_resumes_total", "Streams gone on with"))
    , callersGone(registry.counter("gentianramp_relay_callers_gone_total", "Callers that left"))
    , crashes(
          registry.counter("gentianramp_relay_crashes_total", "Crashes of backend servers seen"))
    , answerRoomWaits(registry.counter("gentianramp_relay_answer_room_waits_total",
                                       "Answers that waited for memory"))
    , blamedRefusals(registry.counter("gentianramp_relay_blamed_refusals_total",
                                      "Refused for a prompt part that crashes backend servers"))
    , limitRefusals(registry.counter("gentianramp_relay_limit_refusals_total",
                                     "Refused because backend servers are at their limits"))
    , originRefusals(registry.counter("gentianramp_relay_origin_refusals_total",
                                      "Streams not gone on with for their software version"))
    , unknownKeys(registry.counter("gentianramp_relay_unknown_keys_total",
                                   "Refused because no customer holds the key"))
    , admissionWaits(registry.counter("gentianramp_relay_admission_waits_total",
                                      "Requests that waited here while servers were short"))
    , admissionRefusals(registry.counter("gentianramp_relay_admission_refusals_total",
                                         "Refused because servers are short"))
    , handedOver(registry.counter("gentianramp_relay_handed_over_total",
                                  "Requests handed over to other instances"))
    , handOversFailed(registry.counter("gentianramp_relay_hand_overs_failed_total",
                                       "Requests that an instance did not take over"))
    , handOversOtherDeclaration(
          registry.counter("gentianramp_relay_hand_overs_other_declaration_total",
                           "Hand-overs to instances with another declaration, not taken"))
    , declarationsFetched(registry.counter("gentianramp_relay_declarations_fetched_total",
                                           "Newer declarations fetched from other instances"))
    , takenOver(registry.counter("gentianramp_relay_taken_over_total",
                                 "Requests taken over from other instances"))
    , firstEventTime(registry.latency("gentianramp_relay_first_event_seconds",
                                      "From the request to its answer's first event"))
    , answerTime(
          registry.latency("gentianramp_relay_answer_seconds", "From the request to its end"))
{ }

RelayState::RelayState(asio::any_io_executor ioExecutor, RelayOptions relayOptions)
    : executor(std::move(ioExecutor))
    , options(std::move(relayOptions))
    , ownMetrics(options.metrics ? nullptr : std::make_unique<MetricsRegistry>())
    , metrics(options.metrics ? *options.metrics : *ownMetrics)
    , client(clientOptions())
    , table({.dataCentre = options.dataCentre,
             .seed = options.seed,
             .versionSettleTime = options.versionSettleTime,
             .listingLag = options.listingLag})
    , origins(
          options.peers, [this](const std::string &service) { return versionEvidence(service); },
          [this](const std::string &service) {
              return table.versions().recent(service, RuntimeClock::now()).size() > 1;
          },
          options.metrics ? *options.metrics : *ownMetrics)
    , declarations(
          executor, client, options.peers, [this] { return declarationNumber(); },
          metrics.declarationsFetched)
    , crashes(options.crashes ? options.crashes : std::make_shared<CrashEvidence>())
    , random(options.seed)
{
    if (!options.memory)
        options.memory = std::make_shared<MemoryBudget>();
}

std::uint64_t RelayState::declarationNumber() const
{
    return routes ? routes->declaration().number : 0;
}

bool RelayState::declarationIsConfirmed() const
{
    const std::optional<Duration> age = options.declarationAge();
    return age && *age <= options.maxDeclarationAge;
}

OriginEvidence RelayState::versionEvidence(const std::string &service) const
{
    const TimePoint now = RuntimeClock::now();
    const VersionHistory &versions = table.versions();
    OriginEvidence evidence;
    evidence.versions = versions.mayHaveBegun(service, now);
    evidence.isComplete = versions.isComplete(now);
    evidence.isFresh = now - table.listingReadAt() <= versions.settleTime() / 2
        && versions.recent(service, now).size() == evidence.versions.size();
    return evidence;
}

RetryAllowance &RelayState::allowance(const std::string &service)
{
    return allowances.try_emplace(service, options.retries).first->second;
}

ReportedDemand RelayState::demand(TimePoint now) const
{
    ReportedDemand demand;
    if (!table.knowsLimits())
        return demand;
    demand.reportedAt = now;
    for (const auto &[service, meter] : arrivals)
        demand.perSecond[service] = meter.perSecond(now);
    demand.holdings = table.limitHoldings(now);
    return demand;
}

std::optional<Duration> RelayState::takeReturnTime(const std::string &service)
{
    const TimePoint now = RuntimeClock::now();
    const std::optional<BackendTable::LimitWait> wait = table.limitWait(service, now);
    if (!wait)
        return std::nullopt;
    TimePoint &promised = promisedUntil[service];
    const TimePoint returnAt = std::min<TimePoint>(
        std::max<TimePoint>(promised, now + wait->untilNext), now + LongestReturnTime);
    const double interval = 1 / std::max(wait->perSecond, SmallestReturnRate);
    promised
        = returnAt + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(interval));
    return returnAt - now;
}

double RelayState::uniformRandom()
{
    return std::uniform_real_distribution<double>(0, 1)(random);
}

void RelayState::wakeWaiting(const std::string &service)
{
    const auto queue = waiting.find(service);
    if (queue == waiting.end())
        return;
    for (const WaitNumber number : queue->second.first(WaitingLookAhead)) {
        const auto request = waitingByNumber.find(number);
        if (request != waitingByNumber.end())
            request->second->wake();
    }
}

void RelayState::wakeAllWaiting()
{
    for (const auto &[number, request] : waitingByNumber)
        request->wake();
}

void RelayState::noteAnswerHead(const BackendId &backend, unsigned status,
                                const HttpHeaders &headers)
{
    const BackendProtocol &protocol = options.protocol;
    const TimePoint now = RuntimeClock::now();
    table.noteContact(backend, now);
    reviewHeldCrashes();
    noteLeaving(backend, headers);
    if (status == ServiceUnavailable && headers.contains("Retry-After")) {
        const std::string_view value = headers.find("Retry-After").substr(0, MaxLoggedValue);
        const Result<Duration> time = parseRetryAfter(value);
        if (time)
            table.noteHold(backend, *time, now);
        else
            logWarning("backend_header_ignored",
                       {{"backend", backend.value()},
                        {"header", "Retry-After"},
                        {"value", value},
                        {"reason", time.message()}});
    }
    if (protocol.parseLoad && headers.contains(protocol.load)) {
        if (const auto load = protocol.parseLoad(headers.find(protocol.load)))
            table.noteLoad(backend, *load, now);
    }
}

void RelayState::noteLeaving(const BackendId &backend, const HttpHeaders &headers)
{
    const BackendProtocol &protocol = options.protocol;
    if (protocol.leaving.empty() || !headers.contains(protocol.leaving))
        return;
    if (headers.find(protocol.leaving) == protocol.leavingValue)
        table.noteLeaving(backend);
    else
        logWarning("backend_header_ignored",
                   {{"backend", backend.value()},
                    {"header", protocol.leaving},
                    {"value", headers.find(protocol.leaving).substr(0, MaxLoggedValue)}});
}

void RelayState::notePassedOn(const BackendId &backend, unsigned status, const HttpHeaders &headers)
{
    noteLeaving(backend, headers);
    noteLimit(backend, status, headers);
}

void RelayState::noteLimit(const BackendId &backend, unsigned status, const HttpHeaders &headers)
{
    const BackendProtocol &protocol = options.protocol;
    const TimePoint now = RuntimeClock::now();
    // The server that answers 421 is another one, which holds the address now.
    if (!protocol.parseLimit || status == protocol.wrongTargetStatus)
        return;
    if (!headers.contains(protocol.limit)) {
        // Only answers of a server that does its work show that it names no limit any more.
        if (status == Ok)
            table.noteLimit(backend, std::nullopt, now);
        return;
    }
    const std::string_view value = headers.find(protocol.limit).substr(0, MaxLoggedValue);
    const Result<double> perSecond = protocol.parseLimit(value);
    if (perSecond)
        table.noteLimit(backend, *perSecond, now);
    else
        logWarning("backend_header_ignored",
                   {{"backend", backend.value()},
                    {"header", protocol.limit},
                    {"value", value},
                    {"reason", perSecond.message()}});
}

void RelayState::noteConnectionLost(const SendTarget &target, const std::string &service,
                                    const CrashSuspects &unanswered)
{
    table.noteConnectionLost(target.backend, RuntimeClock::now());
    table.noteSendLost(target, RuntimeClock::now());
    reviewHeldCrashes();
    const std::optional<ServerCrash> crash = crashWatch.noteLost(
        target.backend, target.startedAtMs, service, unanswered, RuntimeClock::now());
    if (crash)
        noteCrash(*crash);
    else
        checkHealth(target.backend, service);
}

void RelayState::noteCrash(const ServerCrash &crash)
{
    if (table.isOwnLoss(crash.server, crash.crashedAt))
        return believeCrash(crash);
    // A crash is noted once more with each request that it broke.
    std::erase_if(heldCrashes, [&](const ServerCrash &held) {
        return held.server == crash.server && held.startedAtMs == crash.startedAtMs;
    });
    heldCrashes.push_back(crash);
    if (const auto other = table.lastHeard(crash.server, RuntimeClock::now()))
        checkHealth(other->first, other->second);
}

void RelayState::reviewHeldCrashes()
{
    if (heldCrashes.empty())
        return;
    const TimePoint now = RuntimeClock::now();
    std::vector<ServerCrash> held = std::exchange(heldCrashes, {});
    for (ServerCrash &crash : held) {
        if (table.isOwnLoss(crash.server, crash.crashedAt))
            believeCrash(crash);
        else if (now - crash.crashedAt < HeldCrashTime)
            heldCrashes.push_back(std::move(crash));
        else
            logWarning("crash_not_believed",
                       {{"backend", crash.server.value()},
                        {"service", crash.service},
                        {"after_ms", toMilliseconds(now - crash.crashedAt)}});
    }
}

void RelayState::believeCrash(const ServerCrash &crash)
{
    const std::size_t known = crashes->crashCount();
    const TimePoint now = RuntimeClock::now();
    crashes->addCrash(crash, now);
    if (crashes->crashCount() == known)
        return;
    metrics.crashes.add();
    logWarning("server_crashed",
               {{"backend", crash.server.value()},
                {"service", crash.service},
                {"suspects", crash.parts.size()},
                {"after_ms", toMilliseconds(now - crash.crashedAt)},
                {"known_crashes", crashes->crashCount()}});
}

void RelayState::noteServed(const std::string &service, std::span<const std::uint64_t> suspects,
                            TimePoint beganAt)
{
    crashes->noteServed(service, suspects, beganAt, RuntimeClock::now());
}

const std::vector<BlamedPart> &RelayState::blamedParts()
{
    const TimePoint now = RuntimeClock::now();
    if (now - blameUpdatedAt < BlameInterval)
        return currentBlame;
    blameUpdatedAt = now;
    crashes->expire(now);
    currentBlame = crashes->blamed(now);
    return currentBlame;
}

bool RelayState::mayTry(std::uint64_t part) const
{
    const TimePoint now = RuntimeClock::now();
    const std::optional<PartTrial> trial = crashes->lastTrial(part);
    const auto used = trialsUsed.find(part);
    return trial && trial->instance == options.instance && now - trial->grantedAt <= MaxTrialAge
        && (used == trialsUsed.end() || trial->grantedAt > used->second);
}

CrashAdmission RelayState::admit(const CrashSuspects &suspects)
{
    CrashAdmission admission;
    if (crashes->crashCount() == 0)
        return admission;
    const TimePoint now = RuntimeClock::now();
    std::vector<std::uint64_t> tried;
    for (const BlamedPart &blamedPart : blamedParts()) {
        if (!suspects.contains(blamedPart.part))
            continue;
        if (mayTry(blamedPart.part)) {
            tried.push_back(blamedPart.part);
            continue;
        }
        partRefusedAt[blamedPart.part] = now;
        admission.refusedFor = blamedPart;
    }
    if (admission.refusedFor)
        return admission;
    for (const std::uint64_t part : tried) {
        trialsUsed[part] = crashes->lastTrial(part)->grantedAt;
        crashes->useTrial(part);
    }
    admission.isTrial = !tried.empty();
    return admission;
}

bool RelayState::wasAtEarlierCrash(const CrashSuspects &suspects) const
{
    const TimePoint now = RuntimeClock::now();
    return std::any_of(suspects.begin(), suspects.end(), [&](const auto &suspect) {
        return suspect.second.position != WholeRequest && crashes->isUnanswered(suspect.first, now);
    });
}

void RelayState::checkHealth(const BackendId &backend, const std::string &service)
{
    if (!routes || table.isHeld(backend, RuntimeClock::now())
        || !pendingHealthChecks.insert(backend).second)
        return;
    const DeclaredService *declared = routes->service(service);
    const std::string path = declared && !declared->engine && !declared->healthPath.empty()
        ? declared->healthPath
        : options.protocol.reportPath;
    asio::co_spawn(executor, checkUntilAnswered(backend, path), asio::detached);
}

asio::awaitable<void> RelayState::checkUntilAnswered(BackendId backend, std::string path)
{
    const auto self = shared_from_this();
    while (const std::optional<HttpAddress> address = table.addressOf(backend)) {
        HttpCall call;
        call.address = *address;
        call.request.target = path;
        call.connectTimeout = HealthCheckTimeout;
        call.headTimeout = HealthCheckTimeout;
        call.silenceTimeout = HealthCheckTimeout;
        call.totalTimeout = 2 * HealthCheckTimeout;
        call.maxBodyBytes = MaxStatusBytes;
        call.freshConnection = true;
        if (!table.takeAllowance(backend, RuntimeClock::now())) {
            co_await sleepFor(HealthCheckInterval);
            continue;
        }
        // The server may have asked for a pause in an answer to a request.
        if (table.isHeld(backend, RuntimeClock::now()))
            break;
        const std::shared_ptr<HttpExchange> check = client.exchange(std::move(call));
        const std::error_code error = co_await check->open();
        Result<std::string> body(error);
        if (!error)
            body = co_await check->readAll();
        const bool answered = static_cast<bool>(body);
        // Any answer shows that the process runs; a full server may refuse the health check.
        table.noteSilent(backend, !answered, RuntimeClock::now());
        if (answered) {
            crashWatch.noteAnswered(backend);
            noteAnswerHead(backend, check->status(), check->headers());
            if (const auto startMs
                = path == options.protocol.reportPath && options.protocol.reportedStartMs
                    ? options.protocol.reportedStartMs(*body)
                    : std::nullopt)
                table.noteReportedStart(backend, *startMs);
            break;
        }
        if (check->refusedByPeer()) {
            table.noteConnectionLost(backend, RuntimeClock::now());
            if (const auto crash = crashWatch.noteRefused(backend, RuntimeClock::now()))
                noteCrash(*crash);
        }
        const bool mayHaveCrashed = crashWatch.isUndecided(backend, RuntimeClock::now());
        co_await sleepFor(mayHaveCrashed ? CrashCheckInterval : HealthCheckInterval);
    }
    pendingHealthChecks.erase(backend);
}

asio::awaitable<void> RelayState::freeHandle(HttpAddress address, std::string handle)
{
    const auto self = shared_from_this();
    HttpCall call;
    call.address = std::move(address);
    call.request = options.protocol.freeHandle(handle);
    call.connectTimeout = call.headTimeout = call.silenceTimeout = FreeHandleTimeout;
    call.totalTimeout = 2 * FreeHandleTimeout;
    call.maxBodyBytes = MaxStatusBytes;
    const Result<HttpResponse> answer = co_await client.request(std::move(call));
    if (!answer)
        logWarning("handle_not_freed", {{"error", answer.error().message()}});
}

RelayService::RelayService(asio::any_io_executor executor, RelayOptions options)
    : m_state(std::make_shared<RelayState>(std::move(executor), std::move(options)))
{ }

RelayService::~RelayService() = default;

void RelayService::publish(Declaration declaration)
{
    if (m_state->routes && declaration.number < m_state->routes->declaration().number)
        return;
    for (const DeclaredService &service : declaration.services)
        m_state->table.setService(service);
    // A caller may take a stream up again at the end of its first attempt, for as long once more.
    Duration longest{};
    for (const Route &route : declaration.routes) {
        if (route.kind == RouteKind::Stream)
            longest = std::max(longest, route.timeout);
    }
    m_state->table.setStreamLifetime(StreamAttempts * longest);
    m_state->origins.setStreamLifetime(StreamAttempts * longest);
    m_state->routes = std::make_shared<const RouteTable>(std::move(declaration));
}

void RelayService::publish(const BackendListing &listing)
{
    m_state->table.publish(listing);
    const auto isListed = [&](const ServerCrash &crash) {
        return std::any_of(
            listing.servers.begin(), listing.servers.end(), [&](const ListedServer &server) {
                return server.id == crash.server && server.startedAtMs == crash.startedAtMs;
            });
    };
    for (const ServerCrash &crash : m_state->crashWatch.takeGone(isListed, RuntimeClock::now()))
        m_state->noteCrash(crash);
    m_state->hasListing = true;
}

void RelayService::publish(const VersionReport &versions)
{
    m_state->table.publish(versions);
}

bool RelayService::knowsVersions() const
{
    return m_state->table.versions().isComplete(RuntimeClock::now());
}

void RelayService::confirmListing(TimePoint readAt)
{
    m_state->table.confirmListing(readAt);
}

void RelayService::resendPeerMessages(TimePoint now)
{
    m_state->origins.resend(now);
}

void RelayService::onPeerMessage(const InstanceId &sender, std::string_view payload)
{
    m_state->origins.onMessage(sender, payload);
}

void RelayService::publish(const LoadReports &loads)
{
    for (const ReportedLoad &load : loads.engines)
        if (m_state->table.noteReport(load, loads.takenAt))
            m_state->checkHealth(load.engine, {});
    for (const auto &[service, queue] : m_state->waiting)
        m_state->wakeWaiting(service);
}

void RelayService::publish(const CrashReports &reports)
{
    const TimePoint now = RuntimeClock::now();
    m_state->crashes->merge(reports, now);
    for (const ServerCrash &crash : reports.crashes) {
        const auto own = m_state->crashWatch.noteCrashed(crash.server, crash.startedAtMs, now);
        if (own)
            m_state->crashes->addCrash(*own, now);
    }
}

void RelayService::publish(const LimitTable &table)
{
    m_state->table.publish(table, RuntimeClock::now());
}

std::vector<RequestLimit> RelayService::takeStatedLimits(TimePoint now)
{
    m_state->table.expireLimits(now);
    return m_state->table.statedLimits(now);
}

ReportedDemand RelayService::demand(TimePoint now) const
{
    return m_state->demand(now);
}

std::vector<std::uint64_t> RelayService::refusedParts(TimePoint now) const
{
    std::erase_if(m_state->partRefusedAt,
                  [&](const auto &entry) { return now - entry.second > RefusedPartRetention; });
    std::vector<std::uint64_t> parts;
    for (const auto &[part, refusedAt] : m_state->partRefusedAt)
        parts.push_back(part);
    return parts;
}

void RelayService::setInstances(std::uint32_t instances)
{
    m_state->instances = instances;
    m_state->table.setInstances(instances);
}

void RelayService::setShutdownDeadline(TimePoint deadline)
{
    m_state->shutdownDeadline = deadline;
    m_state->wakeAllWaiting();
}

void RelayService::expireAll()
{
    // Iterates over a copy: a request that ends removes itself from the set.
    const std::set<RelayedRequest *> openRequests = m_state->openRequests;
    for (RelayedRequest *request : openRequests)
        request->expire();
}

ServiceDelays RelayService::delays(TimePoint now) const
{
    return m_state->table.delays(now);
}

std::optional<TimePoint> RelayService::oldestUncounted() const
{
    std::optional<TimePoint> oldest;
    for (const RelayedRequest *request : m_state->openRequests) {
        const std::optional<TimePoint> since = request->uncountedSince();
        if (since && (!oldest || *since < *oldest))
            oldest = since;
    }
    return oldest;
}

std::vector<SpeedObservation> RelayService::takeSpeedObservations()
{
    return m_state->table.takeSpeedObservations();
}

std::uint64_t RelayService::declarationNumber() const
{
    return m_state->declarationNumber();
}

bool RelayService::hasRoutingData() const
{
    return m_state->routes && m_state->hasListing;
}

bool RelayService::isCutOff() const
{
    return m_state->table.allSilent();
}

void RelayService::checkReach(TimePoint now)
{
    m_state->reviewHeldCrashes();
    std::size_t left = ReachChecksAtOnce;
    for (const auto &[backend, service] : m_state->table.suspects(QuietBeforeReachCheck, now)) {
        if (left-- == 0)
            break;
        m_state->checkHealth(backend, service);
    }
}

HttpHandler RelayService::helperHandler()
{
    return [state = m_state](HttpRequest request, ResponseWriter &writer) -> asio::awaitable<void> {
        if (request.headers.contains(instance_headers::WantsDeclaration)) {
            co_await writer.send(state->declarations.answer());
            co_return;
        }
        const auto relayed = std::make_shared<RelayedRequest>(state, std::move(request), writer,
                                                              RequestSource::Instance);
        co_await relayed->serve();
    };
}

HttpHandler RelayService::handler()
{
    return [state = m_state](HttpRequest request, ResponseWriter &writer) -> asio::awaitable<void> {
        const auto relayed = std::make_shared<RelayedRequest>(state, std::move(request), writer,
                                                              RequestSource::Caller);
        co_await relayed->serve();
    };
}

} // namespace gentianramp
