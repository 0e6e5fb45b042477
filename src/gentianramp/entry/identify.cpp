#include "identify.hpp"

#include <algorithm>

namespace gentianramp {

FilterResult<IdentifiedRequest> identify(CallerRequest request,
                                         std::shared_ptr<const ServiceDirectory> directory)
{
    const Verdict verdict = request.undispatchedVerdict();
    const CustomerDeclaration *customer = directory->customerOfKey(request.bearerKey);
    if (!customer)
        return RequestError{
            401, verdict, "unknown_key", "the bearer key is missing or unknown", {}};
    const ServiceDeclaration *service = request.completion
        ? directory->modelService(request.completion->model)
        : directory->plainService(request.path());
    if (!service) {
        const std::string what = request.completion ? "model " + request.completion->model
                                                    : "path " + std::string(request.path());
        return RequestError{404,
                            verdict,
                            request.completion ? "unknown_model" : "unknown_path",
                            "no service for " + what,
                            {}};
    }
    if (!mayUse(*customer, service->id))
        return RequestError{
            403, verdict, "service_not_allowed", "the customer may not use this service", {}};
    IdentifiedRequest identified;
    identified.service = service;
    identified.customer = customer->id;
    identified.priority = directory->priorityOf(*service);
    identified.idempotent = isIdempotent(*service, request.path());
    const Duration timeout = std::min(request.timeout.value_or(service->timeout), service->timeout);
    identified.deadline = request.arrivedAt + timeout;
    identified.directory = std::move(directory);
    identified.caller = std::move(request);
    if (!identified.idempotent && !identified.caller.hasCallerId)
        return RequestError{400,
                            verdict,
                            "idempotency_key_missing",
                            "this service requires an Idempotency-Key, so that a repeated request "
                            "does not run twice",
                            {}};
    return identified;
}

} // namespace gentianramp
