#include "configuration_rules.hpp"

#include "edit_distance.hpp"

#include <algorithm>
#include <set>

namespace gentianramp {

namespace {

/// Leaves at least 5 % of the slots to the class with the largest level.
constexpr double MaxReservedShareSum = 0.95;

/// Reports values that are added twice.
class UniqueValues
{
public:
    UniqueValues(std::string what, SettingsErrors &errors)
        : m_what(std::move(what))
        , m_errors(errors)
    { }

    template <typename T>
    void add(const Located<T> &place, const std::string &field, const std::string &value)
    {
        if (!m_seen.insert(value).second)
            m_errors.push_back(place.problem(
                field, "expected a unique " + m_what + ", found '" + value + "' twice"));
    }

private:
    std::string m_what;
    SettingsErrors &m_errors;
    std::set<std::string> m_seen;
};

/// Declared names of one kind; reports references to undeclared ones.
class KnownNames
{
public:
    KnownNames(std::string what, SettingsErrors &errors)
        : m_what(std::move(what))
        , m_errors(errors)
    { }

    void add(std::string name) { m_names.push_back(std::move(name)); }

    template <typename T>
    void require(const Located<T> &place, const std::string &field, const std::string &name) const
    {
        if (std::find(m_names.begin(), m_names.end(), name) != m_names.end())
            return;
        const std::string closest = closestMatch(name, m_names);
        std::string problem = "expected a declared " + m_what + ", found '" + name + "'";
        if (!closest.empty())
            problem += " (the nearest is '" + closest + "')";
        m_errors.push_back(place.problem(field, std::move(problem)));
    }

private:
    std::string m_what;
    SettingsErrors &m_errors;
    std::vector<std::string> m_names;
};

struct DeclaredNames
{
    explicit DeclaredNames(SettingsErrors &errors)
        : sites("site", errors)
        , priorityClasses("priority class", errors)
        , models("model", errors)
        , services("service", errors)
    { }

    KnownNames sites;
    KnownNames priorityClasses;
    KnownNames models;
    KnownNames services;
};

DeclaredNames collectNames(const LocatedConfiguration &configuration, SettingsErrors &errors)
{
    DeclaredNames names(errors);
    for (const DataCentreId &site : configuration.sites.value)
        names.sites.add(site.value());
    for (const auto &each : configuration.priorityClasses)
        names.priorityClasses.add(each.value.name);
    for (const auto &each : configuration.models)
        names.models.add(each.value.id.value());
    for (const auto &each : configuration.services)
        names.services.add(each.value.id.value());
    return names;
}

void checkSites(const LocatedConfiguration &configuration, SettingsErrors &errors)
{
    const auto &sites = configuration.sites;
    if (sites.value.empty())
        errors.push_back(sites.problem("", "expected at least one site, found none"));
    UniqueValues unique("site", errors);
    for (const DataCentreId &site : sites.value) {
        if (!isName(site.value()))
            errors.push_back(sites.problem(
                "", "expected site names of 1 to 63 letters, digits, '.', '_' or '-'"));
        unique.add(sites, "", site.value());
    }
}

void checkPriorityClasses(const LocatedConfiguration &configuration, SettingsErrors &errors)
{
    UniqueValues names("name", errors);
    UniqueValues levels("level", errors);
    double reserved = 0;
    for (const auto &each : configuration.priorityClasses) {
        names.add(each, "name", each.value.name);
        levels.add(each, "level", std::to_string(each.value.level));
        reserved += each.value.reservedShare;
        if (reserved > MaxReservedShareSum)
            errors.push_back(each.problem("reserved_share",
                                          "expected at most " + formatNumber(MaxReservedShareSum)
                                              + " over all classes, found "
                                              + formatNumber(reserved)));
    }
}

void checkModels(const LocatedConfiguration &configuration, const DeclaredNames &names,
                 SettingsErrors &errors)
{
    UniqueValues ids("model id", errors);
    for (const auto &each : configuration.models)
        ids.add(each, "id", each.value.id.value());
    UniqueValues perSite("site and model", errors);
    for (const auto &each : configuration.siteModels) {
        names.sites.require(each, "site", each.value.site.value());
        names.models.require(each, "model", each.value.model.value());
        perSite.add(each, "model", each.value.site.value() + " " + each.value.model.value());
    }
}

bool isPathPrefix(const std::string &path)
{
    return path.size() > 1 && path.front() == '/' && path.back() != '/'
        && path.find_first_of(" ?#\r\n\t") == std::string::npos;
}

bool isReservedPath(const std::string &path)
{
    static const std::vector<std::string> reserved{"/v1", "/healthz", "/readyz", "/metrics"};
    return std::any_of(reserved.begin(), reserved.end(), [&path](const std::string &each) {
        return path.starts_with(each) && (path.size() == each.size() || path[each.size()] == '/');
    });
}

void checkModelService(const Located<ServiceDeclaration> &service, const DeclaredNames &names,
                       SettingsErrors &errors)
{
    names.models.require(service, "model", service.value.model.value());
    if (!service.value.pathPrefix.empty())
        errors.push_back(service.problem("path_prefix", "expected only on services of kind plain"));
    if (!service.value.idempotentPaths.empty())
        errors.push_back(
            service.problem("idempotent_paths", "expected only on services of kind plain"));
    if (service.value.firstTokenTarget > service.value.timeout)
        errors.push_back(service.problem("first_token_target",
                                         "expected at most the timeout, found "
                                             + formatDuration(service.value.firstTokenTarget)));
}

void checkPathPrefix(const Located<ServiceDeclaration> &service, SettingsErrors &errors)
{
    const std::string &prefix = service.value.pathPrefix;
    if (!isPathPrefix(prefix))
        errors.push_back(service.problem(
            "path_prefix",
            "expected a path such as /bay without a slash at the end, found '" + prefix + "'"));
    else if (isReservedPath(prefix))
        errors.push_back(service.problem(
            "path_prefix",
            "expected a path outside /v1, /healthz, /readyz and /metrics, found '" + prefix + "'"));
}

std::string expectedBelow(const std::string &below, const std::string &found)
{
    return "expected paths below '" + below + "', found '" + found + "'";
}

void checkIdempotentPaths(const Located<ServiceDeclaration> &service, SettingsErrors &errors)
{
    if (service.value.idempotent && !service.value.idempotentPaths.empty())
        errors.push_back(service.problem("idempotent_paths",
                                         "expected only on services with idempotent: false"));
    if (!isPathPrefix(service.value.pathPrefix))
        return;
    const std::string below = service.value.pathPrefix + "/";
    for (const std::string &path : service.value.idempotentPaths) {
        if (!isPathPrefix(path) || !path.starts_with(below))
            errors.push_back(service.problem("idempotent_paths", expectedBelow(below, path)));
    }
}

void checkPlainService(const Located<ServiceDeclaration> &service, SettingsErrors &errors)
{
    if (!service.value.model.value().empty())
        errors.push_back(service.problem("model", "expected only on services of kind model"));
    checkPathPrefix(service, errors);
    checkIdempotentPaths(service, errors);
}

void checkServices(const LocatedConfiguration &configuration, const DeclaredNames &names,
                   SettingsErrors &errors)
{
    UniqueValues ids("service id", errors);
    UniqueValues paths("path prefix", errors);
    for (const auto &each : configuration.services) {
        ids.add(each, "id", each.value.id.value());
        names.priorityClasses.require(each, "priority_class", each.value.priorityClass);
        if (each.value.kind == ServiceKind::Model) {
            checkModelService(each, names, errors);
            continue;
        }
        checkPlainService(each, errors);
        paths.add(each, "path_prefix", each.value.pathPrefix);
    }
}

void checkCustomers(const LocatedConfiguration &configuration, const DeclaredNames &names,
                    SettingsErrors &errors)
{
    UniqueValues ids("customer id", errors);
    UniqueValues keys("key over all customers", errors);
    for (const auto &each : configuration.customers) {
        ids.add(each, "id", each.value.id.value());
        for (const std::string &key : each.value.keySha256)
            keys.add(each, "key_sha256", key);
        for (const ServiceId &service : each.value.services)
            names.services.require(each, "services", service.value());
    }
}

const ServiceDeclaration *findService(const LocatedConfiguration &configuration,
                                      const ServiceId &id)
{
    const auto found = std::find_if(configuration.services.begin(), configuration.services.end(),
                                    [&id](const auto &each) { return each.value.id == id; });
    return found == configuration.services.end() ? nullptr : &found->value;
}

void checkBackends(const LocatedConfiguration &configuration, const DeclaredNames &names,
                   SettingsErrors &errors)
{
    UniqueValues ids("backend server id", errors);
    UniqueValues addresses("host and port", errors);
    for (const auto &each : configuration.backends) {
        const BackendDeclaration &backend = each.value;
        ids.add(each, "id", backend.id.value());
        addresses.add(each, "port", backend.host + ":" + std::to_string(backend.port));
        names.sites.require(each, "site", backend.site.value());
        names.services.require(each, "service", backend.service.value());
        const ServiceDeclaration *service = findService(configuration, backend.service);
        const bool plain = service != nullptr && service->kind == ServiceKind::Plain;
        if (plain && backend.role != EngineRole::Mixed)
            errors.push_back(
                each.problem("role", "expected no role on a backend server of a plain service"));
    }
}

template <typename T>
std::vector<T> values(const std::vector<Located<T>> &located)
{
    std::vector<T> result;
    result.reserve(located.size());
    for (const Located<T> &each : located)
        result.push_back(each.value);
    return result;
}

template <typename T>
std::vector<Located<T>> withKeys(const std::vector<T> &values, const std::string &section)
{
    std::vector<Located<T>> result;
    result.reserve(values.size());
    for (const T &value : values) {
        Located<T> located;
        located.value = value;
        located.key = section + "[" + std::to_string(result.size()) + "]";
        result.push_back(std::move(located));
    }
    return result;
}

} // namespace

void checkRules(const LocatedConfiguration &configuration, SettingsErrors &errors)
{
    const DeclaredNames names = collectNames(configuration, errors);
    checkSites(configuration, errors);
    checkPriorityClasses(configuration, errors);
    checkModels(configuration, names, errors);
    checkServices(configuration, names, errors);
    checkCustomers(configuration, names, errors);
    checkBackends(configuration, names, errors);
}

DeclaredConfiguration withoutLocations(const LocatedConfiguration &configuration)
{
    DeclaredConfiguration plain;
    plain.sites = configuration.sites.value;
    plain.priorityClasses = values(configuration.priorityClasses);
    plain.models = values(configuration.models);
    plain.services = values(configuration.services);
    plain.customers = values(configuration.customers);
    plain.backends = values(configuration.backends);
    plain.siteModels = values(configuration.siteModels);
    plain.planner = configuration.planner.value;
    plain.weightStoreBytesPerSecond = configuration.general.value.weightStoreBytesPerSecond;
    plain.idempotencyLifetime = configuration.general.value.idempotencyLifetime;
    return plain;
}

LocatedConfiguration withKeyLocations(const DeclaredConfiguration &configuration)
{
    LocatedConfiguration located;
    located.sites.value = configuration.sites;
    located.sites.key = "sites";
    located.priorityClasses = withKeys(configuration.priorityClasses, "priority_classes");
    located.models = withKeys(configuration.models, "models");
    located.services = withKeys(configuration.services, "services");
    located.customers = withKeys(configuration.customers, "customers");
    located.backends = withKeys(configuration.backends, "backends");
    located.siteModels = withKeys(configuration.siteModels, "site_models");
    located.planner.value = configuration.planner;
    located.planner.key = "planner";
    located.general.value
        = {configuration.weightStoreBytesPerSecond, configuration.idempotencyLifetime};
    return located;
}

} // namespace gentianramp
