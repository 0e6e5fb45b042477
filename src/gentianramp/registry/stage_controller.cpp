#include <gentianramp/registry/stage_controller.hpp>

#include <algorithm>
#include <cmath>

namespace gentianramp {

namespace {

/// In a smaller service, each engine does both prefill and decode.
constexpr std::size_t MinEngines = 3;
/// A data centre with fewer engines can't dedicate one to decoding.
constexpr std::size_t MinEnginesPerSite = 2;

} // namespace

StageController::StageController(StageOptions options)
    : m_options(options)
{ }

bool StageController::isPrefilling(const ListedServer &engine, TimePoint now) const
{
    const auto issued = m_issuedOrders.find(engine.id);
    if (issued != m_issuedOrders.end()
        && now - issued->second.issuedAt < m_options.orderVisibleTimeout)
        return issued->second.prefill;
    return engine.prefillOnly;
}

bool StageController::changing(const ListedServer &engine, TimePoint now) const
{
    const auto issued = m_issuedOrders.find(engine.id);
    return issued != m_issuedOrders.end()
        && now - issued->second.issuedAt < m_options.orderVisibleTimeout
        && issued->second.prefill != engine.prefillOnly;
}

std::vector<StageOrder> StageController::decide(const BackendListing &listing,
                                                const LoadReports &loads, TimePoint now)
{
    std::map<BackendId, std::uint32_t> work;
    for (const ReportedLoad &load : loads.engines)
        work[load.engine] = load.running + load.waiting;
    const WorkHook workOf = [&](const ListedServer &engine) -> std::uint32_t {
        const auto found = work.find(engine.id);
        return found == work.end() ? 0U : found->second;
    };

    std::erase_if(m_issuedOrders, [&](const auto &entry) {
        return now - entry.second.issuedAt >= m_options.minOrderInterval;
    });
    std::map<std::string, std::vector<const ListedServer *>> services;
    for (const ListedServer &server : listing.servers) {
        if (server.engine && !server.draining)
            services[server.service].push_back(&server);
    }
    std::vector<StageOrder> orders;
    for (const auto &[service, engines] : services) {
        if (engines.size() < MinEngines)
            continue;
        adjustDecodeShare(engines, workOf, now, orders);
        ensureDecodingAtEachSite(engines, workOf, now, orders);
    }
    return orders;
}

void StageController::order(const ListedServer &engine, bool prefill, TimePoint now,
                            std::vector<StageOrder> &orders)
{
    m_issuedOrders[engine.id] = {prefill, now};
    orders.push_back({engine, prefill});
}

void StageController::adjustDecodeShare(const Engines &engines, const WorkHook &workOf,
                                        TimePoint now, std::vector<StageOrder> &orders)
{
    std::map<DataCentreId, std::ptrdiff_t> decodingPerSite;
    std::ptrdiff_t prefill = 0;
    for (const ListedServer *engine : engines) {
        const bool prefills = isPrefilling(*engine, now);
        decodingPerSite[engine->dataCentre] += prefills ? 0 : 1;
        prefill += prefills ? 1 : 0;
    }
    const std::size_t decoding = std::max<std::size_t>(
        std::lround(static_cast<double>(engines.size()) * m_options.decodeShare),
        std::min(m_options.minDecodingEngines, engines.size() / 3));
    const auto wanted = static_cast<std::ptrdiff_t>(engines.size() - decoding);
    if (prefill <= wanted
        && prefill + static_cast<std::ptrdiff_t>(m_options.toleratedSurplus) >= wanted)
        return;
    const bool needMorePrefill = prefill < wanted;
    for (std::ptrdiff_t left = std::abs(wanted - prefill); left > 0; --left) {
        // New prefill engines come from the data centre with the most decoding engines, new
        // decoding engines from the one with the fewest. The least loaded engine changes first.
        const ListedServer *best = nullptr;
        for (const ListedServer *engine : engines) {
            if (isPrefilling(*engine, now) == needMorePrefill
                || m_issuedOrders.contains(engine->id))
                continue;
            const std::ptrdiff_t engineSiteDecoding = decodingPerSite[engine->dataCentre];
            const std::ptrdiff_t bestSiteDecoding = best ? decodingPerSite[best->dataCentre] : 0;
            if (!best
                || (needMorePrefill ? engineSiteDecoding > bestSiteDecoding
                                    : engineSiteDecoding < bestSiteDecoding)
                || (engineSiteDecoding == bestSiteDecoding && workOf(*engine) < workOf(*best)))
                best = engine;
        }
        if (!best)
            return;
        decodingPerSite[best->dataCentre] += needMorePrefill ? -1 : 1;
        order(*best, needMorePrefill, now, orders);
    }
}

/// Each data centre needs a decoding engine, since a network partition can isolate it.
void StageController::ensureDecodingAtEachSite(const Engines &engines, const WorkHook &workOf,
                                               TimePoint now, std::vector<StageOrder> &orders)
{
    struct Site
    {
        std::size_t decoding = 0;
        Engines prefilling;
    };
    std::map<DataCentreId, Site> sites;
    for (const ListedServer *engine : engines) {
        Site &site = sites[engine->dataCentre];
        if (isPrefilling(*engine, now))
            site.prefilling.push_back(engine);
        else
            ++site.decoding;
    }
    for (const auto &[name, site] : sites) {
        if (site.decoding > 0 || site.prefilling.size() < MinEnginesPerSite)
            continue;
        const ListedServer *best = nullptr;
        for (const ListedServer *engine : site.prefilling) {
            if (!m_issuedOrders.contains(engine->id) && (!best || workOf(*engine) < workOf(*best)))
                best = engine;
        }
        if (best)
            order(*best, false, now, orders);
    }
}

} // namespace gentianramp
