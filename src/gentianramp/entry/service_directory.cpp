#include "service_directory.hpp"

#include <algorithm>

namespace gentianramp {

namespace {

bool covers(std::string_view prefix, std::string_view path)
{
    if (!path.starts_with(prefix))
        return false;
    return path.size() == prefix.size() || prefix.ends_with('/') || path[prefix.size()] == '/';
}

} // namespace

ServiceDirectory::ServiceDirectory(DeclaredConfiguration configuration, Revision revision,
                                   TimePoint now)
    : m_configuration(std::move(configuration))
    , m_revision(revision)
    , m_inForceSince(now)
{
    for (const PriorityClass &entry : m_configuration.priorityClasses) {
        m_levels[entry.name] = entry.level;
        m_unclassifiedLevel = std::max(m_unclassifiedLevel, entry.level + 1);
    }
    for (const ServiceDeclaration &service : m_configuration.services) {
        if (service.kind == ServiceKind::Plain) {
            m_plain.push_back(&service);
            continue;
        }
        m_models[service.id.value()] = &service;
        m_models.try_emplace(service.model.value(), &service);
    }
    std::ranges::sort(m_plain, [](const auto *left, const auto *right) {
        return left->pathPrefix.size() > right->pathPrefix.size();
    });
    for (std::size_t index = 0; index < m_configuration.customers.size(); ++index) {
        for (const std::string &digest : m_configuration.customers[index].keySha256)
            m_keys.addDigest(digest, index);
    }
}

const ServiceDeclaration *ServiceDirectory::modelService(std::string_view name) const
{
    const auto found = m_models.find(name);
    return found == m_models.end() ? nullptr : found->second;
}

const ServiceDeclaration *ServiceDirectory::plainService(std::string_view path) const
{
    for (const ServiceDeclaration *service : m_plain) {
        if (covers(service->pathPrefix, path))
            return service;
    }
    return nullptr;
}

const CustomerDeclaration *ServiceDirectory::customerOfKey(std::string_view bearerKey) const
{
    const std::optional<std::size_t> index = m_keys.find(bearerKey);
    return index ? &m_configuration.customers[*index] : nullptr;
}

std::uint32_t ServiceDirectory::priorityOf(const ServiceDeclaration &service) const
{
    const auto found = m_levels.find(service.priorityClass);
    return found == m_levels.end() ? m_unclassifiedLevel : found->second;
}

bool mayUse(const CustomerDeclaration &customer, const ServiceId &service)
{
    return customer.services.empty() || std::ranges::count(customer.services, service) > 0;
}

} // namespace gentianramp
