#include <gentianramp/registry/stage_controller.hpp>

#include <algorithm>
#include <cmath>

namespace gentianramp {

namespace {

/// In a smaller service, each engine does both prefill and decode.
constexpr std::size_t MinEngines = 3;
/// A data centre with fewer engines can't dedicate one to decoding.
constexpr std::size_t MinEnginesPerSite = 2;
/// Streams assumed for each prefill in progress at the first start.
constexpr double PresumedStreamsPerPrefill = 24;
/// Bound on the ratio of gains, for a stage without delays.
constexpr double MaxGainRatio = 64;

std::map<std::string, std::vector<const ListedServer *>>
enginesByService(const BackendListing &listing)
{
    std::map<std::string, std::vector<const ListedServer *>> services;
    for (const ListedServer &server : listing.servers) {
        if (server.engine && !server.draining)
            services[server.service].push_back(&server);
    }
    std::erase_if(services, [](const auto &entry) { return entry.second.size() < MinEngines; });
    return services;
}

/// Number of data centres that can dedicate an engine to decoding.
std::size_t sitesOf(const std::vector<const ListedServer *> &engines)
{
    std::map<DataCentreId, std::size_t> sizes;
    for (const ListedServer *engine : engines)
        ++sizes[engine->dataCentre];
    return static_cast<std::size_t>(
        std::count_if(sizes.begin(), sizes.end(),
                      [](const auto &entry) { return entry.second >= MinEnginesPerSite; }));
}

} // namespace

StageOptions makeStageOptions(bool startsFirst)
{
    StageOptions options;
    if (startsFirst)
        options.presumedStreamsPerPrefill = PresumedStreamsPerPrefill;
    return options;
}

double staffedUtilization(std::uint32_t servers)
{
    const double count = std::max(servers, 1U);
    // Solves a + sqrt(a) = count for the load a.
    const double root = (std::sqrt(1 + 4 * count) - 1) / 2;
    return root * root / count;
}

double presumedDecodeShare(double streamsPerPrefill, std::uint32_t slots)
{
    const double prefill = 1 / staffedUtilization(1);
    const double decode = streamsPerPrefill / (std::max(slots, 1U) * staffedUtilization(slots));
    return decode / (prefill + decode);
}

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

void StageController::observe(const BackendListing &listing, const ServiceDelays &delays,
                              TimePoint now)
{
    const auto services = enginesByService(listing);
    std::erase_if(m_delays, [&](const auto &entry) { return !services.contains(entry.first); });
    for (const auto &[service, engines] : services) {
        const auto found = delays.find(service);
        m_delays
            .try_emplace(service,
                         SmoothedDelays(m_options.delayTimeConstant, m_options.settlingTime))
            .first->second.observe(found == delays.end() ? StageDelays{} : found->second, now);
    }
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
    std::vector<StageOrder> orders;
    for (const auto &[service, engines] : enginesByService(listing)) {
        SmoothedDelays &delays
            = m_delays
                  .try_emplace(service,
                               SmoothedDelays(m_options.delayTimeConstant, m_options.settlingTime))
                  .first->second;
        adjustSplit(delays, engines, workOf, now, orders);
        ensureDecodingAtEachSite(engines, workOf, now, orders);
    }
    return orders;
}

bool StageController::everBusy() const
{
    return std::any_of(m_delays.begin(), m_delays.end(),
                       [](const auto &entry) { return entry.second.everBusy(); });
}

ServiceDelays StageController::meanDelays() const
{
    ServiceDelays result;
    for (const auto &[service, delays] : m_delays) {
        if (const std::optional<StageDelays> mean = delays.mean())
            result[service] = *mean;
    }
    return result;
}

void StageController::order(const ListedServer &engine, bool prefill, TimePoint now,
                            std::vector<StageOrder> &orders)
{
    m_issuedOrders[engine.id] = {prefill, now};
    orders.push_back({engine, prefill});
}

/// Number of engines that should begin to decode; negative: to prefill.
std::ptrdiff_t StageController::wantedChange(const SmoothedDelays &delays, const Engines &engines,
                                             std::ptrdiff_t decoding) const
{
    const auto count = static_cast<double>(engines.size());
    const std::optional<StageDelays> mean = delays.mean();
    if (!delays.everBusy() && m_options.presumedStreamsPerPrefill > 0) {
        const double share
            = presumedDecodeShare(m_options.presumedStreamsPerPrefill, engines.front()->slots);
        const std::ptrdiff_t change = std::lround(share * count) - decoding;
        const double tolerated = std::max(1.0, m_options.toleratedDeviation * count);
        if (std::abs(static_cast<double>(change)) <= tolerated)
            return 0;
        const auto allowed = static_cast<std::ptrdiff_t>(std::lround(
            m_options.presumedChangesPerEntryProcess * static_cast<double>(m_entryProcesses)));
        const std::ptrdiff_t left
            = std::max<std::ptrdiff_t>(0, allowed - static_cast<std::ptrdiff_t>(m_presumedChanges));
        return std::clamp(change, -left, left);
    }
    if (!mean || mean->prefill + mean->decode < m_options.negligibleDelay * mean->requests)
        return 0;
    // The delays of a stage fall in proportion to its engines, so that one more shortens them by
    // this.
    const double prefilling = count - static_cast<double>(decoding);
    const double prefillGain = mean->prefill / std::max(prefilling, 1.0);
    const double decodeGain = mean->decode / std::max(static_cast<double>(decoding), 1.0);
    const double larger = std::max(prefillGain, decodeGain);
    const double smaller = std::max(std::min(prefillGain, decodeGain), larger / MaxGainRatio);
    const double excess = std::log2(larger / smaller / m_options.balancedRatio);
    if (excess <= 0)
        return 0;
    const std::ptrdiff_t change = std::max<std::ptrdiff_t>(
        1, std::lround(std::min(m_options.changeStep * excess, m_options.maxChange) * count));
    return decodeGain > prefillGain ? change : -change;
}

void StageController::adjustSplit(SmoothedDelays &delays, const Engines &engines,
                                  const WorkHook &workOf, TimePoint now,
                                  std::vector<StageOrder> &orders)
{
    const std::ptrdiff_t decoding
        = std::count_if(engines.begin(), engines.end(),
                        [&](const ListedServer *engine) { return !isPrefilling(*engine, now); });
    // ensureDecodingAtEachSite() would undo a change below the number of data centres.
    const auto least = static_cast<std::ptrdiff_t>(
        std::max(std::min(m_options.minDecodingEngines, engines.size() / 3), sitesOf(engines)));
    const auto most = static_cast<std::ptrdiff_t>(engines.size()) - 1;
    const std::ptrdiff_t wanted = std::clamp(decoding + wantedChange(delays, engines, decoding),
                                             least, std::max(least, most));
    if (wanted == decoding)
        return;
    if (!delays.everBusy())
        m_presumedChanges += static_cast<std::size_t>(std::abs(wanted - decoding));
    delays.reset();
    changeEngines(std::abs(wanted - decoding), wanted < decoding, engines, workOf, now, orders);
}

/// Orders up to @p count engines to change to the stage. New prefill engines come from the data
/// centre with the most decoding engines, new decoding engines from the one with the fewest. The
/// least loaded engine changes first.
void StageController::changeEngines(std::ptrdiff_t count, bool toPrefill, const Engines &engines,
                                    const WorkHook &workOf, TimePoint now,
                                    std::vector<StageOrder> &orders)
{
    std::map<DataCentreId, std::ptrdiff_t> decodingPerSite;
    for (const ListedServer *engine : engines)
        decodingPerSite[engine->dataCentre] += isPrefilling(*engine, now) ? 0 : 1;
    for (std::ptrdiff_t left = count; left > 0; --left) {
        const ListedServer *best = nullptr;
        for (const ListedServer *engine : engines) {
            if (isPrefilling(*engine, now) == toPrefill || m_issuedOrders.contains(engine->id))
                continue;
            if (!best)
                best = engine;
            // Few engines decode, and the streams of all callers are lost with them when they are
            // reclaimed.
            if (engine->spot != best->spot) {
                if (engine->spot == toPrefill)
                    best = engine;
                continue;
            }
            const std::ptrdiff_t engineSiteDecoding = decodingPerSite[engine->dataCentre];
            const std::ptrdiff_t bestSiteDecoding = decodingPerSite[best->dataCentre];
            if ((toPrefill ? engineSiteDecoding > bestSiteDecoding
                           : engineSiteDecoding < bestSiteDecoding)
                || (engineSiteDecoding == bestSiteDecoding && workOf(*engine) < workOf(*best)))
                best = engine;
        }
        if (!best)
            return;
        decodingPerSite[best->dataCentre] += toPrefill ? -1 : 1;
        order(*best, toPrefill, now, orders);
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
