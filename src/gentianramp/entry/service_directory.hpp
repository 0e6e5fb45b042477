#pragma once

#include <cstdint>
#include <gentianramp/config/declared_configuration.hpp>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/declaration/customer_keys.hpp>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace gentianramp {

/// Immutable index of one configuration, for look-ups while a request is processed.
class ServiceDirectory
{
public:
    ServiceDirectory(DeclaredConfiguration configuration, Revision revision, TimePoint now);
    ServiceDirectory(const ServiceDirectory &) = delete;
    ServiceDirectory &operator=(const ServiceDirectory &) = delete;

    /// Model service whose model or service name is @p name; null when there is none.
    const ServiceDeclaration *modelService(std::string_view name) const;
    /// Plain service whose path prefix is the longest that matches @p path; null when there is
    /// none.
    const ServiceDeclaration *plainService(std::string_view path) const;
    /// Customer of a bearer key; null when it is unknown.
    const CustomerDeclaration *customerOfKey(std::string_view bearerKey) const;
    /// Level of the service's priority class; a lower priority than all classes when it has none.
    std::uint32_t priorityOf(const ServiceDeclaration &service) const;

    /// True when no service is declared, as before the first configuration arrived.
    bool isEmpty() const noexcept { return m_configuration.services.empty(); }
    const DeclaredConfiguration &configuration() const noexcept { return m_configuration; }
    Revision revision() const noexcept { return m_revision; }
    TimePoint inForceSince() const noexcept { return m_inForceSince; }

private:
    DeclaredConfiguration m_configuration;
    Revision m_revision;
    TimePoint m_inForceSince;
    std::map<std::string, const ServiceDeclaration *, std::less<>> m_models;
    std::vector<const ServiceDeclaration *> m_plain; ///< Longest prefix first.
    CustomerKeys m_keys;                             ///< Indices of the configuration's customers.
    std::map<std::string, std::uint32_t, std::less<>> m_levels;
    std::uint32_t m_unclassifiedLevel = 0; ///< Of services without a known priority class.
};

/// True when @p customer may use @p service.
bool mayUse(const CustomerDeclaration &customer, const ServiceId &service);

} // namespace gentianramp
