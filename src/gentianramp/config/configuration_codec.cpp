#include <algorithm>
#include <gentianramp/config/configuration_codec.hpp>
#include <limits>

#include "gentianramp/config/generated/configuration.pb.h"

namespace gentianramp {

namespace {

constexpr std::uint32_t FormatVersion = 1;

template <typename T, typename Key>
void sortBy(std::vector<T> &entries, Key key)
{
    std::stable_sort(entries.begin(), entries.end(), [&key](const T &left, const T &right) {
        return std::invoke(key, left) < std::invoke(key, right);
    });
}

template <typename Target>
void addTexts(const std::vector<std::string> &texts, Target *target)
{
    for (const std::string &text : texts)
        *target->Add() = text;
}

template <typename Source>
std::vector<std::string> texts(const Source &source)
{
    return {source.begin(), source.end()};
}

void encode(const PriorityClass &from, proto::PriorityClass &to)
{
    to.set_name(from.name);
    to.set_level(from.level);
    to.set_reserved_share(from.reservedShare);
}

void encode(const ModelDeclaration &from, proto::ModelDeclaration &to)
{
    to.set_id(from.id.value());
    to.set_version(from.version);
    addTexts(from.adapters, to.mutable_adapters());
    to.set_weight_bytes(from.weightBytes);
}

void encode(const ServiceDeclaration &from, proto::ServiceDeclaration &to)
{
    to.set_id(from.id.value());
    to.set_kind(static_cast<proto::ServiceKind>(from.kind));
    to.set_model(from.model.value());
    to.set_path_prefix(from.pathPrefix);
    to.set_priority_class(from.priorityClass);
    to.set_idempotent(from.idempotent);
    addTexts(from.idempotentPaths, to.mutable_idempotent_paths());
    to.set_timeout_ns(from.timeout.count());
    to.set_first_token_target_ns(from.firstTokenTarget.count());
    to.set_token_target_ns(from.tokenTarget.count());
    to.set_queue_limit(from.queueLimit);
    to.set_retry_budget_percent(from.retryBudgetPercent);
}

void encode(const CustomerDeclaration &from, proto::CustomerDeclaration &to)
{
    to.set_id(from.id.value());
    addTexts(from.keySha256, to.mutable_key_sha256());
    to.set_requests_per_second(from.requestsPerSecond);
    to.set_tokens_per_second(from.tokensPerSecond);
    for (const ServiceId &service : from.services)
        to.add_services(service.value());
}

void encode(const BackendDeclaration &from, proto::BackendDeclaration &to)
{
    to.set_id(from.id.value());
    to.set_site(from.site.value());
    to.set_service(from.service.value());
    to.set_host(from.host);
    to.set_port(from.port);
    to.set_role(static_cast<proto::EngineRole>(from.role));
    to.set_checks_fencing(from.checksFencing);
    to.set_slots(from.slots);
    to.set_prefill_tokens_per_second(from.prefillTokensPerSecond);
    to.set_decode_tokens_per_second(from.decodeTokensPerSecond);
    to.set_drained(from.drained);
}

void encode(const SiteModelDeclaration &from, proto::SiteModelDeclaration &to)
{
    to.set_site(from.site.value());
    to.set_model(from.model.value());
    to.set_version(from.version);
    addTexts(from.adapters, to.mutable_adapters());
}

void encode(const PlannerSettings &from, proto::PlannerSettings &to)
{
    to.set_role_change_weight(from.roleChangeCost);
    to.set_horizon_ns(from.horizon.count());
    to.set_minimum_dwell_ns(from.minimumDwell.count());
    to.set_max_changes_at_once(from.maxChangesAtOnce);
    to.set_role_change_time_ns(from.roleChangeTime.count());
}

template <typename T, typename Target>
void encodeAll(const std::vector<T> &entries, Target *target)
{
    for (const T &entry : entries)
        encode(entry, *target->Add());
}

PriorityClass decode(const proto::PriorityClass &from)
{
    return {from.name(), from.level(), from.reserved_share()};
}

ModelDeclaration decode(const proto::ModelDeclaration &from)
{
    return {ModelId(from.id()), from.version(), texts(from.adapters()), from.weight_bytes()};
}

ServiceDeclaration decode(const proto::ServiceDeclaration &from)
{
    ServiceDeclaration to;
    to.id = ServiceId(from.id());
    to.kind = static_cast<ServiceKind>(from.kind());
    to.model = ModelId(from.model());
    to.pathPrefix = from.path_prefix();
    to.priorityClass = from.priority_class();
    to.idempotent = from.idempotent();
    to.idempotentPaths = texts(from.idempotent_paths());
    to.timeout = Duration(from.timeout_ns());
    to.firstTokenTarget = Duration(from.first_token_target_ns());
    to.tokenTarget = Duration(from.token_target_ns());
    to.queueLimit = from.queue_limit();
    to.retryBudgetPercent = from.retry_budget_percent();
    return to;
}

CustomerDeclaration decode(const proto::CustomerDeclaration &from)
{
    CustomerDeclaration to;
    to.id = CustomerId(from.id());
    to.keySha256 = texts(from.key_sha256());
    to.requestsPerSecond = from.requests_per_second();
    to.tokensPerSecond = from.tokens_per_second();
    for (const std::string &service : from.services())
        to.services.emplace_back(service);
    return to;
}

BackendDeclaration decode(const proto::BackendDeclaration &from)
{
    BackendDeclaration to;
    to.id = BackendId(from.id());
    to.site = DataCentreId(from.site());
    to.service = ServiceId(from.service());
    to.host = from.host();
    to.port = static_cast<std::uint16_t>(from.port());
    to.role = static_cast<EngineRole>(from.role());
    to.checksFencing = from.checks_fencing();
    to.slots = from.slots();
    to.prefillTokensPerSecond = from.prefill_tokens_per_second();
    to.decodeTokensPerSecond = from.decode_tokens_per_second();
    to.drained = from.drained();
    return to;
}

SiteModelDeclaration decode(const proto::SiteModelDeclaration &from)
{
    return {DataCentreId(from.site()), ModelId(from.model()), from.version(),
            texts(from.adapters())};
}

PlannerSettings decode(const proto::PlannerSettings &from)
{
    PlannerSettings to;
    to.roleChangeCost = from.role_change_weight();
    to.horizon = Duration(from.horizon_ns());
    to.minimumDwell = Duration(from.minimum_dwell_ns());
    to.maxChangesAtOnce = from.max_changes_at_once();
    to.roleChangeTime = Duration(from.role_change_time_ns());
    return to;
}

template <typename T, typename Source>
void decodeAll(const Source &source, std::vector<T> &entries)
{
    entries.reserve(static_cast<std::size_t>(source.size()));
    for (const auto &entry : source)
        entries.push_back(decode(entry));
}

/// True if all enumerators are known and all ports fit into 16 bits.
bool fitsValueTypes(const proto::DeclaredConfiguration &message)
{
    const auto knownKind = [](const auto &each) { return proto::ServiceKind_IsValid(each.kind()); };
    const auto fits = [](const proto::BackendDeclaration &each) {
        return proto::EngineRole_IsValid(each.role())
            && each.port() <= std::numeric_limits<std::uint16_t>::max();
    };
    return std::all_of(message.services().begin(), message.services().end(), knownKind)
        && std::all_of(message.backends().begin(), message.backends().end(), fits);
}

DeclaredConfiguration decode(const proto::DeclaredConfiguration &message)
{
    DeclaredConfiguration configuration;
    for (const std::string &site : message.sites())
        configuration.sites.emplace_back(site);
    decodeAll(message.priority_classes(), configuration.priorityClasses);
    decodeAll(message.models(), configuration.models);
    decodeAll(message.services(), configuration.services);
    decodeAll(message.customers(), configuration.customers);
    decodeAll(message.backends(), configuration.backends);
    decodeAll(message.site_models(), configuration.siteModels);
    configuration.planner = decode(message.planner());
    configuration.weightStoreBytesPerSecond = message.weight_store_bytes_per_second();
    configuration.idempotencyLifetime = Duration(message.idempotency_lifetime_ns());
    return configuration;
}

} // namespace

DeclaredConfiguration canonicalOrder(DeclaredConfiguration configuration)
{
    std::sort(configuration.sites.begin(), configuration.sites.end());
    sortBy(configuration.priorityClasses, &PriorityClass::level);
    sortBy(configuration.models, &ModelDeclaration::id);
    sortBy(configuration.services, &ServiceDeclaration::id);
    sortBy(configuration.customers, &CustomerDeclaration::id);
    sortBy(configuration.backends, &BackendDeclaration::id);
    sortBy(configuration.siteModels,
           [](const SiteModelDeclaration &each) { return std::pair(each.site, each.model); });
    return configuration;
}

std::string encodeConfiguration(const DeclaredConfiguration &configuration)
{
    const DeclaredConfiguration ordered = canonicalOrder(configuration);
    proto::DeclaredConfiguration message;
    message.set_format(FormatVersion);
    for (const DataCentreId &site : ordered.sites)
        message.add_sites(site.value());
    encodeAll(ordered.priorityClasses, message.mutable_priority_classes());
    encodeAll(ordered.models, message.mutable_models());
    encodeAll(ordered.services, message.mutable_services());
    encodeAll(ordered.customers, message.mutable_customers());
    encodeAll(ordered.backends, message.mutable_backends());
    encodeAll(ordered.siteModels, message.mutable_site_models());
    encode(ordered.planner, *message.mutable_planner());
    message.set_weight_store_bytes_per_second(ordered.weightStoreBytesPerSecond);
    message.set_idempotency_lifetime_ns(ordered.idempotencyLifetime.count());
    return message.SerializeAsString();
}

Result<DeclaredConfiguration> decodeConfiguration(std::string_view bytes)
{
    proto::DeclaredConfiguration message;
    if (bytes.size() > static_cast<std::size_t>(std::numeric_limits<int>::max())
        || !message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return {Error::Malformed, "the bytes cannot be parsed as a configuration"};
    if (message.format() != FormatVersion)
        return {Error::Malformed,
                "configuration of format " + std::to_string(message.format()) + ", expected "
                    + std::to_string(FormatVersion)};
    if (!fitsValueTypes(message))
        return {Error::Malformed,
                "configuration with an unknown service kind or engine role or a port above 65535"};
    DeclaredConfiguration configuration = decode(message);
    if (encodeConfiguration(configuration) != bytes)
        return {Error::Malformed, "configuration is not in its canonical form"};
    return configuration;
}

} // namespace gentianramp
