#pragma once

#include "caller_request.hpp"
#include "service_directory.hpp"

#include <memory>

namespace gentianramp {

/// A request with its customer and service; output of the identify filter.
struct IdentifiedRequest
{
    CallerRequest caller;
    std::shared_ptr<const ServiceDirectory> directory; ///< Keeps `service` alive.
    const ServiceDeclaration *service = nullptr;
    CustomerId customer;
    std::uint32_t priority = 0;
    bool idempotent = true;
    TimePoint deadline{};
};

/// Looks up the customer by bearer key and the service by model or path.
FilterResult<IdentifiedRequest> identify(CallerRequest request,
                                         std::shared_ptr<const ServiceDirectory> directory);

} // namespace gentianramp
