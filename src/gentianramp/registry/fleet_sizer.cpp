#include <gentianramp/registry/fleet_sizer.hpp>

#include <algorithm>
#include <cmath>
#include <gentianramp/registry/stage_controller.hpp>

namespace gentianramp {

namespace {

/// A longer gap between two observations counts as this long.
constexpr Duration MaxObservationGap = std::chrono::seconds(1);
/// Less than this share of an engine is no demand.
constexpr double NegligibleDemand = 0.05;

FleetSize presentServers(const BackendListing &listing, const std::string &service)
{
    FleetSize present;
    for (const ListedServer &server : listing.servers) {
        if (server.service != service || server.draining)
            continue;
        ServerCounts &counts = present[server.dataCentre];
        ++(server.spot ? counts.spot : counts.onDemand);
    }
    return present;
}

std::uint32_t totalOf(const FleetSize &size)
{
    std::uint32_t sum = 0;
    for (const auto &[site, counts] : size)
        sum += counts.total();
    return sum;
}

/// A service runs where it has, or had, servers: nothing says that others may be opened.
std::vector<ServerSite> sitesOf(const ScalingTraits &scaling, const FleetSize &known)
{
    std::vector<ServerSite> sites;
    for (const auto &[site, counts] : known) {
        const auto price = scaling.prices.find(site);
        sites.push_back({site, price == scaling.prices.end() ? 1 : price->second,
                         scaling.minServers, scaling.maxServers});
    }
    return sites;
}

} // namespace

FleetSizer::FleetSizer(FleetSizerOptions options)
    : m_options(options)
{ }

void FleetSizer::observe(const BackendListing &listing, const LoadReports &loads, TimePoint now)
{
    std::map<BackendId, const ReportedLoad *> reported;
    for (const ReportedLoad &load : loads.engines)
        reported[load.engine] = &load;
    std::map<std::string, EngineDemand> seen;
    for (const ListedServer &server : listing.servers) {
        const auto load = reported.find(server.id);
        if (!server.engine || load == reported.end() || load->second->silent)
            continue;
        EngineDemand &demand = seen[server.service];
        const double work = load->second->running + load->second->waiting;
        if (server.prefillOnly)
            demand.prefill += std::min(work, 1.0);
        else
            demand.decode += work / std::max(server.slots, 1U);
    }
    for (const auto &[service, current] : seen) {
        Demand &demand = m_demand[service];
        if (demand.since == TimePoint{})
            demand.since = demand.meanAt = now;
        demand.everBusy = demand.everBusy || current.prefill + current.decode > NegligibleDemand;
        const Duration elapsed
            = std::clamp<Duration>(now - demand.meanAt, Duration::zero(), MaxObservationGap);
        demand.meanAt = now;
        const double weight
            = 1 - std::exp(-std::chrono::duration<double>(elapsed) / m_options.meanTime);
        demand.mean.prefill += weight * (current.prefill - demand.mean.prefill);
        demand.mean.decode += weight * (current.decode - demand.mean.decode);
        demand.samples.push_back({now, demand.mean});
        while (now - demand.samples.front().at > m_options.peakTime)
            demand.samples.pop_front();
    }
}

std::optional<EngineDemand> FleetSizer::requiredEngines(const std::string &service,
                                                        TimePoint now) const
{
    const auto found = m_demand.find(service);
    if (found == m_demand.end() || !found->second.everBusy
        || now - found->second.since < m_options.observationTime)
        return std::nullopt;
    EngineDemand peak;
    for (const Sample &sample : found->second.samples) {
        peak.prefill = std::max(peak.prefill, sample.demand.prefill);
        peak.decode = std::max(peak.decode, sample.demand.decode);
    }
    // A prompt is read by the engine that has its shared parts cached, so that each engine has a
    // queue of its own.
    return EngineDemand{.prefill = peak.prefill / staffedUtilization(1),
                        .decode = peak.decode / m_options.decodeUtilization};
}

bool FleetSizer::hasTraffic(const std::string &service) const
{
    const auto found = m_demand.find(service);
    return found != m_demand.end() && found->second.everBusy;
}

bool FleetSizer::isReleasing(const std::string &service, const BackendListing &listing,
                             TimePoint now) const
{
    const auto found = m_orders.find(service);
    const auto observed = m_demand.find(service);
    if (hasTraffic(service) || observed == m_demand.end())
        return false;
    const TimePoint since
        = found == m_orders.end() ? observed->second.since : found->second.grownAt;
    // Servers that can't be had must not keep engines from the stages that callers need.
    if (now - since >= m_options.listSettlingTime + m_options.releaseTime)
        return false;
    if (found == m_orders.end())
        return true;
    const FleetSize present = presentServers(listing, service);
    return std::any_of(present.begin(), present.end(), [&](const auto &entry) {
        const auto target = found->second.target.find(entry.first);
        return target != found->second.target.end()
            && entry.second.onDemand > target->second.onDemand;
    });
}

const FleetSize &FleetSizer::target(const std::string &service) const
{
    static const FleetSize none;
    const auto found = m_orders.find(service);
    return found == m_orders.end() ? none : found->second.target;
}

FleetSize FleetSizer::targetOf(const DeclaredService &service, const ServiceOrders &orders,
                               const std::vector<ServerSite> &sites, TimePoint now) const
{
    const std::optional<double> spotPrice = service.scaling->spotPrice;
    if (const std::optional<EngineDemand> required = requiredEngines(service.name, now))
        return cheapestFleetSize(sites,
                                 {.servers = required->total(),
                                  .onDemandShare = m_options.onDemandShare,
                                  .spotPrice = spotPrice});
    // Without demand, the size stays and the cheaper kind takes its place.
    FleetSize target = orders.initial;
    if (!spotPrice || *spotPrice >= 1)
        return target;
    for (auto &[site, counts] : target) {
        const std::uint32_t total = counts.total();
        const auto base = static_cast<std::uint32_t>(
            std::ceil(m_options.onDemandShare * static_cast<double>(total)));
        counts = {.onDemand = std::min(base, total), .spot = total - std::min(base, total)};
    }
    return target;
}

/// Keeps a size that is too large until it has been so for a while, and then reduces it in steps.
FleetSize FleetSizer::shrunkSlowly(ServiceOrders &orders, FleetSize target, const FleetSize &former,
                                   TimePoint now) const
{
    const std::uint32_t before = totalOf(former);
    const std::uint32_t wanted = totalOf(target);
    if (wanted >= before) {
        orders.tooLargeSince.reset();
        for (auto &[site, counts] : target) {
            const auto known = former.find(site);
            if (known != former.end() && known->second.total() > counts.total())
                counts.spot += known->second.total() - counts.total();
        }
        return target;
    }
    if (!orders.tooLargeSince)
        orders.tooLargeSince = now;
    if (now - *orders.tooLargeSince < m_options.shrinkDelay)
        return former;
    // The next step has to wait for the effect of this one, not for the whole delay again.
    orders.tooLargeSince = *orders.tooLargeSince + m_options.meanTime;
    auto left = std::max<std::uint32_t>(
        1, static_cast<std::uint32_t>(m_options.shrinkStep * static_cast<double>(before)));
    left = std::min(left, before - wanted);
    FleetSize size = former;
    while (left > 0) {
        ServerCounts *best = nullptr;
        std::uint32_t bestExcess = 0;
        for (auto &[site, counts] : size) {
            const auto wantedHere = target.find(site);
            const std::uint32_t floor = wantedHere == target.end() ? 0 : wantedHere->second.total();
            const std::uint32_t excess = counts.total() > floor ? counts.total() - floor : 0;
            if (excess > bestExcess) {
                best = &counts;
                bestExcess = excess;
            }
        }
        if (!best)
            break;
        --(best->spot > 0 ? best->spot : best->onDemand);
        --left;
    }
    return size;
}

/// Before traffic the list grows as the servers of the first size start.
void FleetSizer::noteStarted(const std::string &service, ServiceOrders &orders,
                             const FleetSize &present, TimePoint now) const
{
    for (const auto &[site, counts] : present) {
        const auto [initial, isNew] = orders.initial.try_emplace(site, counts);
        Ordered &ordered = orders.bySite[{site, false}];
        const bool wasOrdered = ordered.sentAt != TimePoint{};
        const bool hasGrown = isNew || counts.onDemand > initial->second.onDemand;
        if (hasTraffic(service) || wasOrdered || !hasGrown)
            continue;
        initial->second.onDemand = ordered.servers = counts.onDemand;
        orders.grownAt = now;
    }
}

/// Servers on demand of a data centre by its target, or more while these are not replaced yet.
std::uint32_t FleetSizer::onDemandToKeep(const std::string &service, const ServiceOrders &orders,
                                         const DataCentreId &site, std::uint32_t presentSpot,
                                         TimePoint now) const
{
    const ServerCounts wanted = orders.target.at(site);
    const auto ordered = orders.bySite.find({site, false});
    const std::uint32_t former = ordered == orders.bySite.end() ? 0 : ordered->second.servers;
    if (former <= wanted.onDemand)
        return wanted.onDemand;
    if (!hasTraffic(service) && now - orders.grownAt < m_options.listSettlingTime)
        return former;
    // Under traffic, spot servers have to be there. Before, it suffices that they are promised:
    // engines that are about to leave can't be given the stages of the first callers.
    const auto accepted = orders.acceptedSpot.find(site);
    const std::uint32_t promisedSpot = accepted == orders.acceptedSpot.end() ? 0 : accepted->second;
    const std::uint32_t replaced = hasTraffic(service) ? presentSpot : promisedSpot;
    const std::uint32_t missing = wanted.total() > replaced ? wanted.total() - replaced : 0;
    return std::clamp(missing, wanted.onDemand, former);
}

std::vector<ServerOrder> FleetSizer::decide(const Declaration &declaration,
                                            const BackendListing &listing, TimePoint now)
{
    std::vector<ServerOrder> result;
    for (const DeclaredService &service : declaration.services) {
        if (!service.scaling)
            continue;
        const FleetSize present = presentServers(listing, service.name);
        const auto [entry, isNew] = m_orders.try_emplace(service.name);
        ServiceOrders &orders = entry->second;
        if (isNew) {
            orders.grownAt = now;
            orders.initial = orders.target = present;
            for (const auto &[site, counts] : present) {
                orders.bySite[{site, false}].servers = counts.onDemand;
                orders.bySite[{site, true}].servers = counts.spot;
            }
        }
        noteStarted(service.name, orders, present, now);
        const std::vector<ServerSite> sites = sitesOf(*service.scaling, orders.initial);
        orders.target
            = shrunkSlowly(orders, targetOf(service, orders, sites, now), orders.target, now);
        const double required = requiredEngines(service.name, now).value_or(EngineDemand()).total();
        const std::uint32_t presentTotal = totalOf(present);
        auto shortage = static_cast<std::uint32_t>(
            std::max(0.0, std::ceil(required) - static_cast<double>(presentTotal)));
        for (const auto &[site, wanted] : orders.target) {
            const auto here = present.find(site);
            const ServerCounts counts = here == present.end() ? ServerCounts() : here->second;
            const std::uint32_t most = service.scaling->maxServers;
            std::uint32_t onDemand = onDemandToKeep(service.name, orders, site, counts.spot, now);
            const std::uint32_t room
                = most > onDemand + wanted.spot ? most - onDemand - wanted.spot : 0;
            const TimePoint unavailableAt = orders.bySite[{site, false}].unavailableAt;
            const bool maySubstitute
                = unavailableAt == TimePoint{} || now - unavailableAt >= m_options.substituteDelay;
            const std::uint32_t substitutes = maySubstitute ? std::min(shortage, room) : 0;
            shortage -= substitutes;
            onDemand = std::max(onDemand, std::min(wanted.onDemand + substitutes, most));
            const std::uint32_t spot = std::min(wanted.spot, most > onDemand ? most - onDemand : 0);
            order(service.name, site, true, spot, counts.spot, service, now, result);
            order(service.name, site, false, onDemand, counts.onDemand, service, now, result);
        }
    }
    return result;
}

void FleetSizer::order(const std::string &service, const DataCentreId &site, bool spot,
                       std::uint32_t servers, std::uint32_t present,
                       const DeclaredService &declared, TimePoint now,
                       std::vector<ServerOrder> &result)
{
    Ordered &ordered = m_orders[service].bySite[{site, spot}];
    if (now < ordered.notBefore)
        return;
    const bool hasChanged = ordered.servers != servers;
    // Servers that were reclaimed, or never came, are ordered again.
    const bool isMissing
        = present < servers && now - ordered.sentAt >= 2 * declared.scaling->bootTime;
    if (!hasChanged && !isMissing)
        return;
    ordered.servers = servers;
    ordered.sentAt = now;
    result.push_back({service, site, spot, servers});
}

void FleetSizer::noteAccepted(const ServerOrder &order)
{
    const auto found = m_orders.find(order.service);
    if (found != m_orders.end() && order.spot)
        found->second.acceptedSpot[order.dataCentre] = order.servers;
}

void FleetSizer::noteUnavailable(const ServerOrder &order, TimePoint now)
{
    const auto found = m_orders.find(order.service);
    if (found == m_orders.end())
        return;
    Ordered &ordered = found->second.bySite[{order.dataCentre, order.spot}];
    ordered.notBefore = now + m_options.unavailableDelay;
    ordered.unavailableAt = now;
    ordered.sentAt = {};
}

} // namespace gentianramp
