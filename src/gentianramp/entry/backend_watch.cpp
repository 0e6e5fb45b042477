#include "backend_watch.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <charconv>
#include <gentianramp/core/log.hpp>
#include <gentianramp/engine/backend_client.hpp>
#include <nlohmann/json.hpp>
#include <set>

namespace gentianramp {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

constexpr Duration ReadInterval = std::chrono::milliseconds(500);
constexpr Duration RemoteReadInterval = std::chrono::seconds(1);
constexpr Duration RefreshPollInterval = std::chrono::milliseconds(10);
constexpr std::size_t MaxWatchedRemote = 64;
constexpr Duration ReadTimeout = std::chrono::milliseconds(1000);
constexpr unsigned FailuresUntilUnreachable = 2;
constexpr std::size_t MaxAnswerBytes = 1024 * 1024;
constexpr int HexBase = 16;

LoadReport toLoadReport(const json &answer, TimePoint now)
{
    LoadReport report;
    report.takenAt = now - std::chrono::milliseconds(answer.value("age_ms", 0));
    report.running = answer.value("running", 0U);
    report.queued = answer.value("queued", 0U);
    report.promptTokens = answer.value("queued_prompt_tokens", 0ULL);
    report.outputTokens = answer.value("outstanding_tokens", 0ULL);
    report.kvTokens = answer.value("kv_tokens", 0ULL);
    report.kvCapacityTokens = answer.value("kv_capacity_tokens", 0ULL);
    return report;
}

BackendPhase statedPhase(const json &state)
{
    const auto phase = state.find("phase");
    if (phase == state.end() || !phase->is_string())
        return BackendPhase::Serving;
    return parseBackendPhase(phase->get_ref<const std::string &>()).value_or(BackendPhase::Serving);
}

CacheEvent toCacheEvent(const json &entry)
{
    CacheEvent event;
    event.sequence = entry.value("seq", 0ULL);
    event.stored = entry.value("kind", std::string()) == "stored";
    event.tokens = entry.value("tokens", 0U);
    const std::string prefix = entry.value("prefix", std::string());
    std::from_chars(prefix.data(), prefix.data() + prefix.size(), event.prefix, HexBase);
    return event;
}

} // namespace

BackendWatch::BackendWatch(asio::any_io_executor executor, Router &router, HttpClient &client,
                           TimelineWriter &timeline, DataCentreId site)
    : m_executor(std::move(executor))
    , m_router(router)
    , m_client(client)
    , m_timeline(timeline)
    , m_site(std::move(site))
{ }

bool BackendWatch::mayWatch(const BackendView &view) const
{
    const auto remoteCount = std::ranges::count_if(
        m_watched, [this](const auto &entry) { return !isLocal(entry.second->view); });
    return isLocal(view) || static_cast<std::size_t>(remoteCount) < MaxWatchedRemote;
}

void BackendWatch::setFleet(const FleetView &fleet)
{
    if (m_stopped)
        return;
    std::set<BackendId> listed;
    for (const BackendView &view : fleet.backends) {
        listed.insert(view.id);
        std::shared_ptr<Watched> &watched = m_watched[view.id];
        const bool same
            = watched && watched->view.host == view.host && watched->view.port == view.port;
        if (same) {
            watched->view = view;
            continue;
        }
        if (watched)
            watched->active = false;
        watched = std::make_shared<Watched>();
        watched->view = view;
        if (mayWatch(view))
            asio::co_spawn(m_executor, watch(watched), asio::detached);
    }
    std::erase_if(m_watched, [&](const auto &entry) {
        const bool gone = entry.second->view.site == fleet.site && !listed.contains(entry.first);
        if (gone)
            entry.second->active = false;
        return gone;
    });
}

asio::awaitable<void> BackendWatch::refresh()
{
    const auto self = shared_from_this();
    for (const auto &[id, watched] : m_watched) {
        ++m_refreshing;
        asio::co_spawn(m_executor, refreshOne(watched), asio::detached);
    }
    while (m_refreshing > 0)
        co_await sleepFor(RefreshPollInterval);
}

asio::awaitable<void> BackendWatch::refreshOne(std::shared_ptr<Watched> watched)
{
    const auto self = shared_from_this();
    co_await readState(*watched);
    --m_refreshing;
}

void BackendWatch::stop()
{
    m_stopped = true;
    for (const auto &[id, watched] : m_watched)
        watched->active = false;
    m_watched.clear();
}

bool BackendWatch::updatePhase(const BackendId &backend, BackendPhase phase)
{
    const auto found = m_watched.find(backend);
    if (found == m_watched.end() || found->second->phase == phase)
        return false;
    setPhase(*found->second, phase);
    return true;
}

void BackendWatch::setPhase(Watched &watched, BackendPhase phase)
{
    if (phase != watched.phase) {
        TimelineEvent event;
        event.kind = phase == BackendPhase::Serving ? EventKind::BackendHealthy
            : phase == BackendPhase::Unreachable    ? EventKind::BackendUnhealthy
                                                    : EventKind::BackendLeaving;
        event.peer = watched.view.id.value();
        event.detail = toString(phase);
        m_timeline.record(std::move(event));
        logInfo("backend_phase",
                {{"backend", watched.view.id.value()}, {"phase", toString(phase)}});
    }
    const bool recovered = watched.phase != BackendPhase::Serving && phase == BackendPhase::Serving;
    watched.phase = phase;
    if (phase != BackendPhase::Serving)
        m_router.markPhase(watched.view.id, phase, RuntimeClock::now());
    else if (recovered)
        m_router.markPhase(watched.view.id, watched.view.phase, RuntimeClock::now());
}

asio::awaitable<void> BackendWatch::watch(std::shared_ptr<Watched> watched)
{
    const auto self = shared_from_this();
    while (watched->active) {
        const bool reached = co_await readState(*watched);
        const bool local = isLocal(watched->view);
        if (local && reached && watched->active)
            co_await readLoad(*watched);
        if (local && reached && watched->active && !watched->view.models.empty())
            co_await readCacheEvents(*watched);
        co_await sleepFor(local ? ReadInterval : RemoteReadInterval);
    }
}

asio::awaitable<bool> BackendWatch::readState(Watched &watched)
{
    const HttpAddress address{watched.view.host, watched.view.port};
    const Result<std::string> body = co_await read(address, "/engine/state");
    const json state = json::parse(body ? *body : std::string(), nullptr, false);
    const bool reached = body && state.is_object();
    if (!watched.active)
        co_return false;
    if (reached) {
        watched.failures = 0;
        setPhase(watched, statedPhase(state));
        co_return true;
    }
    ++watched.failures;
    // A leaving backend server is expected to stop answering: it stays Leaving, and is marked again
    // in case a fleet table has reset its phase at the router.
    const bool leaving = watched.phase == BackendPhase::Leaving;
    if (leaving || watched.failures >= FailuresUntilUnreachable)
        setPhase(watched, leaving ? BackendPhase::Leaving : BackendPhase::Unreachable);
    co_return false;
}

asio::awaitable<void> BackendWatch::readLoad(const Watched &watched)
{
    const HttpAddress address{watched.view.host, watched.view.port};
    const Result<std::string> body = co_await read(address, "/engine/load");
    const json answer = json::parse(body ? *body : std::string(), nullptr, false);
    if (!answer.is_object())
        co_return;
    try {
        const TimePoint now = RuntimeClock::now();
        m_router.applyLoad(watched.view.id, toLoadReport(answer, now), now);
    } catch (const json::exception &problem) {
        logWarning("malformed_load",
                   {{"backend", watched.view.id.value()}, {"error", problem.what()}});
    }
}

asio::awaitable<void> BackendWatch::readCacheEvents(Watched &watched)
{
    const HttpAddress address{watched.view.host, watched.view.port};
    const std::string target
        = "/engine/cache-events?after=" + std::to_string(watched.nextCacheEvent);
    const Result<std::string> body = co_await read(address, target);
    const json answer = json::parse(body ? *body : std::string(), nullptr, false);
    if (!answer.is_object())
        co_return;
    try {
        CacheEvents events;
        events.restarted = answer.value("restarted", false);
        for (const json &entry : answer.value("events", json::array()))
            events.events.push_back(toCacheEvent(entry));
        watched.nextCacheEvent = answer.value("next", watched.nextCacheEvent);
        m_router.applyCacheEvents(watched.view.id, events, RuntimeClock::now());
    } catch (const json::exception &problem) {
        logWarning("malformed_cache_events",
                   {{"backend", watched.view.id.value()}, {"error", problem.what()}});
    }
}

asio::awaitable<Result<std::string>> BackendWatch::read(HttpAddress address, std::string target)
{
    HttpCall call;
    call.address = std::move(address);
    call.request.target = std::move(target);
    call.connectTimeout = ReadTimeout;
    call.headTimeout = ReadTimeout;
    call.silenceTimeout = ReadTimeout;
    call.maxBodyBytes = MaxAnswerBytes;
    Result<HttpResponse> response = co_await m_client.request(std::move(call));
    if (!response)
        co_return Result<std::string>(response.error());
    if (response->status != 200)
        co_return Result<std::string>(Error::Unavailable);
    co_return Result<std::string>(std::move(response).value().body);
}

} // namespace gentianramp
