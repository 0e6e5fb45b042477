#pragma once

#include <gentianramp/admission/admission_queue.hpp>
#include <gentianramp/routing/router.hpp>

#include "gentianramp/routing/output_estimate.hpp"

namespace gentianramp {

/// A request that waits for a backend server.
struct WaitingRequest
{
    WaitNumber number = 0;
    RequestAttributes attributes;
    OutputLength output;
    double takenTokens = 0;   ///< Charged to the customer's limit.
    double engineSeconds = 0; ///< Expected engine time.
    DecisionCallback onDecision;

    WaitKey waitKey() const { return {attributes.priority, attributes.deadline, number}; }
};

using RequestQueue = AdmissionQueue<WaitingRequest>;

} // namespace gentianramp
