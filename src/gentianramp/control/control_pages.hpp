#pragma once

#include <gentianramp/core/metrics.hpp>
#include <gentianramp/http/message.hpp>
#include <gentianramp/ledger/configuration_distribution.hpp>

namespace gentianramp {

/// State of a control process shown by /readyz.
struct ControlStatus
{
    InstanceId instance;
    DataCentreId dataCentre;
    bool voter = false;
    bool leads = false;
    bool shuttingDown = false;
};

/// Status 200 while a leader of the ledger is known and no shutdown has begun, else 503.
HttpResponse controlReadyPage(const ControlStatus &status,
                              const ConfigurationDistribution &distribution, TimePoint now);
HttpResponse controlHealthPage();
HttpResponse controlMetricsPage(const MetricsRegistry &metrics);
HttpResponse controlNotFoundPage();

} // namespace gentianramp
