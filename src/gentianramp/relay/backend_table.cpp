#include <gentianramp/relay/backend_table.hpp>

#include <algorithm>
#include <cmath>
#include <gentianramp/core/log.hpp>
#include <unordered_map>

#include "gentianramp/routing/circuit_breaker.hpp"

namespace gentianramp {

namespace {

/// Prompt tokens that an engine reads in a millisecond between the tokens of other requests; the
/// start value of what is learnt. Half of the 64 that the engines' sheet gives for reading alone.
constexpr double ReadTokensPerMs = 32;
/// A stated load says little about the present after it.
constexpr Duration LoadMemory = std::chrono::milliseconds(1500);
/// Reading time that a request waiting at an engine stands for.
constexpr double WaitingRequestMs = 40;
/// Running requests slow each other; a hundredth of a wait for each.
constexpr double RunningRequestMs = 0.5;
/// Engines keep a part for about that long when they are busy: the window in which users expect a
/// shared part to be found again.
constexpr Duration PartMemory = std::chrono::seconds(9);
constexpr std::size_t MaxParts = 2048;
/// Of the connections that a backend server takes, to leave room for checks and other callers.
constexpr double ConnectionShare = 0.85;
constexpr double OtherSiteMs = 3;
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
    std::uint32_t open = 0;     ///< Requests of this instance.
    double unreadTokens = 0;    ///< Of requests of this instance without a first event.
    StatedLoad load;
    TimePoint loadAt{};
    std::unordered_map<std::uint64_t, TimePoint> parts; ///< Sent there, with the last use.

    bool fresh(TimePoint now) const { return loadAt != TimePoint{} && now - loadAt < LoadMemory; }

    double loadWeight(TimePoint now) const
    {
        if (!fresh(now))
            return 0;
        return 1.0 - std::chrono::duration<double>(now - loadAt) / LoadMemory;
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
{ }

BackendTable::~BackendTable() = default;

void BackendTable::publish(const BackendListing &listing)
{
    std::map<BackendId, std::unique_ptr<Backend>> next;
    for (const ListedServer &server : listing.servers) {
        std::unique_ptr<Backend> backend;
        const auto found = m_backends.find(server.id);
        const bool sameLife = found != m_backends.end()
            && found->second->server.bornMs == server.bornMs
            && found->second->server.host == server.host
            && found->second->server.port == server.port;
        if (sameLife) {
            backend = std::move(found->second);
        } else {
            backend = std::make_unique<Backend>();
            backend->life = ++m_lives;
            backend->hash = mix(std::hash<std::string>{}(server.id.value()));
        }
        backend->server = server;
        next.emplace(server.id, std::move(backend));
    }
    m_backends = std::move(next);
}

void BackendTable::setConnectionBound(const std::string &service, std::uint32_t connections)
{
    m_connectionBounds[service] = connections;
}

bool BackendTable::usable(const Backend &backend, const PlacementRequest &request,
                          TimePoint now) const
{
    if (backend.server.service != request.service || backend.server.draining || backend.silent
        || !backend.breaker.mayAllow(request.repeatable, now))
        return false;
    if (request.prompt && backend.server.prefillOnly)
        return false;
    const auto bound = m_connectionBounds.find(request.service);
    if (bound != m_connectionBounds.end() && bound->second > 0) {
        const double share = ConnectionShare * bound->second / m_instances;
        if (backend.open + 1 > std::max(share, 1.0))
            return false;
    }
    return std::find(request.excluded.begin(), request.excluded.end(), backend.server.id)
        == request.excluded.end();
}

/// Expected milliseconds until the first event.
double BackendTable::promptCost(const Backend &backend, const PlacementRequest &request, bool home,
                                std::uint32_t &unread, TimePoint now) const
{
    const std::vector<PromptPart> &parts = request.prompt->parts;
    std::size_t cached = 0;
    while (cached < parts.size() && backend.holds(parts[cached].id, now))
        ++cached;
    // Other instances send there what this one would, so its shared parts are probably cached.
    if (home && parts.size() > 1)
        cached = std::max(cached, parts.size() - 1);
    unread = 0;
    for (std::size_t index = cached; index < parts.size(); ++index)
        unread += parts[index].tokens;
    const double weight = backend.loadWeight(now);
    double cost = (unread + backend.unreadTokens) / ReadTokensPerMs;
    cost += weight
        * (backend.load.waiting * WaitingRequestMs + backend.load.running * RunningRequestMs);
    if (backend.server.dataCentre != m_options.dataCentre)
        cost += OtherSiteMs;
    return cost;
}

/// Share of a backend server's slots that is taken.
double BackendTable::plainCost(const Backend &backend, TimePoint now) const
{
    const double slots = std::max(backend.server.slots, 1U);
    const double stated = backend.loadWeight(now) * (backend.load.running + 2 * backend.load.waiting);
    double cost = (backend.open + stated) / slots;
    if (backend.server.dataCentre != m_options.dataCentre)
        cost += OtherSiteLoad;
    return cost;
}

std::optional<PlacedRequest> BackendTable::choose(const PlacementRequest &request, TimePoint now)
{
    const std::uint64_t key = request.prompt ? request.prompt->sharedKey() : 0;
    const Backend *home = nullptr;
    std::vector<Backend *> usableBackends;
    for (const auto &[id, backend] : m_backends) {
        if (!usable(*backend, request, now))
            continue;
        usableBackends.push_back(backend.get());
        if (!home || mix(key ^ backend->hash) > mix(key ^ home->hash))
            home = backend.get();
    }
    if (usableBackends.empty())
        return std::nullopt;
    m_random = mix(m_random + MixA);
    Backend *best = nullptr;
    double bestCost = 0;
    std::uint32_t bestUnread = 0;
    for (std::size_t step = 0; step < usableBackends.size(); ++step) {
        Backend *backend = usableBackends[(m_random + step) % usableBackends.size()];
        std::uint32_t unread = 0;
        const double cost = request.prompt
            ? promptCost(*backend, request, backend == home, unread, now)
            : plainCost(*backend, now);
        if (!best || cost < bestCost) {
            best = backend;
            bestCost = cost;
            bestUnread = unread;
        }
    }
    if (!best->breaker.allow(request.repeatable, now))
        return std::nullopt;
    PlacedRequest placed;
    placed.backend = best->server.id;
    placed.address = {best->server.host, best->server.port};
    placed.unreadTokens = bestUnread;
    placed.life = best->life;
    if (request.prompt)
        placed.expectedWait = std::chrono::microseconds(static_cast<std::int64_t>(bestCost * 1000));
    return placed;
}

BackendTable::Backend *BackendTable::find(const PlacedRequest &placed)
{
    const auto found = m_backends.find(placed.backend);
    if (found == m_backends.end() || found->second->life != placed.life)
        return nullptr;
    return found->second.get();
}

void BackendTable::sent(const PlacedRequest &placed, const PromptShape *prompt, TimePoint now)
{
    Backend *backend = find(placed);
    if (!backend)
        return;
    ++backend->open;
    backend->unreadTokens += placed.unreadTokens;
    if (prompt)
        backend->remember(*prompt, now);
}

void BackendTable::answered(const PlacedRequest &placed, TimePoint)
{
    if (Backend *backend = find(placed))
        backend->unreadTokens = std::max(backend->unreadTokens - placed.unreadTokens, 0.0);
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
