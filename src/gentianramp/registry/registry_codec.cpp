#include "registry_codec.hpp"

#include <algorithm>
#include <charconv>

namespace gentianramp {

std::pair<std::string, std::uint16_t> splitAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return {};
    std::uint16_t port = 0;
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data() + colon + 1, end, port);
    if (error != std::errc{} || stop != end || port == 0)
        return {};
    return {std::string(text.substr(0, colon)), port};
}

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
        auto [host, port] = splitAddress(backend.address());
        if (host.empty())
            continue;
        servers.push_back({.id = BackendId(backend.id()),
                           .service = backend.service(),
                           .host = std::move(host),
                           .port = port,
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
