#include "status_pages.hpp"

#include <nlohmann/json.hpp>

namespace gentianramp {

namespace {

using nlohmann::json;

HttpResponse jsonPage(unsigned status, const json &body)
{
    HttpResponse response;
    response.status = status;
    response.headers.add("Content-Type", "application/json");
    response.body = body.dump() + "\n";
    return response;
}

} // namespace

HttpResponse healthPage()
{
    return jsonPage(200, {{"status", "ok"}});
}

HttpResponse readyPage(const InstanceStatus &status, const ServiceDirectory &directory,
                       TimePoint now)
{
    const bool ready = !status.shuttingDown && !directory.isEmpty();
    const json body{{"instance", status.instance.value()},
                    {"data_centre", status.dataCentre.value()},
                    {"ready", ready},
                    {"shutting_down", status.shuttingDown},
                    {"keys_learning", status.keysLearning},
                    {"active_requests", status.activeRequests},
                    {"waiting_requests", status.waiting},
                    {"revision", directory.revision().value()},
                    {"revision_age_ms", toMilliseconds(now - directory.inForceSince())}};
    return jsonPage(ready ? 200 : 503, body);
}

HttpResponse metricsPage(const MetricsRegistry &metrics)
{
    HttpResponse response;
    response.headers.add("Content-Type", "text/plain; version=0.0.4");
    response.body = metrics.prometheusText();
    return response;
}

HttpResponse modelsPage(const ServiceDirectory &directory)
{
    json models = json::array();
    for (const ServiceDeclaration &service : directory.configuration().services) {
        if (service.kind == ServiceKind::Model)
            models.push_back({{"id", service.model.value()},
                              {"object", "model"},
                              {"owned_by", service.id.value()}});
    }
    return jsonPage(200, {{"object", "list"}, {"data", models}});
}

} // namespace gentianramp
