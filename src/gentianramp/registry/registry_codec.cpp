#include "registry_codec.hpp"

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

} // namespace gentianramp
