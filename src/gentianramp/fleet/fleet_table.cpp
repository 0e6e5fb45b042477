#include <gentianramp/fleet/fleet_table.hpp>

#include <gentianramp/fleet/generated/fleet.pb.h>
#include <utility>

namespace gentianramp {

namespace {

constexpr Duration RequestInterval = std::chrono::milliseconds(500);

proto::FleetBackend toProto(const BackendView &view)
{
    proto::FleetBackend out;
    out.set_id(view.id.value());
    out.set_service(view.service.value());
    out.set_host(view.host);
    out.set_port(view.port);
    for (const LoadedModel &loaded : view.models) {
        proto::FleetModel &added = *out.add_models();
        added.set_model(loaded.model.value());
        added.set_version(loaded.version);
    }
    for (const std::string &adapter : view.adapters)
        out.add_adapters(adapter);
    out.set_role(static_cast<proto::FleetRole>(view.role));
    out.set_phase(static_cast<proto::FleetPhase>(view.phase));
    out.set_slots(view.slots);
    out.set_prefill_tokens_per_second(view.prefillTokensPerSecond);
    out.set_decode_tokens_per_second(view.decodeTokensPerSecond);
    out.set_stream_tokens_per_second(view.streamTokensPerSecond);
    return out;
}

BackendView fromProto(const proto::FleetBackend &in, const DataCentreId &site)
{
    BackendView view;
    view.id = BackendId(in.id());
    view.site = site;
    view.service = ServiceId(in.service());
    view.host = in.host();
    view.port = static_cast<std::uint16_t>(in.port());
    for (const proto::FleetModel &loaded : in.models())
        view.models.push_back({ModelId(loaded.model()), loaded.version()});
    view.adapters.assign(in.adapters().begin(), in.adapters().end());
    view.role = static_cast<EngineRole>(in.role());
    view.phase = static_cast<BackendPhase>(in.phase());
    view.slots = in.slots();
    view.prefillTokensPerSecond = in.prefill_tokens_per_second();
    view.decodeTokensPerSecond = in.decode_tokens_per_second();
    view.streamTokensPerSecond = in.stream_tokens_per_second();
    return view;
}

bool knownEnums(const proto::FleetUpdate &update)
{
    for (const proto::FleetBackend &backend : update.backends()) {
        if (!proto::FleetRole_IsValid(backend.role())
            || !proto::FleetPhase_IsValid(backend.phase()))
            return false;
    }
    return true;
}

bool parse(proto::FleetMessage &message, std::string_view payload)
{
    return message.ParseFromArray(payload.data(), static_cast<int>(payload.size()));
}

} // namespace

FleetSender::FleetSender(DataCentreId dataCentre)
    : m_dataCentre(std::move(dataCentre))
{ }

std::string FleetSender::update(const FleetView &view, FencingNumber fencing)
{
    if (fencing != m_fencing) {
        m_fencing = fencing;
        m_sequence = 0;
        m_backends.clear();
    }
    proto::FleetMessage message;
    proto::FleetUpdate &update = *message.mutable_update();
    std::map<BackendId, BackendView> backends;
    for (const BackendView &backend : view.backends) {
        const auto known = m_backends.find(backend.id);
        if (known == m_backends.end() || known->second != backend)
            *update.add_backends() = toProto(backend);
        backends.emplace(backend.id, backend);
    }
    for (const auto &[id, backend] : m_backends) {
        if (!backends.contains(id))
            update.add_removed(id.value());
    }
    update.set_base(m_sequence);
    if (m_sequence == 0 || update.backends_size() > 0 || update.removed_size() > 0)
        ++m_sequence;
    m_backends = std::move(backends);
    update.set_data_centre(m_dataCentre.value());
    update.set_fencing(m_fencing.value());
    update.set_sequence(m_sequence);
    return message.SerializeAsString();
}

std::string FleetSender::wholeTable() const
{
    if (m_sequence == 0)
        return {};
    proto::FleetMessage message;
    proto::FleetUpdate &update = *message.mutable_update();
    update.set_data_centre(m_dataCentre.value());
    update.set_fencing(m_fencing.value());
    update.set_sequence(m_sequence);
    for (const auto &[id, backend] : m_backends)
        *update.add_backends() = toProto(backend);
    return message.SerializeAsString();
}

bool FleetSender::isRequest(std::string_view payload)
{
    proto::FleetMessage message;
    return parse(message, payload) && message.has_request();
}

FleetReceiver::FleetReceiver(DataCentreId dataCentre)
    : m_dataCentre(std::move(dataCentre))
{ }

FleetReceiver::Outcome FleetReceiver::onMessage(std::string_view payload, TimePoint now)
{
    proto::FleetMessage message;
    if (!parse(message, payload) || !message.has_update())
        return {};
    const proto::FleetUpdate &update = message.update();
    const FencingNumber fencing(update.fencing());
    if (update.data_centre() != m_dataCentre.value() || fencing < m_fencing || !knownEnums(update))
        return {};
    if (fencing == m_fencing && update.sequence() <= m_sequence) {
        if (update.sequence() == m_sequence)
            m_confirmedAt = now;
        return {};
    }
    const bool whole = update.base() == 0;
    if (!whole && (fencing != m_fencing || update.base() != m_sequence)) {
        if (now < m_nextRequest)
            return {};
        m_nextRequest = now + RequestInterval;
        proto::FleetMessage request;
        request.mutable_request()->set_data_centre(m_dataCentre.value());
        return {.view = std::nullopt, .request = request.SerializeAsString()};
    }
    if (whole)
        m_backends.clear();
    for (const proto::FleetBackend &backend : update.backends())
        m_backends[BackendId(backend.id())] = fromProto(backend, m_dataCentre);
    for (const std::string &removed : update.removed())
        m_backends.erase(BackendId(removed));
    m_fencing = fencing;
    m_sequence = update.sequence();
    m_confirmedAt = now;
    return {.view = view(), .request = {}};
}

FleetView FleetReceiver::view() const
{
    FleetView view{.site = m_dataCentre, .backends = {}};
    for (const auto &[id, backend] : m_backends)
        view.backends.push_back(backend);
    return view;
}

} // namespace gentianramp
