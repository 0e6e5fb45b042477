#include <gentianramp/relay/backend_table.hpp>

#include <algorithm>
#include <cmath>
#include <gentianramp/core/log.hpp>
#include <unordered_map>

#include "gentianramp/routing/circuit_breaker.hpp"

namespace gentianramp {

namespace {

/// Prompt tokens that an engine reads in a millisecond, by the engines' sheet: alone, and between
/// the tokens of other requests at half the speed.
constexpr double PrefillTokensPerMs = 64;
constexpr double MixedTokensPerMs = 32;
/// A prompt that is read apart takes one more call.
constexpr double SecondCallMs = 3;
/// Reading delays all requests behind it, and shared parts that are read at a second engine push
/// others out there; beside decoding it also stretches the pauses of all answers that run.
constexpr double OthersDelayReading = 10;
constexpr double OthersDelayMixed = 3;
/// A stated load says little about the present after it.
constexpr Duration LoadMemory = std::chrono::milliseconds(1500);
/// Reading time that a request waiting at a decoding engine stands for.
constexpr double WaitingRequestMs = 40;
/// Start value and weight of the mean length of what engines have to read of a prompt.
constexpr double FirstMeanUnread = 3000;
constexpr double MeanUnreadWeight = 0.02;
/// A report is about that old when the registry gets it.
constexpr Duration ReportLag = std::chrono::milliseconds(100);
/// Running requests slow each other; a hundredth of a wait for each.
constexpr double RunningRequestMs = 0.5;
/// Engines keep a part for about that long when they are busy: the window in which users expect a
/// shared part to be found again.
constexpr Duration PartMemory = std::chrono::seconds(9);
constexpr std::size_t MaxParts = 2048;
/// Of the connections that a backend server takes, to leave room for checks and other callers.
constexpr double ConnectionShare = 0.85;
/// An engine that changes its stage is left alone until the next reports.
constexpr Duration ChangingPause = std::chrono::milliseconds(800);
/// Engines differ in speed, and some turn slow: weight of one seen reading time, and bounds.
constexpr double SlownessWeight = 0.15;
constexpr double LeastSlowness = 0.7;
constexpr double MostSlowness = 10;
/// Shorter readings tell more about calls than about engines.
constexpr double ShortestReadingMs = 10;
/// A failed hand-over says that one of two engines moves prompts slowly; both are avoided by that
/// much for a while, and the one at fault collects more.
constexpr double HandOverFailureMs = 250;
constexpr Duration HandOverMemory = std::chrono::seconds(3);
constexpr double MostHandOverFailures = 6;
/// A server that fails part of its requests while its health is good: weight of one request in the
/// share of failures, how long that is remembered, and what it counts like in slots taken (plain
/// calls) and in a wait (prompts).
constexpr double FailureWeight = 0.3;
constexpr Duration FailureMemory = std::chrono::seconds(4);
constexpr double FailureLoad = 3;
constexpr double FailureMs = 80;
/// The list is behind by its own lag, the interval in which it is read and the feed's.
constexpr Duration MisdirectedPause = std::chrono::seconds(2);
constexpr double OtherSiteMs = 3;
/// Any decoding engine will do: one in the own data centre saves bytes between data centres.
constexpr double OtherSiteRunMs = 10;
constexpr double OtherSiteLoad = 0.5; ///< Plain calls cross to another data centre for this much.
constexpr std::uint64_t MixA = 0xbf58476d1ce4e5b9ULL; // splitmix64
constexpr std::uint64_t MixB = 0x94d049bb133111ebULL;

std::uint64_t mix(std::uint64_t value)
{
    value = (value ^ (value >> 30)) * MixA;
    value = (value ^ (value >> 27)) * MixB;
    return value ^ (value >> 31);
}

} // namespace

struct BackendTable::Backend
{
    ListedServer server;
    std::uint64_t life = 0;
    std::uint64_t hash = 0;
    CircuitBreaker breaker;
    bool silent = false;
    std::uint32_t open = 0;  ///< Requests of this instance.
    double unreadTokens = 0; ///< Of requests of this instance without a first event.
    StatedLoad load;
    TimePoint loadAt{};
    double sentTokens = 0; ///< Unread tokens that this instance sent since loadAt.
    TimePoint heardAt{};
    TimePoint avoidUntil{};
    TimePoint readsSince{};  ///< When it was first listed as reading; empty: it decodes.
    double failureShare = 0; ///< As of failedAt.
    TimePoint failedAt{};
    double slowness = 1;         ///< Seen reading times over expected ones.
    double handOverFailures = 0; ///< Fades out.
    TimePoint handOverFailedAt{};
    std::unordered_map<std::uint64_t, TimePoint> parts; ///< Sent there, with the last use.

    bool fresh(TimePoint now) const { return loadAt != TimePoint{} && now - loadAt < LoadMemory; }

    double loadWeight(TimePoint now) const
    {
        if (!fresh(now))
            return 0;
        return 1.0 - std::chrono::duration<double>(now - loadAt) / LoadMemory;
    }

    /// Share of recent requests that failed, which fades while nothing is sent.
    double failing(TimePoint now) const
    {
        return failureShare
            * std::exp(-std::chrono::duration<double>(now - failedAt) / FailureMemory);
    }

    void noteOutcome(bool failed, TimePoint now)
    {
        failureShare = failing(now) + FailureWeight * ((failed ? 1 : 0) - failing(now));
        failedAt = now;
    }

    double handOverPenaltyMs(TimePoint now) const
    {
        const double age = std::chrono::duration<double>(now - handOverFailedAt) / HandOverMemory;
        return age < 1 ? handOverFailures * HandOverFailureMs * (1 - age) : 0;
    }

    bool holds(std::uint64_t part, TimePoint now) const
    {
        const auto found = parts.find(part);
        return found != parts.end() && now - found->second < PartMemory;
    }

    void remember(const PromptShape &prompt, TimePoint now)
    {
        if (parts.size() + prompt.parts.size() > MaxParts)
            std::erase_if(parts,
                          [&](const auto &entry) { return now - entry.second >= PartMemory / 2; });
        if (parts.size() > MaxParts)
            parts.clear();
        for (const PromptPart &part : prompt.parts)
            parts[part.id] = now;
    }
};

BackendTable::BackendTable(BackendTableOptions options)
    : m_options(std::move(options))
    , m_random(mix(m_options.seed))
    , m_meanUnread(FirstMeanUnread)
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
        const bool sameLife = found != m_backends.end()
            && found->second->server.startedAtMs == server.startedAtMs
            && found->second->server.host == server.host
            && found->second->server.port == server.port;
        if (sameLife) {
            backend = std::move(found->second);
        } else {
            backend = std::make_unique<Backend>();
            backend->life = ++m_lives;
            backend->hash = mix(std::hash<std::string>{}(server.id.value()));
        }
        if (!server.prefillOnly)
            backend->readsSince = {};
        else if (backend->readsSince == TimePoint{})
            backend->readsSince = listing.takenAt;
        backend->server = server;
        next.emplace(server.id, std::move(backend));
    }
    m_backends = std::move(next);
}

void BackendTable::setService(const DeclaredService &service)
{
    m_services[service.name] = service;
}

bool BackendTable::usable(const Backend &backend, const PlacementRequest &request, bool failing,
                          TimePoint now) const
{
    if (backend.server.service != request.service || backend.server.draining || backend.silent
        || now < backend.avoidUntil || (!failing && !backend.breaker.mayAllow(true, now)))
        return false;
    const auto declared = m_services.find(request.service);
    if (declared != m_services.end() && declared->second.maxConnections > 0) {
        const double share = ConnectionShare * declared->second.maxConnections / m_instances;
        if (backend.open + 1 > std::max(share, 1.0))
            return false;
    }
    return std::find(request.excluded.begin(), request.excluded.end(), backend.server.id)
        == request.excluded.end();
}

/// Engine on which all instances keep the prompts with these shared parts, by rendezvous hashing
/// in which engines that read faster have more of them.
const BackendTable::Backend *BackendTable::homeOf(const std::vector<Backend *> &usable,
                                                  std::uint64_t key) const
{
    const Backend *home = nullptr;
    double highest = 0;
    for (const Backend *backend : usable) {
        const double draw
            = (static_cast<double>(mix(key ^ backend->hash) >> 11) + 0.5) / 9007199254740992.0;
        const double weight = backend->server.prefillOnly ? PrefillTokensPerMs : MixedTokensPerMs;
        const double score = -weight / std::log(draw);
        if (!home || score > highest) {
            home = backend;
            highest = score;
        }
    }
    return home;
}

/// Engine that was the home of these shared parts until engines came or began to leave lately, when
/// it isn't the home now: it probably still keeps them.
const BackendTable::Backend *BackendTable::formerHome(const PlacementRequest &request,
                                                      const Backend &home, TimePoint now) const
{
    std::vector<Backend *> settled;
    for (const auto &[id, backend] : m_backends) {
        const bool reads = backend->server.service == request.service && !backend->silent
            && backend->readsSince != TimePoint{} && now - backend->readsSince >= PartMemory;
        if (reads)
            settled.push_back(backend.get());
    }
    const Backend *former = homeOf(settled, request.prompt->sharedKey());
    return former == &home ? nullptr : former;
}

std::uint32_t BackendTable::unreadTokens(const Backend &backend, const PromptShape &prompt,
                                         bool home, TimePoint now) const
{
    std::size_t cached = 0;
    while (cached < prompt.parts.size() && backend.holds(prompt.parts[cached].id, now))
        ++cached;
    // Other instances send there what this one would, so its shared parts are probably cached.
    if (home && prompt.parts.size() > 1)
        cached = std::max(cached, prompt.parts.size() - 1);
    std::uint32_t unread = 0;
    for (std::size_t index = cached; index < prompt.parts.size(); ++index)
        unread += prompt.parts[index].tokens;
    return unread;
}

/// Expected milliseconds until the engine has read a prompt with @p unread tokens.
double BackendTable::readingMs(const Backend &backend, std::uint32_t unread, TimePoint now) const
{
    const double rate = backend.server.prefillOnly ? PrefillTokensPerMs : MixedTokensPerMs;
    double backlog = backend.unreadTokens;
    if (backend.fresh(now)) {
        // The report covers all instances; what came since then is known of this one only.
        const double reported
            = (backend.load.waiting + backend.load.running) * m_meanUnread + backend.sentTokens;
        backlog = std::max(backlog, backend.loadWeight(now) * reported);
    }
    double ms = (unread + backlog) / rate * backend.slowness + FailureMs * backend.failing(now);
    if (backend.server.dataCentre != m_options.dataCentre)
        ms += OtherSiteMs;
    return ms;
}

/// Expected milliseconds that the work running at an engine costs a new request.
double BackendTable::runningMs(const Backend &backend, TimePoint now) const
{
    double ms = backend.open * RunningRequestMs
        + backend.loadWeight(now)
            * (backend.load.running * RunningRequestMs + backend.load.waiting * WaitingRequestMs);
    if (backend.server.dataCentre != m_options.dataCentre)
        ms += OtherSiteRunMs;
    return ms + backend.handOverPenaltyMs(now) + FailureMs * backend.failing(now);
}

double BackendTable::moveMs(const std::string &service, std::uint32_t tokens) const
{
    const auto declared = m_services.find(service);
    if (declared == m_services.end() || !declared->second.engine
        || declared->second.engine->linkBitsPerSecond <= 0)
        return 0;
    const EngineTraits &engine = *declared->second.engine;
    return 8000.0 * tokens * engine.tokenBytes / engine.linkBitsPerSecond;
}

/// Share of a backend server's slots that is taken.
double BackendTable::plainCost(const Backend &backend, TimePoint now) const
{
    const double slots = std::max(backend.server.slots, 1U);
    const double stated
        = backend.loadWeight(now) * (backend.load.running + 2 * backend.load.waiting);
    double cost = (backend.open + stated) / slots + FailureLoad * backend.failing(now);
    if (backend.server.dataCentre != m_options.dataCentre)
        cost += OtherSiteLoad;
    return cost;
}

PlacedRequest BackendTable::place(const Backend &backend, std::uint32_t unread, double waitMs,
                                  TimePoint now)
{
    PlacedRequest placed;
    placed.backend = backend.server.id;
    placed.address = {backend.server.host, backend.server.port};
    placed.unreadTokens = unread;
    placed.expectedWait = std::chrono::microseconds(static_cast<std::int64_t>(waitMs * 1000));
    placed.readingMs = (unread + backend.unreadTokens)
        / (backend.server.prefillOnly ? PrefillTokensPerMs : MixedTokensPerMs);
    placed.placedAt = now;
    placed.life = backend.life;
    return placed;
}

std::optional<RequestPlacement> BackendTable::choose(const PlacementRequest &request, TimePoint now)
{
    std::vector<Backend *> usableBackends;
    // A server that keeps failing is better than none.
    for (const bool failing : {false, true}) {
        for (const auto &[id, backend] : m_backends) {
            if (usable(*backend, request, failing, now))
                usableBackends.push_back(backend.get());
        }
        if (!usableBackends.empty())
            break;
    }
    if (usableBackends.empty())
        return std::nullopt;
    m_random = mix(m_random + MixA);
    std::rotate(usableBackends.begin(),
                usableBackends.begin()
                    + static_cast<std::ptrdiff_t>(m_random % usableBackends.size()),
                usableBackends.end());
    return request.prompt ? chooseEngines(usableBackends, request, now)
                          : choosePlain(usableBackends, now);
}

std::optional<RequestPlacement> BackendTable::choosePlain(const std::vector<Backend *> &usable,
                                                          TimePoint now)
{
    Backend *best = nullptr;
    double bestCost = 0;
    for (Backend *backend : usable) {
        const double cost = plainCost(*backend, now);
        if (!best || cost < bestCost) {
            best = backend;
            bestCost = cost;
        }
    }
    best->breaker.allow(true, now);
    return RequestPlacement{place(*best, 0, 0, now), std::nullopt};
}

/// The engine that reads the prompt soonest, and the one that decodes when that doesn't.
std::optional<RequestPlacement> BackendTable::chooseEngines(const std::vector<Backend *> &usable,
                                                            const PlacementRequest &request,
                                                            TimePoint now)
{
    Backend *runner = nullptr;
    double runnerMs = 0;
    for (Backend *backend : usable) {
        const double ms = runningMs(*backend, now);
        if (!backend->server.prefillOnly && (!runner || ms < runnerMs)) {
            runner = backend;
            runnerMs = ms;
        }
    }
    if (!runner)
        return std::nullopt;
    if (request.promptRead) {
        runner->breaker.allow(true, now);
        return RequestPlacement{place(*runner, 0, runnerMs, now), std::nullopt};
    }
    std::vector<Backend *> readers;
    std::copy_if(usable.begin(), usable.end(), std::back_inserter(readers),
                 [](const Backend *backend) { return backend->server.prefillOnly; });
    const Backend *home = homeOf(readers.empty() ? usable : readers, request.prompt->sharedKey());
    const double handOverMs
        = SecondCallMs + runnerMs + moveMs(request.service, request.prompt->tokens());
    Backend *reader = nullptr;
    double readerCost = 0;
    double readerMs = 0;
    std::uint32_t readerUnread = 0;
    for (Backend *backend : usable) {
        const std::uint32_t unread = unreadTokens(*backend, *request.prompt, backend == home, now);
        const bool reads = backend->server.prefillOnly;
        if (!reads && !readers.empty())
            continue;
        const double rate = reads ? PrefillTokensPerMs : MixedTokensPerMs;
        const double ms = readingMs(*backend, unread, now)
            + (reads ? handOverMs + backend->handOverPenaltyMs(now) : runningMs(*backend, now));
        const double cost = ms + (reads ? OthersDelayReading : OthersDelayMixed) * unread / rate;
        if (!reader || cost < readerCost) {
            reader = backend;
            readerCost = cost;
            readerMs = ms;
            readerUnread = unread;
        }
    }
    const bool apart = reader->server.prefillOnly;
    Backend *answering = apart ? runner : reader;
    answering->breaker.allow(true, now);
    if (apart)
        reader->breaker.allow(true, now);
    if (!apart)
        return RequestPlacement{place(*reader, readerUnread, readerMs, now), std::nullopt};
    PlacedRequest reading = place(*reader, readerUnread, readerMs, now);
    const Backend *former = reader == home ? formerHome(request, *home, now) : nullptr;
    if (former)
        reading.fetchFrom = HttpAddress{former->server.host, former->server.port};
    return RequestPlacement{place(*runner, 0, readerMs, now), reading};
}

BackendTable::Backend *BackendTable::find(const PlacedRequest &placed)
{
    const auto found = m_backends.find(placed.backend);
    if (found == m_backends.end() || found->second->life != placed.life)
        return nullptr;
    return found->second.get();
}

void BackendTable::notSent(const PlacedRequest &placed)
{
    if (Backend *backend = find(placed))
        backend->breaker.probeAbandoned();
}

void BackendTable::sent(const PlacedRequest &placed, const PromptShape *prompt, TimePoint now)
{
    Backend *backend = find(placed);
    if (!backend)
        return;
    ++backend->open;
    backend->unreadTokens += placed.unreadTokens;
    backend->sentTokens += placed.unreadTokens;
    if (prompt && placed.unreadTokens > 0)
        m_meanUnread += MeanUnreadWeight * (placed.unreadTokens - m_meanUnread);
    if (prompt)
        backend->remember(*prompt, now);
}

void BackendTable::answered(const PlacedRequest &placed, TimePoint now)
{
    Backend *backend = find(placed);
    if (!backend)
        return;
    backend->unreadTokens = std::max(backend->unreadTokens - placed.unreadTokens, 0.0);
    if (placed.readingMs >= ShortestReadingMs)
        noteReadingTime(*backend, placed, now);
}

/// Compares a reading time with what the known backlog let expect; work of other instances that
/// was not known makes single times long, so that only the shortest ones tell about the engine.
void BackendTable::noteReadingTime(Backend &backend, const PlacedRequest &placed,
                                   TimePoint now) const
{
    const double took = std::chrono::duration<double, std::milli>(now - placed.placedAt).count();
    const double expected
        = std::max(placed.readingMs,
                   std::chrono::duration<double, std::milli>(placed.expectedWait).count()
                       / std::max(backend.slowness, 1.0));
    const double seen = std::clamp(took / expected, LeastSlowness, MostSlowness);
    backend.slowness += SlownessWeight * (seen - backend.slowness);
}

void BackendTable::ended(const PlacedRequest &placed, bool wasAnswered, SendOutcome outcome,
                         TimePoint now)
{
    Backend *backend = find(placed);
    if (!backend)
        return;
    backend->open -= std::min(backend->open, 1U);
    if (!wasAnswered)
        answered(placed, now);
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

void BackendTable::noteLoad(const BackendId &backend, const StatedLoad &load, TimePoint now)
{
    const auto found = m_backends.find(backend);
    if (found == m_backends.end())
        return;
    found->second->load = load;
    found->second->loadAt = now;
    found->second->sentTokens = 0;
}

void BackendTable::noteHandOverFailed(const BackendId &reader, const BackendId &runner,
                                      TimePoint now)
{
    for (const BackendId &id : {reader, runner}) {
        const auto found = m_backends.find(id);
        if (found == m_backends.end())
            continue;
        Backend &backend = *found->second;
        const double left = backend.handOverPenaltyMs(now) / HandOverFailureMs;
        backend.handOverFailures = std::min(left + 1, MostHandOverFailures);
        backend.handOverFailedAt = now;
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
        return !backend.silent && backend.heardAt < takenAt;
    if (load.changing)
        backend.avoidUntil = std::max(backend.avoidUntil, takenAt + ChangingPause);
    if (at <= backend.loadAt)
        return false;
    backend.load = {load.running, load.waiting, backend.server.slots};
    backend.loadAt = at;
    backend.sentTokens = 0;
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

std::optional<Duration> BackendTable::silenceOf(const BackendId &backend, TimePoint now) const
{
    const auto found = m_backends.find(backend);
    if (found == m_backends.end() || found->second->heardAt == TimePoint{})
        return std::nullopt;
    return now - found->second->heardAt;
}

void BackendTable::noteHeard(const BackendId &backend, TimePoint now)
{
    const auto found = m_backends.find(backend);
    if (found != m_backends.end())
        found->second->heardAt = now;
}

bool BackendTable::takesWork(const BackendId &backend) const
{
    const auto found = m_backends.find(backend);
    return found != m_backends.end() && !found->second->server.draining;
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
            return entry.second->server.service == service && !entry.second->server.draining;
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
