#include "sample_configuration.hpp"

namespace gentianramp {

namespace {

constexpr std::uint16_t FirstPort = 10000;

std::string numbered(const char *name, std::size_t number)
{
    return std::string(name) + std::to_string(number);
}

void addModels(DeclaredConfiguration &configuration, std::size_t count)
{
    for (std::size_t number = 0; number < count; ++number) {
        ModelDeclaration model;
        model.id = ModelId(numbered("model-", number));
        model.version = "1";
        configuration.models.push_back(model);
        ServiceDeclaration service;
        service.id = ServiceId(numbered("service-", number));
        service.model = model.id;
        service.priorityClass = "standard";
        configuration.services.push_back(service);
    }
}

void addCustomers(DeclaredConfiguration &configuration, std::size_t count)
{
    for (std::size_t number = 0; number < count; ++number) {
        CustomerDeclaration customer;
        customer.id = CustomerId(numbered("customer-", number));
        customer.keySha256 = {std::string(64, 'a')};
        customer.requestsPerSecond = 100;
        customer.tokensPerSecond = 100000;
        configuration.customers.push_back(customer);
    }
}

void addBackends(DeclaredConfiguration &configuration, const DataCentreId &site,
                 const SampleSize &size)
{
    for (std::size_t number = 0; number < size.backendsPerSite; ++number) {
        BackendDeclaration backend;
        backend.id = BackendId(site.value() + numbered("-engine-", number));
        backend.site = site;
        backend.service = configuration.services[number % size.models].id;
        backend.host = "127.0.0.1";
        backend.port = static_cast<std::uint16_t>(FirstPort + number);
        configuration.backends.push_back(backend);
    }
}

} // namespace

DeclaredConfiguration sampleConfiguration(const SampleSize &size)
{
    DeclaredConfiguration configuration;
    configuration.priorityClasses = {{"standard", 0, 0}};
    addModels(configuration, size.models);
    addCustomers(configuration, size.customers);
    for (std::size_t number = 0; number < size.sites; ++number) {
        const DataCentreId site(numbered("site-", number));
        configuration.sites.push_back(site);
        addBackends(configuration, site, size);
    }
    return configuration;
}

} // namespace gentianramp
