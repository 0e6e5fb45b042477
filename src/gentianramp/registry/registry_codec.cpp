#include "registry_codec.hpp"

#include <algorithm>
#include <gentianramp/http/address.hpp>

namespace gentianramp {

proto::BackendList toProto(const std::vector<ListedServer> &servers)
{
    proto::BackendList list;
    for (const ListedServer &server : servers) {
        proto::ListedBackend &backend = *list.add_backends();
        backend.set_id(server.id.value());
        backend.set_service(server.service);
        backend.set_address(server.host + ':' + std::to_string(server.port));
        backend.set_data_centre(server.dataCentre.value());
        backend.set_slots(server.slots);
        backend.set_draining(server.draining);
        backend.set_prefill(server.prefillOnly);
        backend.set_born_ms(server.bornMs);
        backend.set_cold_ms(server.coldMs);
        backend.set_engine(server.engine);
    }
    return list;
}

std::vector<ListedServer> fromProto(const proto::BackendList &list)
{
    std::vector<ListedServer> servers;
    for (const proto::ListedBackend &backend : list.backends()) {
        const std::optional<HttpAddress> address = parseHttpAddress(backend.address());
        if (!address)
            continue;
        servers.push_back({.id = BackendId(backend.id()),
                           .service = backend.service(),
                           .host = address->host,
                           .port = address->port,
                           .dataCentre = DataCentreId(backend.data_centre()),
                           .slots = backend.slots(),
                           .draining = backend.draining(),
                           .engine = backend.engine(),
                           .prefillOnly = backend.prefill(),
                           .bornMs = backend.born_ms(),
                           .coldMs = backend.cold_ms()});
    }
    return servers;
}

proto::LoadTable toProto(const LoadReports &reports, TimePoint now)
{
    proto::LoadTable table;
    table.set_age_ms(static_cast<std::uint32_t>(
        std::max<std::int64_t>(toMilliseconds(now - reports.takenAt), 0)));
    for (const ReportedLoad &load : reports.engines) {
        proto::EngineLoad &engine = *table.add_engines();
        engine.set_id(load.engine.value());
        engine.set_waiting(load.waiting);
        engine.set_running(load.running);
        engine.set_silent(load.silent);
        engine.set_changing(load.changing);
    }
    return table;
}

LoadReports fromProto(const proto::LoadTable &table, TimePoint now)
{
    LoadReports reports;
    reports.takenAt = now - std::chrono::milliseconds(table.age_ms());
    for (const proto::EngineLoad &engine : table.engines())
        reports.engines.push_back({BackendId(engine.id()), engine.waiting(), engine.running(),
                                   engine.silent(), engine.changing()});
    return reports;
}

} // namespace gentianramp
