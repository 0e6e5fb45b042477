#include <gentianramp/relay/backend_table.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <gentianramp/core/log.hpp>
#include <gentianramp/relay/limit_allowance.hpp>
#include <gentianramp/relay/place_choice.hpp>
#include <gentianramp/relay/prefill_rate.hpp>
#include <gentianramp/relay/work_meter.hpp>
#include <unordered_map>

#include "gentianramp/routing/circuit_breaker.hpp"

namespace gentianramp {

namespace {

/// An engine that also decodes prefills at this share of the rate of a prefill-only engine.
constexpr double MixedPrefillRate = 0.5;
/// Rate while none has been measured. Only the ratios of costs count then: no expected wait is
/// derived from it.
constexpr double UnmeasuredTokensPerMs = 1;
/// Cost of the additional call when a prompt is prefilled on another engine.
constexpr double PrefillCallMs = 3;
/// Weight of a prompt's own prefill time in the cost of an engine, in addition to the expected
/// wait, on prefill-only engines and on engines that also decode: a prefill delays all requests
/// queued behind it, shared parts that are prefilled on a second engine evict others there, and on
/// an engine that also decodes it prolongs the pauses in all answers that are being streamed.
constexpr double PrefillEngineCostFactor = 10;
constexpr double MixedEngineCostFactor = 3;
/// A load report loses weight linearly with its age and is ignored after this time.
constexpr Duration LoadLifetime = std::chrono::milliseconds(1500);
/// Weight of a new value in the moving averages of a service.
constexpr double ServiceMeanWeight = 0.02;
/// Approximate age of a report when the registry receives it.
constexpr Duration ReportLag = std::chrono::milliseconds(100);
/// Share of the fetched tokens that have to be prefilled after all.
constexpr double FetchMissShare = 0.4;
/// Approximate time for which a busy engine keeps a prompt part in its KV cache. It is also
/// the window in which callers expect a shared part to be cached.
constexpr Duration CachedPartLifetime = std::chrono::seconds(9);
constexpr std::size_t MaxRememberedParts = 2048;
/// Share used of the connections that a backend server accepts; the rest is left for health checks
/// and other callers.
constexpr double UsableConnectionShare = 0.85;
/// An engine that changes its stage gets no requests until the next reports have arrived.
constexpr Duration StageChangePause = std::chrono::milliseconds(800);
/// Engines differ in speed, and some become slow: weight of one measured prefill time in an
/// engine's slowness, and the bounds of a measurement.
constexpr double SlownessWeight = 0.15;
constexpr double MinSlowness = 0.7;
constexpr double MaxSlowness = 10;
/// Time after which a stated slowness is believed a third: servers that share their machine are
/// slowed for about half a second.
constexpr Duration SlownessMemory = std::chrono::milliseconds(500);
/// Bounds of a measured time as a share of the usual one; a longer time says more of the queue.
constexpr double MinTimeRatio = 0.2;
constexpr double MaxTimeRatio = 5;
/// Decoding delays are compared with those of an engine this fast.
constexpr double MinDecodeTimeFactor = 0.5;
/// Speeds are used in steps of this ratio where all instances have to choose alike.
constexpr double SharedSpeedStep = 1.25;
/// Quantile of decode engines' first event times that is taken for an idle engine.
constexpr double IdleDecodeQuantile = 0.2;
/// Delay that a rejected request counts with, in latency targets.
constexpr double RejectionDelay = 1;
/// Bound of a request's stated output over the usual one: callers may state any bound.
constexpr double MaxLengthRatio = 8;
/// Shorter prefills are not measured: the call's overhead dominates their time.
constexpr double MinMeasuredPrefillMs = 10;
/// A failed KV transfer shows that one of two engines transfers slowly, but not which one. Both get
/// this penalty, which fades linearly; the engine at fault accumulates more of them.
constexpr double KvTransferFailureMs = 250;
constexpr Duration KvTransferFailureFadeTime = std::chrono::seconds(3);
constexpr double MaxKvTransferFailures = 6;
/// A server may fail part of its requests although its health checks succeed. Weight of one request
/// in the share of failures, and time constant of that share's exponential decay.
constexpr double FailureWeight = 0.3;
constexpr Duration FailureDecayTime = std::chrono::seconds(4);
/// Cost of a server whose recent requests all failed, scaled by its share of failures: as a share
/// of slots for calls without a prompt, and as a wait for prompts.
constexpr double FailureSlotCost = 3;
constexpr double FailurePenaltyMs = 80;
/// Time until the listing shows a change of a backend server: the platform's own lag, the interval
/// in which the registry reads the listing, and the interval of the registry feed.
constexpr Duration MisdirectedPause = std::chrono::seconds(2);
/// Time by which a listing may be older than its reading: the platform's own lag and the registry's
/// interval.
constexpr Duration ListingLag = std::chrono::seconds(4);
/// Wait that a prefill in another data centre adds.
constexpr double CrossDataCentreMs = 3;
/// A transfer between data centres takes longer by this factor.
constexpr double CrossDataCentreTransferFactor = 2;
/// Calls without a prompt go to another data centre when that saves more than this share of slots.
constexpr double CrossDataCentreSlotCost = 0.5;
/// A limit that neither an answer nor the leader confirms for this time is dropped.
constexpr Duration UnconfirmedLimitLifetime = std::chrono::seconds(30);
/// Time for which the registry is told what a server stated on a limit.
constexpr Duration LimitReportTime = std::chrono::seconds(3);
/// Time until the next grant of requests to a limited server arrives.
constexpr Duration NextGrantTime = std::chrono::milliseconds(400);
// Factors of the splitmix64 finalizer.
constexpr std::uint64_t SplitMixFactorA = 0xbf58476d1ce4e5b9ULL;
constexpr std::uint64_t SplitMixFactorB = 0x94d049bb133111ebULL;

double millisecondsOf(Duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

/// For log lines; -1: no value.
std::int64_t thousandthsOf(std::optional<double> value)
{
    return value ? std::llround(1000 * std::min(*value, 1e12)) : -1;
}

std::uint64_t splitMix(std::uint64_t value)
{
    value = (value ^ (value >> 30)) * SplitMixFactorA;
    value = (value ^ (value >> 27)) * SplitMixFactorB;
    return value ^ (value >> 31);
}

} // namespace

/// A declared service and what was measured of its engines.
struct BackendTable::ServiceState
{
    DeclaredService declared;
    PrefillRate prefillRate;
    double meanUncachedTokens = 0; ///< Moving average of the uncached tokens of a prompt.
    double streamMs = 0;           ///< Moving average of the time for which an answer takes a slot.
    double meanOutputTokens = 0;   ///< Moving average of the stated bounds of answers.
    /// Time from the send to a decode engine to the first event, without the declared time of the
    /// KV transfer, when little else runs there.
    QuantileEstimate idleDecodeMs{IdleDecodeQuantile};
    WorkMeter requests;
    /// Delays beyond an idle engine, as shares of the requests' latency targets.
    WorkMeter prefillDelays;
    WorkMeter decodeDelays;
};

struct BackendTable::Backend
{
    ListedServer server;
    std::uint64_t incarnation = 0;
    std::uint64_t hash = 0;
    CircuitBreaker breaker;
    bool silent = false;
    std::uint32_t open = 0;    ///< Open requests of this instance.
    double uncachedTokens = 0; ///< Of this instance's requests that wait for their first event.
    StatedLoad load;
    TimePoint loadAt{};
    double sentTokens = 0;          ///< Uncached tokens that this instance sent since loadAt.
    std::uint32_t sentRequests = 0; ///< Requests that this instance sent since loadAt.
    TimePoint lastContactAt{};
    TimePoint lastReachedAt{}; ///< Bytes of a request were written to it.
    TimePoint lastLostAt{};    ///< The connection of such a request broke.
    TimePoint avoidUntil{};
    /// Since when it may have started again with other software than is listed.
    std::optional<TimePoint> versionInDoubtSince;
    bool leaving = false;             ///< It said so in an answer; the listing may not show it yet.
    TimePoint heldUntil{};            ///< It asked not to be sent anything before.
    RequestLimit limit;               ///< Its newest statement.
    TimePoint limitObservedAt{};      ///< When it stated one, or the end of one, to this instance.
    LimitAllowance allowance;         ///< What this instance may send of the limit.
    std::uint32_t sentUnderLimit = 0; ///< Requests that this instance sent since it named one.
    bool listedPrefillOnly = false;
    ReportedStage reportedStage = ReportedStage::Unknown;
    TimePoint stageReportedAt{};
    TimePoint prefillSince{}; ///< When it was first listed as a prefill engine; empty: it decodes.
    double failureShare = 0;  ///< As of failedAt.
    TimePoint failedAt{};
    double slowness = 1; ///< Moving average of measured over expected prefill times.
    double speed = 0;    ///< Lasting, of the usual one, as all instances measured; 0: unknown.
    std::uint32_t slownessPercent = 0; ///< As stated; 0: never.
    TimePoint slownessAt{};
    SpeedObservation speedObservation; ///< Since it was taken last.
    double kvTransferFailures = 0;     ///< Count as of kvTransferFailedAt; fades out.
    TimePoint kvTransferFailedAt{};
    /// Prompt parts sent to it by this instance, with the time of their last use.
    std::unordered_map<std::uint64_t, TimePoint> parts;

    bool takesWork(TimePoint now) const { return !server.draining && !leaving && now >= heldUntil; }

    bool loadIsFresh(TimePoint now) const
    {
        return loadAt != TimePoint{} && now - loadAt < LoadLifetime;
    }

    double speedOrUsual() const { return speed > 0 ? speed : 1; }

    /// Time that work takes now, of that on an undisturbed machine.
    double momentaryFactor(TimePoint now) const
    {
        if (slownessPercent == 0)
            return 1;
        const double kept
            = std::exp(-std::chrono::duration<double>(now - slownessAt) / SlownessMemory);
        return 1 + (slownessPercent / 100.0 - 1) * kept;
    }

    /// Time that work takes now, of the usual one.
    double timeFactor(TimePoint now) const { return momentaryFactor(now) / speedOrUsual(); }

    /// Lasting speed in steps that all instances take alike, although their reports differ in age.
    double sharedSpeed() const
    {
        const double step = std::log(SharedSpeedStep);
        return std::exp(step * std::round(std::log(speedOrUsual()) / step));
    }

    void noteSlowness(std::uint32_t percent, TimePoint at)
    {
        if (percent == 0 || at < slownessAt)
            return;
        slownessPercent = percent;
        slownessAt = at;
    }

    void noteTimeRatio(double ratio)
    {
        speedObservation.logRatio += std::log(std::clamp(ratio, MinTimeRatio, MaxTimeRatio));
        ++speedObservation.count;
    }

    double loadWeight(TimePoint now) const
    {
        if (!loadIsFresh(now))
            return 0;
        return 1.0 - std::chrono::duration<double>(now - loadAt) / LoadLifetime;
    }

    /// Requests that run or wait there, as far as reported or sent by this instance.
    double takenSlots(TimePoint now) const
    {
        return std::max<double>(open,
                                loadWeight(now) * (load.running + load.waiting + sentRequests));
    }

    /// Share of recent requests that failed; decays while no requests are sent.
    double recentFailureShare(TimePoint now) const
    {
        return failureShare
            * std::exp(-std::chrono::duration<double>(now - failedAt) / FailureDecayTime);
    }

    void noteOutcome(bool failed, TimePoint now)
    {
        failureShare = recentFailureShare(now)
            + FailureWeight * ((failed ? 1 : 0) - recentFailureShare(now));
        failedAt = now;
    }

    double kvTransferPenaltyMs(TimePoint now) const
    {
        const double age
            = std::chrono::duration<double>(now - kvTransferFailedAt) / KvTransferFailureFadeTime;
        return age < 1 ? kvTransferFailures * KvTransferFailureMs * (1 - age) : 0;
    }

    bool hasCached(std::uint64_t part, TimePoint now) const
    {
        const auto found = parts.find(part);
        return found != parts.end() && now - found->second < CachedPartLifetime;
    }

    /// Whether this instance sent it all parts that other prompts may share.
    bool hasCachedShared(const PromptDescription &prompt, TimePoint now) const
    {
        return std::all_of(prompt.parts.begin(),
                           prompt.parts.end() - (prompt.parts.size() > 1 ? 1 : 0),
                           [&](const PromptPart &part) { return hasCached(part.id, now); });
    }

    void rememberParts(const PromptDescription &prompt, TimePoint now)
    {
        if (parts.size() + prompt.parts.size() > MaxRememberedParts)
            std::erase_if(parts, [&](const auto &entry) {
                return now - entry.second >= CachedPartLifetime / 2;
            });
        if (parts.size() > MaxRememberedParts)
            parts.clear();
        for (const PromptPart &part : prompt.parts)
            parts[part.id] = now;
    }
};

BackendTable::BackendTable(BackendTableOptions options)
    : m_options(std::move(options))
    , m_randomState(splitMix(m_options.seed))
    , m_versions(m_options.versionSettleTime)
{ }

BackendTable::~BackendTable() = default;
BackendTable::BackendTable(BackendTable &&) noexcept = default;
BackendTable &BackendTable::operator=(BackendTable &&) noexcept = default;

void BackendTable::publish(const BackendListing &listing)
{
    std::map<BackendId, std::unique_ptr<Backend>> next;
    for (const ListedServer &server : listing.servers) {
        std::unique_ptr<Backend> backend;
        const auto found = m_backends.find(server.id);
        const bool sameIncarnation = found != m_backends.end()
            && found->second->server.startedAtMs == server.startedAtMs
            && found->second->server.host == server.host
            && found->second->server.port == server.port;
        if (sameIncarnation) {
            backend = std::move(found->second);
        } else {
            backend = std::make_unique<Backend>();
            backend->incarnation = ++m_incarnations;
            backend->hash = splitMix(std::hash<std::string>{}(server.id.value()));
        }
        backend->server = server;
        backend->limit.server = server.id;
        backend->limit.startedAtMs = server.startedAtMs;
        backend->limit.service = server.service;
        backend->listedPrefillOnly = server.prefillOnly;
        setStage(*backend, listing.takenAt);
        next.emplace(server.id, std::move(backend));
    }
    m_backends = std::move(next);
    m_versions.publish(listing, RuntimeClock::now());
    confirmListing(listing.takenAt);
}

void BackendTable::confirmListing(TimePoint readAt)
{
    m_listingReadAt = std::max(m_listingReadAt, readAt);
    for (const auto &[id, backend] : m_backends) {
        if (backend->versionInDoubtSince
            && readAt > *backend->versionInDoubtSince + m_options.listingLag)
            backend->versionInDoubtSince.reset();
    }
}

bool BackendTable::anySilent(const std::string &service) const
{
    return std::any_of(m_backends.begin(), m_backends.end(), [&](const auto &entry) {
        const Backend &backend = *entry.second;
        return backend.server.service == service && !backend.server.draining && backend.silent;
    });
}

BackendTable::SilentCount BackendTable::countSilent() const
{
    SilentCount count;
    for (const auto &[id, backend] : m_backends) {
        count.listed += backend->server.draining ? 0 : 1;
        count.silent += !backend->server.draining && backend->silent ? 1 : 0;
    }
    return count;
}

bool BackendTable::allSilent() const
{
    const SilentCount count = countSilent();
    return count.listed > 0 && count.silent == count.listed;
}

bool BackendTable::halfSilent() const
{
    const SilentCount count = countSilent();
    return count.listed > 0 && 2 * count.silent >= count.listed;
}

std::vector<std::pair<BackendId, std::string>> BackendTable::suspects(Duration quiet,
                                                                      TimePoint now) const
{
    std::map<std::string, SilentCount> services;
    for (const auto &[id, backend] : m_backends) {
        SilentCount &count = services[backend->server.service];
        count.listed += backend->server.draining ? 0 : 1;
        count.silent += !backend->server.draining && backend->silent ? 1 : 0;
    }
    // Where all servers of one service are lost, those of the others may be.
    const bool oneIsLost = std::any_of(services.begin(), services.end(), [](const auto &entry) {
        return entry.second.listed > 0 && entry.second.silent == entry.second.listed;
    });
    std::vector<std::pair<BackendId, std::string>> suspects;
    for (const auto &[id, backend] : m_backends) {
        const SilentCount &count = services[backend->server.service];
        if (!backend->silent && !backend->server.draining && now - backend->lastContactAt >= quiet
            && (oneIsLost || (count.silent > 0 && 2 * count.silent >= count.listed)))
            suspects.emplace_back(id, backend->server.service);
    }
    return suspects;
}

bool BackendTable::isOwnLoss(const BackendId &backend, TimePoint lostAt) const
{
    const Backend *lost = findBackend(backend);
    bool othersWereLost = true;
    for (const auto &[id, other] : m_backends) {
        if (id == backend)
            continue;
        if (std::max(other->lastContactAt, other->lastReachedAt) > lostAt)
            return true;
        const bool lostBefore = lost && other->lastLostAt > other->lastContactAt
            && other->lastLostAt < lost->lastReachedAt;
        othersWereLost = othersWereLost && lostBefore;
    }
    return othersWereLost;
}

std::optional<std::pair<BackendId, std::string>> BackendTable::lastHeard(const BackendId &excluded,
                                                                         TimePoint now) const
{
    const Backend *best = nullptr;
    for (const auto &[id, backend] : m_backends) {
        const bool mayAnswer = id != excluded && !backend->silent && now >= backend->heldUntil
            && backend->lastLostAt <= backend->lastContactAt;
        if (mayAnswer && (!best || backend->lastContactAt > best->lastContactAt))
            best = backend.get();
    }
    if (!best)
        return std::nullopt;
    return std::pair(best->server.id, best->server.service);
}

void BackendTable::noteSendLost(const SendTarget &target, TimePoint now)
{
    Backend *backend = find(target);
    if (!backend)
        return;
    backend->lastReachedAt = std::max(backend->lastReachedAt, target.sentAt);
    backend->lastLostAt = now;
}

void BackendTable::noteConnectionLost(const BackendId &backend, TimePoint now)
{
    if (Backend *found = findBackend(backend))
        found->versionInDoubtSince = now;
}

void BackendTable::noteReportedStart(const BackendId &backend, std::int64_t startedAtMs)
{
    Backend *found = findBackend(backend);
    if (found && found->server.startedAtMs == startedAtMs)
        found->versionInDoubtSince.reset();
}

bool BackendTable::isVersionCertain(const SendTarget &target) const
{
    const Backend *backend = findBackend(target.backend);
    return backend && backend->incarnation == target.incarnation && !backend->versionInDoubtSince;
}

bool BackendTable::lists(const std::string &service, const std::string &softwareVersion) const
{
    return std::any_of(m_backends.begin(), m_backends.end(), [&](const auto &entry) {
        const ListedServer &server = entry.second->server;
        return server.service == service && server.softwareVersion == softwareVersion;
    });
}

/// Takes the stage from the engine's last report, or from the listing if that is long ago.
void BackendTable::setStage(Backend &backend, TimePoint now)
{
    const bool isReported = backend.reportedStage != ReportedStage::Unknown
        && now - backend.stageReportedAt < ListingLag;
    backend.server.prefillOnly
        = isReported ? backend.reportedStage == ReportedStage::Prefill : backend.listedPrefillOnly;
    if (!backend.server.prefillOnly)
        backend.prefillSince = {};
    else if (backend.prefillSince == TimePoint{})
        backend.prefillSince = now;
}

void BackendTable::setService(const DeclaredService &service)
{
    serviceState(service.name).declared = service;
}

bool BackendTable::usable(const Backend &backend, const PlacementQuery &request, bool allowFailing,
                          TimePoint now) const
{
    if (backend.server.service != request.service || !backend.takesWork(now) || backend.silent
        || now < backend.avoidUntil || !backend.allowance.mayTake(m_instances, now)
        || (!allowFailing && !backend.breaker.mayAllow(true, now))
        || (request.softwareVersion && !hasVersion(backend, *request.softwareVersion, now)))
        return false;
    const std::uint32_t maxConnections = serviceState(request.service).declared.maxConnections;
    if (maxConnections > 0) {
        const double share = UsableConnectionShare * maxConnections / m_instances;
        if (backend.open + 1 > std::max(share, 1.0))
            return false;
    }
    return std::find(request.excluded.begin(), request.excluded.end(), backend.server.id)
        == request.excluded.end();
}

bool BackendTable::hasVersion(const Backend &backend, const std::string &softwareVersion,
                              TimePoint now) const
{
    if (backend.server.softwareVersion != softwareVersion)
        return false;
    return !backend.versionInDoubtSince
        || m_versions.recent(backend.server.service, now).size() < 2;
}

void BackendTable::dropUnsettledVersions(std::vector<Backend *> &usable,
                                         const PlacementQuery &request, TimePoint now) const
{
    if (!request.isResumable || request.softwareVersion)
        return;
    std::vector<Backend *> settled;
    bool answers = false;
    for (Backend *backend : usable) {
        if (!m_versions.isSettled(request.service, backend->server.softwareVersion, now))
            continue;
        settled.push_back(backend);
        answers = answers || !request.prompt || !backend->server.prefillOnly;
    }
    if (answers)
        usable = std::move(settled);
}

/// Engines to which all instances send prompts with these shared parts, by rendezvous hashing
/// weighted by the engines' prefill speed: the first one, and the second one while the first has a
/// longer queue.
BackendTable::Owners BackendTable::rendezvousOwners(const std::vector<Backend *> &usable,
                                                    std::uint64_t key) const
{
    Owners owners;
    double firstScore = 0;
    double secondScore = 0;
    for (const Backend *backend : usable) {
        const double uniform
            = (static_cast<double>(splitMix(key ^ backend->hash) >> 11) + 0.5) / 9007199254740992.0;
        const double weight
            = (backend->server.prefillOnly ? 1 : MixedPrefillRate) * backend->sharedSpeed();
        const double score = -weight / std::log(uniform);
        if (!owners.first || score > firstScore) {
            owners.second = std::exchange(owners.first, backend);
            secondScore = std::exchange(firstScore, score);
        } else if (!owners.second || score > secondScore) {
            owners.second = backend;
            secondScore = score;
        }
    }
    return owners;
}

/// Engine that owned these shared parts before engines were recently added or began to drain; it
/// probably still has them cached. Null when it is the present owner.
const BackendTable::Backend *BackendTable::formerOwner(const PlacementQuery &request,
                                                       const Backend &owner, TimePoint now) const
{
    std::vector<Backend *> formerEngines;
    for (const auto &[id, backend] : m_backends) {
        const bool mayHaveOwned = backend->server.service == request.service && !backend->silent
            && backend->server.softwareVersion == owner.server.softwareVersion
            && backend->prefillSince != TimePoint{}
            && now - backend->prefillSince >= CachedPartLifetime;
        if (mayHaveOwned)
            formerEngines.push_back(backend.get());
    }
    const Backend *former
        = rendezvousOwners(formerEngines, request.prompt->sharedPrefixHash()).first;
    return former == &owner ? nullptr : former;
}

std::uint32_t BackendTable::uncachedTokens(const Backend &backend, const PromptDescription &prompt,
                                           bool owner, TimePoint now) const
{
    std::size_t cached = 0;
    while (cached < prompt.parts.size() && backend.hasCached(prompt.parts[cached].id, now))
        ++cached;
    // Other instances send prompts with these shared parts to the same owner, so the parts are
    // probably cached there.
    if (owner && prompt.parts.size() > 1)
        cached = std::max(cached, prompt.parts.size() - 1);
    std::uint32_t uncached = 0;
    for (std::size_t index = cached; index < prompt.parts.size(); ++index)
        uncached += prompt.parts[index].tokens;
    return uncached;
}

/// Expected milliseconds until the engine has prefilled a prompt with @p uncached tokens.
double BackendTable::prefillMs(const Backend &backend, std::uint32_t uncached, TimePoint now) const
{
    const double mean = serviceState(backend.server.service).meanUncachedTokens;
    double backlog = backend.uncachedTokens;
    if (backend.loadIsFresh(now)) {
        // The report covers the requests of all instances; of those sent after it only this
        // instance's are known.
        // Others' prompts are taken for as long as this one while none has been sent.
        const double reported
            = (backend.load.waiting + backend.load.running) * (mean > 0 ? mean : uncached)
            + backend.sentTokens;
        backlog = std::max(backlog, backend.loadWeight(now) * reported);
    }
    double ms
        = (uncached + backlog) / tokensPerMs(backend) * backend.slowness * backend.timeFactor(now)
        + FailurePenaltyMs * backend.recentFailureShare(now);
    if (backend.server.dataCentre != m_options.dataCentre)
        ms += CrossDataCentreMs;
    return ms;
}

/// Rate at which the engine prefills, at the usual speed of the service's engines.
double BackendTable::tokensPerMs(const Backend &backend) const
{
    const double rate = serviceState(backend.server.service)
                            .prefillRate.tokensPerMs()
                            .value_or(UnmeasuredTokensPerMs);
    return backend.server.prefillOnly ? rate : MixedPrefillRate * rate;
}

/// Expected milliseconds that a new request waits for a slot of the engine.
double BackendTable::decodeWaitMs(const Backend &backend, TimePoint now) const
{
    return slotWaitMs(std::max(backend.server.slots, 1U), backend.takenSlots(now),
                      serviceState(backend.server.service).streamMs);
}

/// Delay and penalty of an engine that decodes a prompt which @p prefillEngine keeps; null: it
/// prefills the prompt itself.
double BackendTable::decodePenaltyMs(const Backend &backend, const PlacementQuery &request,
                                     const Backend *prefillEngine, TimePoint now) const
{
    double ms
        = backend.kvTransferPenaltyMs(now) + FailurePenaltyMs * backend.recentFailureShare(now);
    // Relative to the fastest engines, so that no penalty is negative.
    ms += serviceState(backend.server.service).idleDecodeMs.value().value_or(0)
        * std::max(backend.timeFactor(now) - MinDecodeTimeFactor, 0.0);
    if (backend.server.dataCentre != m_options.dataCentre)
        ms += CrossDataCentreMs;
    return ms + transferMs(backend, request, prefillEngine);
}

/// Prompt tokens that the second owner of the shared parts probably can't fetch from the first one,
/// which may have lost them, or transfers too much already.
double BackendTable::expectedMisses(const Backend &backend, const PlacementQuery &request,
                                    const Owners &owners, TimePoint now) const
{
    return &backend == owners.second && !backend.hasCachedShared(*request.prompt, now)
        ? FetchMissShare * request.prompt->sharedTokens()
        : 0;
}

/// Time in which the second owner of a prompt's shared parts fetches them from the first one; 0
/// when this instance knows that it has them.
double BackendTable::fetchMs(const Backend &backend, const PlacementQuery &request,
                             const Backend &source, TimePoint now) const
{
    if (backend.hasCachedShared(*request.prompt, now))
        return 0;
    const double ms = kvTransferMs(request.service, request.prompt->sharedTokens());
    return source.server.dataCentre == backend.server.dataCentre
        ? ms
        : CrossDataCentreTransferFactor * ms;
}

/// Time in which the prompt's KV cache is transferred from @p prefillEngine; 0 if that is null.
double BackendTable::transferMs(const Backend &backend, const PlacementQuery &request,
                                const Backend *prefillEngine) const
{
    if (!prefillEngine)
        return 0;
    const double ms = kvTransferMs(request.service, request.prompt->tokens());
    return prefillEngine->server.dataCentre == backend.server.dataCentre
        ? ms
        : CrossDataCentreTransferFactor * ms;
}

/// The decode engine for a request; null if there is none.
BackendTable::Backend *BackendTable::chooseResponder(const std::vector<Backend *> &usable,
                                                     const PlacementQuery &request,
                                                     const Backend *prefillEngine, TimePoint now)
{
    std::vector<Backend *> engines;
    std::vector<PlaceCandidate> candidates;
    for (Backend *backend : usable) {
        if (backend->server.prefillOnly)
            continue;
        engines.push_back(backend);
        candidates.push_back(
            {.slots = std::max(backend->server.slots, 1U) * backend->speedOrUsual(),
             .taken = backend->takenSlots(now),
             .costMs = decodePenaltyMs(*backend, request, prefillEngine, now)});
    }
    if (engines.empty())
        return nullptr;
    return engines[choosePlace(candidates, serviceState(request.service).streamMs,
                               [this] { return uniformRandom(); })];
}

const BackendTable::ServiceState &BackendTable::serviceState(const std::string &service) const
{
    static const ServiceState unknown;
    const auto found = m_services.find(service);
    return found == m_services.end() ? unknown : found->second;
}

BackendTable::ServiceState &BackendTable::serviceState(const std::string &service)
{
    return m_services[service];
}

/// Uniformly distributed in [0, 1).
double BackendTable::uniformRandom()
{
    m_randomState = splitMix(m_randomState + SplitMixFactorA);
    return static_cast<double>(m_randomState >> 11) / 9007199254740992.0;
}

ServiceDelays BackendTable::delays(TimePoint now) const
{
    ServiceDelays delays;
    for (const auto &[name, service] : m_services) {
        if (service.declared.engine)
            delays[name] = {.requests = service.requests.perSecond(now),
                            .prefill = service.prefillDelays.perSecond(now),
                            .decode = service.decodeDelays.perSecond(now)};
    }
    return delays;
}

/// Milliseconds in which engines transfer the KV cache of that many tokens; 0 when undeclared.
double BackendTable::kvTransferMs(const std::string &service, std::uint32_t tokens) const
{
    const std::optional<EngineTraits> &engine = serviceState(service).declared.engine;
    if (!engine || engine->linkBitsPerSecond <= 0)
        return 0;
    return 8000.0 * tokens * engine->tokenBytes / engine->linkBitsPerSecond;
}

/// Share of a backend server's slots that is in use, plus penalties in the same unit.
double BackendTable::slotCost(const Backend &backend, TimePoint now) const
{
    const double slots = std::max(backend.server.slots, 1U);
    const double stated
        = backend.loadWeight(now) * (backend.load.running + 2 * backend.load.waiting);
    // A server that is slowed takes as much longer for what runs there, and for the new request.
    const double taken = backend.open + stated;
    double cost = (taken * backend.timeFactor(now) + backend.timeFactor(now) - 1) / slots
        + FailureSlotCost * backend.recentFailureShare(now);
    if (backend.server.dataCentre != m_options.dataCentre)
        cost += CrossDataCentreSlotCost;
    return cost;
}

SendTarget BackendTable::makeTarget(const Backend &backend, std::uint32_t uncached, double waitMs,
                                    TimePoint now) const
{
    const bool measured
        = serviceState(backend.server.service).prefillRate.tokensPerMs().has_value();
    SendTarget target;
    target.backend = backend.server.id;
    target.address = {backend.server.host, backend.server.port};
    target.uncachedTokens = uncached;
    target.timeFactor = backend.timeFactor(now);
    if (measured) {
        target.expectedWait = std::chrono::microseconds(static_cast<std::int64_t>(waitMs * 1000));
        target.prefillMs
            = (uncached + backend.uncachedTokens) / tokensPerMs(backend) * target.timeFactor;
    }
    target.seemedIdle = backend.takenSlots(now) < 1;
    target.sentAt = now;
    target.incarnation = backend.incarnation;
    target.startedAtMs = backend.server.startedAtMs;
    target.softwareVersion = backend.server.softwareVersion;
    return target;
}

std::optional<RequestPlacement> BackendTable::choose(const PlacementQuery &request, TimePoint now)
{
    std::vector<Backend *> usableBackends;
    // Servers whose circuit breaker rejects requests are used only when there are no others.
    for (const bool allowFailing : {false, true}) {
        for (const auto &[id, backend] : m_backends) {
            if (usable(*backend, request, allowFailing, now))
                usableBackends.push_back(backend.get());
        }
        if (!usableBackends.empty())
            break;
    }
    if (usableBackends.empty())
        return std::nullopt;
    m_randomState = splitMix(m_randomState + SplitMixFactorA);
    std::rotate(usableBackends.begin(),
                usableBackends.begin()
                    + static_cast<std::ptrdiff_t>(m_randomState % usableBackends.size()),
                usableBackends.end());
    dropUnsettledVersions(usableBackends, request, now);
    if (!request.prompt)
        return chooseLeastLoaded(usableBackends, now);
    std::optional<RequestPlacement> placement
        = chooseEnginesOfOneVersion(usableBackends, request, now);
    if (placement)
        placement->responder.latencyTarget = request.latencyTarget;
    if (placement && placement->prefillEngine)
        placement->prefillEngine->latencyTarget = request.latencyTarget;
    return placement;
}

std::optional<PlacementRoom> BackendTable::room(const PlacementQuery &request,
                                                const RequestPlacement &placement,
                                                TimePoint now) const
{
    const ServiceState &service = serviceState(request.service);
    if (!request.prompt || service.streamMs <= 0)
        return std::nullopt;
    PlacementRoom result;
    std::size_t known = 0;
    std::size_t listed = 0;
    for (const auto &[id, backend] : m_backends) {
        if (backend->server.service != request.service || backend->server.prefillOnly
            || !backend->takesWork(now) || backend->silent)
            continue;
        ++listed;
        if (!backend->loadIsFresh(now) || backend->server.slots == 0)
            continue;
        ++known;
        const double slots = backend->server.slots;
        const double taken = backend->takenSlots(now);
        result.room.places += slots;
        result.room.taken += taken;
        result.room.endsPerSecond += 1000 * std::min(slots, taken) / service.streamMs;
    }
    if (known == 0 || 2 * known < listed)
        return std::nullopt;
    const SendTarget &reader
        = placement.prefillEngine ? *placement.prefillEngine : placement.responder;
    const Backend *engine = findBackend(reader.backend);
    const double readMs
        = engine ? reader.uncachedTokens / tokensPerMs(*engine) * reader.timeFactor : 0;
    const double lengthRatio = service.meanOutputTokens > 0 && request.prompt->outputTokens > 0
        ? request.prompt->outputTokens / service.meanOutputTokens
        : 1;
    const auto duration = [](double ms) {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
    };
    result.work = duration(readMs + service.streamMs * std::min(lengthRatio, MaxLengthRatio));
    result.firstEventTime = duration(readMs + service.idleDecodeMs.value().value_or(0)
                                     + placement.responder.kvTransferMs);
    result.wait = std::max<Duration>(placement.responder.expectedWait - result.firstEventTime, {});
    return result;
}

bool BackendTable::canPlace(const PlacementQuery &request, TimePoint now) const
{
    return std::any_of(m_backends.begin(), m_backends.end(), [&](const auto &entry) {
        const Backend &backend = *entry.second;
        return usable(backend, request, false, now)
            && !(request.prompt && backend.server.prefillOnly);
    });
}

std::optional<RequestPlacement>
BackendTable::chooseLeastLoaded(const std::vector<Backend *> &usable, TimePoint now)
{
    Backend *best = nullptr;
    double bestCost = 0;
    for (Backend *backend : usable) {
        const double cost = slotCost(*backend, now);
        if (!best || cost < bestCost) {
            best = backend;
            bestCost = cost;
        }
    }
    best->breaker.allow(true, now);
    return RequestPlacement{makeTarget(*best, 0, 0, now), std::nullopt};
}

std::optional<RequestPlacement>
BackendTable::chooseEnginesOfOneVersion(const std::vector<Backend *> &usable,
                                        const PlacementQuery &request, TimePoint now)
{
    struct Group
    {
        std::vector<Backend *> engines;
        double prefillCapacity = 0; ///< In engines that only prefill.
        double decodeEngines = 0;
        double weight() const
        {
            return prefillCapacity > 0 ? prefillCapacity : MixedPrefillRate * decodeEngines;
        }
    };
    std::map<std::string, Group> groups;
    for (Backend *backend : usable) {
        Group &group = groups[backend->server.softwareVersion];
        group.engines.push_back(backend);
        (backend->server.prefillOnly ? group.prefillCapacity : group.decodeEngines) += 1;
    }
    std::erase_if(groups, [](const auto &entry) { return entry.second.decodeEngines == 0; });
    if (groups.empty())
        return std::nullopt;
    if (groups.size() == 1)
        return chooseEngines(groups.begin()->second.engines, request, now);
    // Prompts with the same shared parts go to engines of the same version, which keep these parts.
    double total = 0;
    for (const auto &[version, group] : groups)
        total += group.weight();
    double left = total
        * (static_cast<double>(splitMix(request.prompt->sharedPrefixHash()) >> 11)
           / 9007199254740992.0);
    auto chosen = groups.begin();
    for (; std::next(chosen) != groups.end() && left >= chosen->second.weight(); ++chosen)
        left -= chosen->second.weight();
    std::optional<RequestPlacement> best = chooseEngines(chosen->second.engines, request, now);
    if (best && best->responder.expectedWait <= request.latencyTarget)
        return best;
    for (auto group = groups.begin(); group != groups.end(); ++group) {
        if (group == chosen)
            continue;
        std::optional<RequestPlacement> other = chooseEngines(group->second.engines, request, now);
        if (!best || (other && other->responder.expectedWait < best->responder.expectedWait))
            std::swap(best, other);
        if (other) {
            notSent(other->responder);
            if (other->prefillEngine)
                notSent(*other->prefillEngine);
        }
    }
    return best;
}

/// The engine with the lowest prefill cost and, if it does not decode, the one that decodes.
std::optional<RequestPlacement> BackendTable::chooseEngines(const std::vector<Backend *> &usable,
                                                            const PlacementQuery &request,
                                                            TimePoint now)
{
    if (request.prefilledAt) {
        const Backend *prefillEngine = findBackend(*request.prefilledAt);
        Backend *responder = chooseResponder(usable, request, prefillEngine, now);
        if (!responder)
            return std::nullopt;
        responder->breaker.allow(true, now);
        const double ms = decodeWaitMs(*responder, now)
            + decodePenaltyMs(*responder, request, prefillEngine, now);
        SendTarget target = makeTarget(*responder, 0, ms, now);
        target.kvTransferMs = transferMs(*responder, request, prefillEngine);
        return RequestPlacement{target, std::nullopt};
    }
    std::vector<Backend *> prefillEngines;
    std::copy_if(usable.begin(), usable.end(), std::back_inserter(prefillEngines),
                 [](const Backend *backend) { return backend->server.prefillOnly; });
    if (prefillEngines.size() == usable.size())
        return std::nullopt; // No engine decodes.
    const std::vector<Backend *> &candidates = prefillEngines.empty() ? usable : prefillEngines;
    const Owners owners = rendezvousOwners(candidates, request.prompt->sharedPrefixHash());
    Backend *prefillEngine = nullptr;
    double prefillCost = 0;
    double firstEventMs = 0;
    std::uint32_t prefillUncached = 0;
    for (Backend *backend : candidates) {
        const std::uint32_t uncached = uncachedTokens(
            *backend, *request.prompt, backend == owners.first || backend == owners.second, now);
        const bool prefillOnly = backend->server.prefillOnly;
        const double ms = prefillMs(*backend, uncached, now)
            + (backend == owners.second ? fetchMs(*backend, request, *owners.first, now) : 0)
            + (prefillOnly ? PrefillCallMs + backend->kvTransferPenaltyMs(now)
                           : decodeWaitMs(*backend, now)
                       + decodePenaltyMs(*backend, request, nullptr, now));
        const double cost = ms
            + (prefillOnly ? PrefillEngineCostFactor : MixedEngineCostFactor)
                * (uncached + expectedMisses(*backend, request, owners, now))
                / tokensPerMs(*backend);
        if (!prefillEngine || cost < prefillCost) {
            prefillEngine = backend;
            prefillCost = cost;
            firstEventMs = ms;
            prefillUncached = uncached;
        }
    }
    prefillEngine->breaker.allow(true, now);
    const double usualPrefillMs = prefillMs(*prefillEngine, prefillUncached, now)
        * prefillEngine->speedOrUsual() / prefillEngine->slowness;
    if (!prefillEngine->server.prefillOnly) {
        SendTarget target = makeTarget(*prefillEngine, prefillUncached, firstEventMs, now);
        target.usualPrefillMs = usualPrefillMs;
        return RequestPlacement{target, std::nullopt};
    }
    Backend *responder = chooseResponder(usable, request, prefillEngine, now);
    responder->breaker.allow(true, now);
    firstEventMs
        += decodeWaitMs(*responder, now) + decodePenaltyMs(*responder, request, prefillEngine, now);
    SendTarget prefillTarget = makeTarget(*prefillEngine, prefillUncached, firstEventMs, now);
    prefillTarget.usualPrefillMs = usualPrefillMs;
    const Backend *former = nullptr;
    if (prefillEngine == owners.first)
        former = formerOwner(request, *owners.first, now);
    else if (prefillEngine == owners.second
             && !prefillEngine->hasCachedShared(*request.prompt, now))
        former = owners.first;
    if (former)
        prefillTarget.prefixSource = HttpAddress{former->server.host, former->server.port};
    SendTarget responderTarget = makeTarget(*responder, 0, firstEventMs, now);
    responderTarget.kvTransferMs = transferMs(*responder, request, prefillEngine);
    return RequestPlacement{responderTarget, prefillTarget};
}

BackendTable::Backend *BackendTable::findBackend(const BackendId &backend) const
{
    const auto found = m_backends.find(backend);
    return found == m_backends.end() ? nullptr : found->second.get();
}

BackendTable::Backend *BackendTable::find(const SendTarget &target)
{
    const auto found = m_backends.find(target.backend);
    if (found == m_backends.end() || found->second->incarnation != target.incarnation)
        return nullptr;
    return found->second.get();
}

void BackendTable::notSent(const SendTarget &target)
{
    if (Backend *backend = find(target))
        backend->breaker.probeAbandoned();
}

void BackendTable::sent(const SendTarget &target, const PromptDescription *prompt, TimePoint now)
{
    Backend *backend = find(target);
    if (!backend)
        return;
    ++backend->open;
    backend->uncachedTokens += target.uncachedTokens;
    backend->sentTokens += target.uncachedTokens;
    ++backend->sentRequests;
    ++backend->sentUnderLimit;
    backend->allowance.take(m_instances, now);
    if (!prompt)
        return;
    backend->rememberParts(*prompt, now);
    ServiceState &service = serviceState(backend->server.service);
    if (prompt->outputTokens > 0 && !backend->server.prefillOnly) {
        if (service.meanOutputTokens == 0)
            service.meanOutputTokens = prompt->outputTokens;
        service.meanOutputTokens
            += ServiceMeanWeight * (prompt->outputTokens - service.meanOutputTokens);
    }
    if (target.uncachedTokens > 0) {
        if (service.meanUncachedTokens == 0)
            service.meanUncachedTokens = target.uncachedTokens;
        service.meanUncachedTokens
            += ServiceMeanWeight * (target.uncachedTokens - service.meanUncachedTokens);
    }
    if (!backend->server.prefillOnly)
        service.requests.add(1, now);
}

void BackendTable::answered(const SendTarget &target, TimePoint now)
{
    Backend *backend = find(target);
    if (!backend)
        return;
    noteWaited(*backend, target, now);
    observeSpeed(*backend, target, now);
    if (!backend->server.engine || !target.seemedIdle)
        return;
    ServiceState &service = serviceState(backend->server.service);
    const double ms = millisecondsOf(now - target.sentAt);
    if (!backend->server.prefillOnly && target.uncachedTokens == 0)
        service.idleDecodeMs.observe((ms - target.kvTransferMs) / target.timeFactor);
    else
        service.prefillRate.observe(target.uncachedTokens,
                                    (backend->server.prefillOnly ? 1 : MixedPrefillRate) * ms
                                        / target.timeFactor);
}

/// Measures how long the engine took, of the time that engines of the service usually take. The
/// slowness that it stated is not a property of the engine.
void BackendTable::observeSpeed(Backend &backend, const SendTarget &target, TimePoint now) const
{
    if (!backend.server.engine)
        return;
    const double ms = millisecondsOf(now - target.sentAt);
    const double momentary = target.timeFactor * backend.speedOrUsual();
    if (target.usualPrefillMs > 0) {
        // Times at a busy engine say more of its queue.
        if (target.seemedIdle && target.usualPrefillMs >= MinMeasuredPrefillMs
            && target.prefillMs > 0)
            backend.noteTimeRatio(ms / target.usualPrefillMs);
        return;
    }
    // Streams are decoded together, so that those of others prolong a time little.
    const std::optional<double> idleMs = serviceState(backend.server.service).idleDecodeMs.value();
    if (!backend.server.prefillOnly && target.uncachedTokens == 0 && idleMs && *idleMs > 0)
        backend.noteTimeRatio((ms - target.kvTransferMs) / (*idleMs * momentary));
}

std::vector<SpeedObservation> BackendTable::takeSpeedObservations()
{
    std::vector<SpeedObservation> taken;
    for (const auto &[id, backend] : m_backends) {
        if (backend->speedObservation.count == 0)
            continue;
        SpeedObservation observation = std::exchange(backend->speedObservation, {});
        observation.engine = id;
        observation.startedAtMs = backend->server.startedAtMs;
        taken.push_back(std::move(observation));
    }
    return taken;
}

/// The first event arrived, or the request ended without one.
void BackendTable::noteWaited(Backend &backend, const SendTarget &target, TimePoint now)
{
    backend.uncachedTokens = std::max(backend.uncachedTokens - target.uncachedTokens, 0.0);
    if (target.prefillMs >= MinMeasuredPrefillMs)
        updateSlowness(backend, target, now);
    if (!backend.server.engine || target.latencyTarget <= Duration::zero())
        return;
    ServiceState &service = serviceState(backend.server.service);
    const double targetMs = millisecondsOf(target.latencyTarget);
    const double ms = millisecondsOf(now - target.sentAt);
    if (backend.server.prefillOnly) {
        const auto rate = service.prefillRate.tokensPerMs();
        const double idleMs = rate ? target.uncachedTokens / *rate : ms;
        service.prefillDelays.add(std::max(ms - idleMs, 0.0) / targetMs, now);
    } else if (target.uncachedTokens == 0) {
        const double idleMs = service.idleDecodeMs.value().value_or(ms) + target.kvTransferMs;
        service.decodeDelays.add(std::max(ms - idleMs, 0.0) / targetMs, now);
    }
}

/// Compares a prefill time with the one expected from the known backlog. Requests of other
/// instances that the table does not know of prolong single prefills, so that short times say more
/// about the engine than long ones; each time is therefore clamped and averaged with a small
/// weight.
void BackendTable::updateSlowness(Backend &backend, const SendTarget &target, TimePoint now) const
{
    const double took = millisecondsOf(now - target.sentAt);
    const double expected
        = std::max(target.prefillMs,
                   std::chrono::duration<double, std::milli>(target.expectedWait).count()
                       / std::max(backend.slowness, 1.0));
    const double measured = std::clamp(took / expected, MinSlowness, MaxSlowness);
    backend.slowness += SlownessWeight * (measured - backend.slowness);
}

void BackendTable::ended(const SendTarget &target, bool wasAnswered, SendOutcome outcome,
                         TimePoint now)
{
    Backend *backend = find(target);
    if (!backend)
        return;
    backend->open -= std::min(backend->open, 1U);
    if (!wasAnswered)
        noteWaited(*backend, target, now);
    if (outcome == SendOutcome::Rejected && backend->server.engine) {
        // The request has to be sent again, or is lost.
        ServiceState &service = serviceState(backend->server.service);
        (backend->server.prefillOnly ? service.prefillDelays : service.decodeDelays)
            .add(RejectionDelay, now);
    }
    if (outcome == SendOutcome::Served)
        noteServed(*backend, target, now);
    if (outcome == SendOutcome::Served || outcome == SendOutcome::Failed)
        backend->noteOutcome(outcome == SendOutcome::Failed, now);
    switch (outcome) {
    case SendOutcome::Served:
        return backend->breaker.succeeded();
    case SendOutcome::Failed:
        return backend->breaker.failed(now);
    case SendOutcome::Rejected:
    case SendOutcome::Abandoned:
        return backend->breaker.probeAbandoned();
    }
}

/// Measures the time for which a stream takes a slot of the service's engines.
void BackendTable::noteServed(const Backend &backend, const SendTarget &target, TimePoint now)
{
    if (!backend.server.engine || backend.server.prefillOnly)
        return;
    ServiceState &service = serviceState(backend.server.service);
    const double ms = millisecondsOf(now - target.sentAt);
    if (service.streamMs == 0)
        service.streamMs = ms;
    service.streamMs += ServiceMeanWeight * (ms - service.streamMs);
}

void BackendTable::noteLoad(const BackendId &backend, const StatedLoad &load, TimePoint now)
{
    const auto found = m_backends.find(backend);
    if (found == m_backends.end())
        return;
    found->second->load = load;
    found->second->loadAt = now;
    found->second->noteSlowness(load.slownessPercent, now);
    found->second->sentTokens = 0;
    found->second->sentRequests = 0;
}

void BackendTable::noteKvTransferFailed(const BackendId &prefillEngine, const BackendId &responder,
                                        TimePoint now)
{
    for (const BackendId &id : {prefillEngine, responder}) {
        const auto found = m_backends.find(id);
        if (found == m_backends.end())
            continue;
        Backend &backend = *found->second;
        const double failuresLeft = backend.kvTransferPenaltyMs(now) / KvTransferFailureMs;
        backend.kvTransferFailures = std::min(failuresLeft + 1, MaxKvTransferFailures);
        backend.kvTransferFailedAt = now;
    }
}

bool BackendTable::noteReport(const ReportedLoad &load, TimePoint takenAt)
{
    const auto found = m_backends.find(load.engine);
    if (found == m_backends.end())
        return false;
    Backend &backend = *found->second;
    const TimePoint at = takenAt - ReportLag;
    if (load.silent)
        return !backend.silent && backend.lastContactAt < takenAt;
    if (load.stage != ReportedStage::Unknown && takenAt > backend.stageReportedAt) {
        backend.reportedStage = load.stage;
        backend.stageReportedAt = takenAt;
    }
    setStage(backend, takenAt);
    if (load.speed > 0)
        backend.speed = load.speed;
    backend.noteSlowness(load.slownessPercent, at);
    if (load.changing)
        backend.avoidUntil = std::max(backend.avoidUntil, takenAt + StageChangePause);
    if (at <= backend.loadAt)
        return false;
    backend.load = {load.running, load.waiting, backend.server.slots, load.slownessPercent};
    backend.loadAt = at;
    backend.sentTokens = 0;
    backend.sentRequests = 0;
    return false;
}

void BackendTable::noteMisdirected(const BackendId &backend, TimePoint now)
{
    const auto found = m_backends.find(backend);
    if (found == m_backends.end())
        return;
    found->second->avoidUntil = now + MisdirectedPause;
    logInfo("backend_misdirected",
            {{"backend", backend.value()}, {"prefill", found->second->server.prefillOnly ? 1 : 0}});
}

void BackendTable::noteSilent(const BackendId &backend, bool silent, TimePoint now)
{
    const auto found = m_backends.find(backend);
    if (found == m_backends.end() || found->second->silent == silent)
        return;
    found->second->silent = silent;
    logInfo(silent ? "backend_lost" : "backend_regained",
            {{"backend", backend.value()},
             {"open", found->second->open},
             {"load_age_ms",
              found->second->loadAt == TimePoint{} ? -1
                                                   : toMilliseconds(now - found->second->loadAt)}});
}

std::optional<Duration> BackendTable::timeSinceContact(const BackendId &backend,
                                                       TimePoint now) const
{
    const auto found = m_backends.find(backend);
    if (found == m_backends.end() || found->second->lastContactAt == TimePoint{})
        return std::nullopt;
    return now - found->second->lastContactAt;
}

void BackendTable::noteContact(const BackendId &backend, TimePoint now)
{
    const auto found = m_backends.find(backend);
    if (found != m_backends.end())
        found->second->lastContactAt = now;
}

void BackendTable::noteLeaving(const BackendId &backend)
{
    Backend *leaving = findBackend(backend);
    if (!leaving || std::exchange(leaving->leaving, true))
        return;
    logInfo("backend_leaving",
            {{"backend", backend.value()},
             {"open", leaving->open},
             {"listed_draining", leaving->server.draining ? 1 : 0}});
}

void BackendTable::noteLimit(const BackendId &backend, std::optional<double> perSecond,
                             TimePoint now)
{
    Backend *found = findBackend(backend);
    if (!found)
        return;
    if (perSecond || found->limit.perSecond)
        found->limitObservedAt = now;
    setLimit(*found, perSecond, now, "answer", now);
}

void BackendTable::setLimit(Backend &backend, std::optional<double> perSecond, TimePoint statedAt,
                            std::string_view source, TimePoint now)
{
    RequestLimit &limit = backend.limit;
    limit.statedAt = statedAt;
    const std::optional<double> former = std::exchange(limit.perSecond, perSecond);
    if (former == perSecond)
        return;
    backend.allowance.setLimit(perSecond, m_instances, now);
    logInfo("backend_limit",
            {{"backend", limit.server.value()},
             {"per_second_milli", thousandthsOf(perSecond)},
             {"former_milli", thousandthsOf(former)},
             {"source", source},
             {"age_ms", toMilliseconds(now - statedAt)},
             {"sent_under_limit", former ? backend.sentUnderLimit : 0},
             {"open", backend.open}});
    if (!former)
        backend.sentUnderLimit = 0;
}

void BackendTable::publish(const LimitTable &table, TimePoint now)
{
    for (const RequestLimit &limit : table.limits) {
        Backend *backend = findBackend(limit.server);
        if (!backend || backend->limit.startedAtMs != limit.startedAtMs)
            continue;
        if (limit.statedAt > backend->limit.statedAt)
            setLimit(*backend, limit.perSecond, limit.statedAt, "registry", now);
        if (limit.perSecond)
            backend->allowance.noteTable(table.grantedAt, m_instances, now);
    }
    for (const LimitGrant &grant : table.grants) {
        Backend *backend = findBackend(grant.server);
        if (backend && backend->limit.startedAtMs == grant.startedAtMs)
            backend->allowance.applyGrant(grant.account, grant.total, m_instances, now);
    }
}

void BackendTable::expireLimits(TimePoint now)
{
    for (const auto &[id, backend] : m_backends) {
        const TimePoint confirmedAt
            = std::max(backend->limit.statedAt, backend->allowance.tableAt());
        if (backend->limit.perSecond && now - confirmedAt > UnconfirmedLimitLifetime)
            setLimit(*backend, std::nullopt, backend->limit.statedAt, "unconfirmed", now);
    }
}

std::vector<RequestLimit> BackendTable::statedLimits(TimePoint now) const
{
    std::vector<RequestLimit> limits;
    for (const auto &[id, backend] : m_backends) {
        if (backend->limitObservedAt != TimePoint{}
            && now - backend->limitObservedAt <= LimitReportTime)
            limits.push_back(backend->limit);
    }
    return limits;
}

bool BackendTable::knowsLimits() const
{
    return std::any_of(m_backends.begin(), m_backends.end(),
                       [](const auto &entry) { return entry.second->allowance.isLimited(); });
}

bool BackendTable::isLimited(const BackendId &backend) const
{
    const Backend *found = findBackend(backend);
    return found && found->allowance.isLimited();
}

std::vector<LimitHolding> BackendTable::limitHoldings(TimePoint now) const
{
    std::vector<LimitHolding> holdings;
    for (const auto &[id, backend] : m_backends) {
        const LimitAllowance &allowance = backend->allowance;
        if (!allowance.isLimited())
            continue;
        const double remaining = allowance.remaining(m_instances, now);
        if (allowance.account() != 0 || remaining > 0)
            holdings.push_back({id, backend->limit.startedAtMs, allowance.account(),
                                allowance.applied(), remaining});
    }
    return holdings;
}

bool BackendTable::takeAllowance(const BackendId &backend, TimePoint now)
{
    Backend *found = findBackend(backend);
    if (!found)
        return true;
    if (!found->allowance.mayTake(m_instances, now))
        return false;
    found->allowance.take(m_instances, now);
    return true;
}

std::optional<BackendTable::LimitWait> BackendTable::limitWait(const std::string &service,
                                                               TimePoint now) const
{
    // Prefill engines and the servers that answer; a prompt needs one of each.
    std::array<std::optional<LimitWait>, 2> waits;
    std::array<bool, 2> hasPlace{};
    for (const auto &[id, backend] : m_backends) {
        if (backend->server.service != service || !backend->takesWork(now) || backend->silent)
            continue;
        const std::size_t stage = backend->server.prefillOnly ? 1 : 0;
        hasPlace[stage] = hasPlace[stage] || backend->allowance.mayTake(m_instances, now);
        LimitWait &wait = waits[stage] ? *waits[stage] : waits[stage].emplace(NextGrantTime, 0);
        wait.untilNext
            = std::min(wait.untilNext,
                       backend->allowance.timeToNext(m_instances, now).value_or(wait.untilNext));
        wait.perSecond += backend->allowance.rate(m_instances, now);
    }
    std::optional<LimitWait> longest;
    for (std::size_t stage = 0; stage < waits.size(); ++stage) {
        if (waits[stage] && !hasPlace[stage]
            && (!longest || waits[stage]->untilNext > longest->untilNext))
            longest = waits[stage];
    }
    return longest;
}

void BackendTable::noteHold(const BackendId &backend, Duration time, TimePoint now)
{
    Backend *held = findBackend(backend);
    if (!held || now + time <= held->heldUntil)
        return;
    held->heldUntil = now + time;
    logInfo("backend_held",
            {{"backend", backend.value()}, {"ms", toMilliseconds(time)}, {"open", held->open}});
}

bool BackendTable::isHeld(const BackendId &backend, TimePoint now) const
{
    const Backend *found = findBackend(backend);
    return found && now < found->heldUntil;
}

std::optional<Duration> BackendTable::holdLeft(const std::string &service, TimePoint now) const
{
    std::optional<Duration> left;
    for (const auto &[id, backend] : m_backends) {
        if (backend->server.service != service || backend->server.draining || backend->leaving)
            continue;
        if (now >= backend->heldUntil)
            return std::nullopt;
        left = std::min(left.value_or(Duration::max()), Duration(backend->heldUntil - now));
    }
    return left;
}

bool BackendTable::takesWork(const BackendId &backend, TimePoint now) const
{
    const Backend *found = findBackend(backend);
    return found && found->takesWork(now);
}

bool BackendTable::isSilent(const BackendId &backend) const
{
    const auto found = m_backends.find(backend);
    return found != m_backends.end() && found->second->silent;
}

std::size_t BackendTable::readyServers(const std::string &service) const
{
    return static_cast<std::size_t>(
        std::count_if(m_backends.begin(), m_backends.end(), [&](const auto &entry) {
            return entry.second->server.service == service && !entry.second->server.draining
                && !entry.second->leaving;
        }));
}

std::optional<HttpAddress> BackendTable::addressOf(const BackendId &backend) const
{
    const auto found = m_backends.find(backend);
    if (found == m_backends.end())
        return std::nullopt;
    return HttpAddress{found->second->server.host, found->second->server.port};
}

} // namespace gentianramp
