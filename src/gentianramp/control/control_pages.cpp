#include "control_pages.hpp"

#include <nlohmann/json.hpp>

namespace gentianramp {

namespace {

using nlohmann::json;

HttpResponse page(unsigned status, const std::string &type, std::string body)
{
    HttpResponse response;
    response.status = status;
    response.headers.add("Content-Type", type);
    response.body = std::move(body);
    return response;
}

HttpResponse jsonPage(unsigned status, const json &body)
{
    return page(status, "application/json", body.dump() + "\n");
}

} // namespace

HttpResponse controlReadyPage(const ControlStatus &status,
                              const ConfigurationDistribution &distribution, TimePoint now)
{
    const std::optional<InstanceId> leader = distribution.leader();
    const std::optional<Duration> age = distribution.age(now);
    const bool ready = leader.has_value() && !status.shuttingDown;
    const json body{{"instance", status.instance.value()},
                    {"data_centre", status.dataCentre.value()},
                    {"ready", ready},
                    {"shutting_down", status.shuttingDown},
                    {"voter", status.voter},
                    {"leads", status.leads},
                    {"leader", leader ? json(leader->value()) : json()},
                    {"parent", distribution.parent().value()},
                    {"revision", distribution.current().revision.value()},
                    {"revision_age_ms", age ? json(toMilliseconds(*age)) : json()}};
    return jsonPage(ready ? 200 : 503, body);
}

HttpResponse controlHealthPage()
{
    return jsonPage(200, {{"status", "ok"}});
}

HttpResponse controlMetricsPage(const MetricsRegistry &metrics)
{
    return page(200, "text/plain; version=0.0.4", metrics.prometheusText());
}

HttpResponse controlNotFoundPage()
{
    return jsonPage(404, {{"error", "not found"}});
}

} // namespace gentianramp
