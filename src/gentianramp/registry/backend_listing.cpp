#include <gentianramp/registry/backend_listing.hpp>

#include <algorithm>
#include <gentianramp/ledger/configuration_delta.hpp>
#include <map>
#include <sstream>

namespace gentianramp {

std::uint64_t listingDigest(std::vector<ListedServer> servers)
{
    std::sort(servers.begin(), servers.end());
    std::ostringstream text;
    for (const ListedServer &server : servers)
        text << server.id << '\n'
             << server.service << '\n'
             << server.host << ':' << server.port << '\n'
             << server.dataCentre << '\n'
             << server.slots << ' ' << server.draining << ' ' << server.engine << ' '
             << server.prefillOnly << ' ' << server.startedAtMs << ' ' << (server.warmUpLeftMs > 0)
             << '\n'
             << server.softwareVersion << (server.spot ? " spot\n" : "\n");
    return std::max<std::uint64_t>(contentDigest(text.str()), 1);
}

BackendListing withReportedStages(BackendListing listing, const LoadReports &reports)
{
    std::map<BackendId, ReportedStage> stages;
    for (const ReportedLoad &load : reports.engines) {
        if (!load.silent && load.stage != ReportedStage::Unknown)
            stages[load.engine] = load.stage;
    }
    for (ListedServer &server : listing.servers) {
        const auto reported = stages.find(server.id);
        if (server.engine && reported != stages.end())
            server.prefillOnly = reported->second == ReportedStage::Prefill;
    }
    return listing;
}

} // namespace gentianramp
