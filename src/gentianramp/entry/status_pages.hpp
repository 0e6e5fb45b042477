#pragma once

#include "service_directory.hpp"

#include <gentianramp/core/metrics.hpp>
#include <gentianramp/http/message.hpp>
#include <gentianramp/routing/fleet_view.hpp>
#include <optional>
#include <vector>

namespace gentianramp {

/// Status of an entry instance for its status pages.
struct InstanceStatus
{
    InstanceId instance;
    DataCentreId dataCentre;
    bool shuttingDown = false;
    bool keysLearning
        = false; ///< The local replica of idempotency keys still learns from its peers.
    std::size_t activeRequests = 0;
    std::size_t waiting = 0;
};

/// Page of /healthz: the process is alive.
HttpResponse healthPage();
/// Page of /readyz: 200 when new requests are accepted, else 503.
HttpResponse readyPage(const InstanceStatus &status, const ServiceDirectory &directory,
                       TimePoint now);
/// Page of /metrics in the Prometheus text format.
HttpResponse metricsPage(const MetricsRegistry &metrics);
/// Page of /v1/models: models that the declared services offer.
HttpResponse modelsPage(const ServiceDirectory &directory);

} // namespace gentianramp
