#include <gentianramp/registry/stage_keeper.hpp>

#include <algorithm>
#include <cmath>

namespace gentianramp {

namespace {

/// With fewer engines each of them reads and decodes.
constexpr std::size_t FewestEngines = 3;
/// A data centre with fewer engines can't spare one for decoding.
constexpr std::size_t FewestPerSite = 2;

} // namespace

StageKeeper::StageKeeper(StageOptions options)
    : m_options(options)
{ }

bool StageKeeper::effectiveStage(const ListedServer &engine, TimePoint now) const
{
    const auto given = m_given.find(engine.id);
    if (given != m_given.end() && now - given->second.at < m_options.settleTime)
        return given->second.prefill;
    return engine.prefillOnly;
}

bool StageKeeper::changing(const ListedServer &engine, TimePoint now) const
{
    const auto given = m_given.find(engine.id);
    return given != m_given.end() && now - given->second.at < m_options.settleTime
        && given->second.prefill != engine.prefillOnly;
}

std::vector<StageOrder> StageKeeper::decide(const BackendListing &listing, const LoadReports &loads,
                                            TimePoint now)
{
    std::map<BackendId, std::uint32_t> work;
    for (const ReportedLoad &load : loads.engines)
        work[load.engine] = load.running + load.waiting;
    const WorkHook workOf = [&](const ListedServer &engine) -> std::uint32_t {
        const auto found = work.find(engine.id);
        return found == work.end() ? 0U : found->second;
    };

    std::erase_if(m_given, [&](const auto &entry) {
        return now - entry.second.at >= m_options.engineInterval;
    });
    std::map<std::string, std::vector<const ListedServer *>> services;
    for (const ListedServer &server : listing.servers) {
        if (server.engine && !server.draining)
            services[server.service].push_back(&server);
    }
    std::vector<StageOrder> orders;
    for (const auto &[service, engines] : services) {
        if (engines.size() < FewestEngines)
            continue;
        keepShare(engines, workOf, now, orders);
        keepEachSiteDecoding(engines, workOf, now, orders);
    }
    return orders;
}

void StageKeeper::order(const ListedServer &engine, bool prefill, TimePoint now,
                        std::vector<StageOrder> &orders)
{
    m_given[engine.id] = {prefill, now};
    orders.push_back({engine, prefill});
}

void StageKeeper::keepShare(const Engines &engines, const WorkHook &workOf, TimePoint now,
                            std::vector<StageOrder> &orders)
{
    std::map<DataCentreId, std::ptrdiff_t> decodingPerSite;
    std::ptrdiff_t prefill = 0;
    for (const ListedServer *engine : engines) {
        const bool reads = effectiveStage(*engine, now);
        decodingPerSite[engine->dataCentre] += reads ? 0 : 1;
        prefill += reads ? 1 : 0;
    }
    const std::size_t decoding = std::max<std::size_t>(
        std::lround(static_cast<double>(engines.size()) * m_options.decodeShare),
        std::min(m_options.fewestDecoding, engines.size() / 3));
    const auto wanted = static_cast<std::ptrdiff_t>(engines.size() - decoding);
    if (prefill <= wanted && prefill + static_cast<std::ptrdiff_t>(m_options.surplus) >= wanted)
        return;
    const bool more = prefill < wanted;
    for (std::ptrdiff_t left = std::abs(wanted - prefill); left > 0; --left) {
        // The data centre with the most (or fewest) decoding engines changes first.
        const ListedServer *best = nullptr;
        for (const ListedServer *engine : engines) {
            if (effectiveStage(*engine, now) == more || m_given.contains(engine->id))
                continue;
            const std::ptrdiff_t here = decodingPerSite[engine->dataCentre];
            const std::ptrdiff_t there = best ? decodingPerSite[best->dataCentre] : 0;
            if (!best || (more ? here > there : here < there)
                || (here == there && workOf(*engine) < workOf(*best)))
                best = engine;
        }
        if (!best)
            return;
        decodingPerSite[best->dataCentre] += more ? -1 : 1;
        order(*best, more, now, orders);
    }
}

/// A data centre that is cut off has to decode by itself.
void StageKeeper::keepEachSiteDecoding(const Engines &engines, const WorkHook &workOf,
                                       TimePoint now, std::vector<StageOrder> &orders)
{
    struct Site
    {
        std::size_t decoding = 0;
        Engines reading;
    };
    std::map<DataCentreId, Site> sites;
    for (const ListedServer *engine : engines) {
        Site &site = sites[engine->dataCentre];
        if (effectiveStage(*engine, now))
            site.reading.push_back(engine);
        else
            ++site.decoding;
    }
    for (const auto &[name, site] : sites) {
        if (site.decoding > 0 || site.reading.size() < FewestPerSite)
            continue;
        const ListedServer *best = nullptr;
        for (const ListedServer *engine : site.reading) {
            if (!m_given.contains(engine->id) && (!best || workOf(*engine) < workOf(*best)))
                best = engine;
        }
        if (best)
            order(*best, false, now, orders);
    }
}

} // namespace gentianramp
