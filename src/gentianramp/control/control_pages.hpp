#pragma once

#include <gentianramp/core/metrics.hpp>
#include <gentianramp/http/message.hpp>
#include <gentianramp/ledger/configuration_distribution.hpp>

namespace gentianramp {

/// What /readyz tells of a control process.
struct ControlStatus
{
    InstanceId instance;
    DataCentreId dataCentre;
    bool voter = false;
    bool leads = false;
    bool shuttingDown = false;
};

/// 200 while operators' requests can be taken here, else 503.
HttpResponse controlReadyPage(const ControlStatus &status, const ConfigurationDistribution &spread,
                              TimePoint now);
HttpResponse controlHealthPage();
HttpResponse controlMetricsPage(const MetricsRegistry &metrics);
HttpResponse controlNotFoundPage();

} // namespace gentianramp
