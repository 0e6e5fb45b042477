#pragma once

#include <compare>
#include <cstdint>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/ids.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace gentianramp {

/// Phases of inference that a model engine runs.
enum class EngineRole {
    Mixed, ///< Prefill and decode.
    Prefill,
    Decode,
};

/// Kind of a service.
enum class ServiceKind {
    Model, ///< Served by engines through the OpenAI-style paths.
    Plain, ///< Served by backend servers that are no engines; addressed by path.
};

/// A priority class; requests of a class with a smaller level are dispatched first.
struct PriorityClass
{
    std::string name;
    std::uint32_t level = 0;
    /// Share of a backend server's slots (0 to 1) that classes with a larger level leave free.
    double reservedShare = 0;
    bool operator==(const PriorityClass &) const = default;
};

/// A version of a model with its adapters.
struct ModelDeclaration
{
    ModelId id;
    std::string version;
    std::vector<std::string> adapters;
    std::uint64_t weightBytes = 0; ///< Size of the weights in the weight store.
    bool operator==(const ModelDeclaration &) const = default;
};

/// A service that callers address by model name or by path.
struct ServiceDeclaration
{
    ServiceId id;
    ServiceKind kind = ServiceKind::Model;
    ModelId model;          ///< For ServiceKind::Model.
    std::string pathPrefix; ///< For ServiceKind::Plain, with a leading slash.
    std::string priorityClass;
    bool idempotent = true; ///< False: each request runs at most once.
    /// For ServiceKind::Plain with idempotent false: paths below pathPrefix that may be repeated.
    std::vector<std::string> idempotentPaths;
    Duration timeout = std::chrono::seconds(60); ///< Of the whole answer; callers may shorten it.
    Duration firstTokenTarget = std::chrono::milliseconds(1800);
    Duration tokenTarget = std::chrono::milliseconds(47); ///< Time between two output tokens.
    std::uint32_t queueLimit = 256;        ///< Waiting requests for each entry instance.
    std::uint32_t retryBudgetPercent = 10; ///< Retries per 100 first attempts.
    bool operator==(const ServiceDeclaration &) const = default;
};

/// True when requests of @p service to @p path (without query) may run more than once.
bool isIdempotent(const ServiceDeclaration &service, std::string_view path);

/// A customer, whose callers authenticate with bearer keys.
struct CustomerDeclaration
{
    CustomerId id;
    std::vector<std::string> keySha256; ///< SHA-256 of each valid bearer key, lower-case hex.
    double requestsPerSecond = 0;       ///< Over all instances; 0 means no limit.
    double tokensPerSecond = 0;      ///< Prompt and output tokens over all instances; 0: no limit.
    std::vector<ServiceId> services; ///< Services the customer may use; empty means all.
    bool operator==(const CustomerDeclaration &) const = default;
};

/// A backend server of a site.
struct BackendDeclaration
{
    BackendId id;
    DataCentreId site;
    ServiceId service;
    std::string host;
    std::uint16_t port = 0;
    EngineRole role = EngineRole::Mixed; ///< Role at first start.
    bool checksFencing = false;          ///< Refuses orders with an old fencing number.
    std::uint32_t slots = 16;            ///< Requests served concurrently.
    double prefillTokensPerSecond = 8000;
    double decodeTokensPerSecond = 1000; ///< Over all streams of the engine.
    bool drained = false;                ///< Set by operators: gets no new requests.
    bool operator==(const BackendDeclaration &) const = default;
};

/// Version of a model that one site serves in place of the version in the base file.
struct SiteModelDeclaration
{
    DataCentreId site;
    ModelId model;
    std::string version;
    std::vector<std::string> adapters;
    bool operator==(const SiteModelDeclaration &) const = default;
};

/// Settings of the role planner.
struct PlannerSettings
{
    double roleChangeCost = 1; ///< Fixed cost of one role change, in answers completed in time.
    Duration horizon = std::chrono::seconds(30);       ///< Period over which gains are predicted.
    Duration minimumDwell = std::chrono::seconds(20);  ///< Shortest time in a role.
    std::uint32_t maxChangesAtOnce = 1;                ///< Concurrent changes in a data centre.
    Duration roleChangeTime = std::chrono::seconds(4); ///< Time an engine is unavailable.
    bool operator==(const PlannerSettings &) const = default;
};

/// The whole configuration that operators declare: base file merged with every site's overlay.
struct DeclaredConfiguration
{
    std::vector<DataCentreId> sites;
    std::vector<PriorityClass> priorityClasses;
    std::vector<ModelDeclaration> models;
    std::vector<ServiceDeclaration> services;
    std::vector<CustomerDeclaration> customers;
    std::vector<BackendDeclaration> backends;
    std::vector<SiteModelDeclaration> siteModels;
    PlannerSettings planner;
    double weightStoreBytesPerSecond = 1e9;                  ///< Shared by all data centres.
    Duration idempotencyLifetime = std::chrono::minutes(10); ///< Retention of idempotency keys.
    bool operator==(const DeclaredConfiguration &) const = default;
};

/// The model as @p site serves it; an empty id when the model is not declared.
ModelDeclaration modelAtSite(const DeclaredConfiguration &configuration, const DataCentreId &site,
                             const ModelId &model);

} // namespace gentianramp
