#include "fleet_tables.hpp"

#include <algorithm>
#include <utility>

namespace gentianramp {

namespace {

std::uint64_t countRoleChanges(const FleetView &before, const FleetView &after)
{
    std::uint64_t changes = 0;
    for (const BackendView &backend : after.backends) {
        const auto known
            = std::find_if(before.backends.begin(), before.backends.end(),
                           [&backend](const BackendView &other) { return other.id == backend.id; });
        if (known != before.backends.end() && known->role != backend.role)
            ++changes;
    }
    return changes;
}

} // namespace

FleetTables::FleetTables(const std::vector<DataCentreId> &sites)
{
    for (const DataCentreId &site : sites)
        m_sites.emplace(site, Site{.receiver = FleetReceiver(site), .overview = {}});
}

std::string FleetTables::onMessage(const InstanceId &sender, std::string_view payload,
                                   TimePoint now)
{
    std::string request;
    for (auto &[id, site] : m_sites) {
        const FencingNumber before = site.receiver.fencing();
        FleetReceiver::Outcome outcome = site.receiver.onMessage(payload, now);
        if (!outcome.request.empty())
            request = std::move(outcome.request);
        SiteOverview &overview = site.overview;
        overview.confirmedAt = site.receiver.confirmedAt();
        if (!outcome.view)
            continue;
        const bool sameHolder = before == site.receiver.fencing();
        overview.roleChanges = sameHolder
            ? overview.roleChanges + countRoleChanges(overview.fleet, *outcome.view)
            : 0;
        overview.fleet = std::move(*outcome.view);
        overview.holder = sender;
        overview.fencing = site.receiver.fencing();
    }
    return request;
}

std::vector<SiteOverview> FleetTables::sites() const
{
    std::vector<SiteOverview> overviews;
    for (const auto &[id, site] : m_sites) {
        if (site.receiver.fencing().value() != 0)
            overviews.push_back(site.overview);
    }
    return overviews;
}

} // namespace gentianramp
