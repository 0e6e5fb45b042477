#include "identify.hpp"

#include <algorithm>

namespace gentianramp {

Passed<IdentifiedRequest> identify(CallerRequest request,
                                   std::shared_ptr<const ServiceDirectory> directory)
{
    const Verdict prior = request.priorVerdict();
    const CustomerDeclaration *customer = directory->customerOfKey(request.bearerKey);
    if (!customer)
        return Exit{401, prior, "unknown_key", "the bearer key is missing or not known", {}};
    const ServiceDeclaration *service = request.ask ? directory->modelService(request.ask->model)
                                                    : directory->plainService(request.path());
    if (!service) {
        const std::string what
            = request.ask ? "model " + request.ask->model : "path " + std::string(request.path());
        return Exit{404,
                    prior,
                    request.ask ? "unknown_model" : "unknown_path",
                    "no service for " + what,
                    {}};
    }
    if (!mayUse(*customer, service->id))
        return Exit{403, prior, "service_not_allowed", "the customer may not use this service", {}};
    IdentifiedRequest identified;
    identified.service = service;
    identified.customer = customer->id;
    identified.priority = directory->priorityOf(*service);
    identified.idempotent = isIdempotent(*service, request.path());
    const Duration timeout = std::min(request.timeout.value_or(service->timeout), service->timeout);
    identified.deadline = request.arrivedAt + timeout;
    identified.directory = std::move(directory);
    identified.caller = std::move(request);
    if (!identified.idempotent && !identified.caller.named)
        return Exit{400,
                    prior,
                    "idempotency_key_missing",
                    "this service needs an Idempotency-Key, so that a repeat is not run twice",
                    {}};
    return identified;
}

} // namespace gentianramp
