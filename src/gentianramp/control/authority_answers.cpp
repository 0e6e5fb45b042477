#include "authority_answers.hpp"

#include <algorithm>
#include <gentianramp/core/time_order.hpp>
#include <map>

namespace gentianramp {

namespace {

std::string phaseName(BackendPhase phase)
{
    switch (phase) {
    case BackendPhase::Serving:
        return "serving";
    case BackendPhase::Draining:
        return "draining";
    case BackendPhase::Changing:
        return "changing";
    case BackendPhase::Leaving:
        return "leaving";
    case BackendPhase::Unreachable:
        return "unreachable";
    }
    return "unknown";
}

std::string roleName(const BackendView &backend)
{
    if (backend.models.empty())
        return "service";
    switch (backend.role) {
    case EngineRole::Prefill:
        return "prefill";
    case EngineRole::Decode:
        return "decode";
    case EngineRole::Mixed:
        break;
    }
    return "mixed";
}

std::uint64_t ageMs(const SiteOverview &site, TimePoint now)
{
    const auto age = ageOf(site.confirmedAt, now, "fleet.confirmation_not_after_now");
    return age ? static_cast<std::uint64_t>(toMilliseconds(*age)) : UINT64_MAX;
}

const BackendDeclaration *findBackend(const DeclaredConfiguration &configuration,
                                      const BackendId &id)
{
    const auto found = std::find_if(configuration.backends.begin(), configuration.backends.end(),
                                    [&id](const auto &backend) { return backend.id == id; });
    return found == configuration.backends.end() ? nullptr : &*found;
}

void countRole(proto::RolePlan &plan, EngineRole role)
{
    if (role == EngineRole::Prefill)
        plan.set_prefill(plan.prefill() + 1);
    else if (role == EngineRole::Decode)
        plan.set_decode(plan.decode() + 1);
    else
        plan.set_mixed(plan.mixed() + 1);
}

} // namespace

proto::OperatorAnswer enginesAnswer(const FleetTables &fleetTables,
                                    const DeclaredConfiguration &configuration,
                                    const std::string &dataCentre, TimePoint now)
{
    proto::OperatorAnswer answer;
    proto::EnginesAnswer &engines = *answer.mutable_engines();
    for (const SiteOverview &site : fleetTables.sites()) {
        if (!dataCentre.empty() && site.fleet.site.value() != dataCentre)
            continue;
        for (const BackendView &backend : site.fleet.backends) {
            proto::EngineStatus &status = *engines.add_engines();
            status.set_backend(backend.id.value());
            status.set_data_centre(site.fleet.site.value());
            status.set_service(backend.service.value());
            status.set_role(roleName(backend));
            status.set_phase(phaseName(backend.phase));
            for (const LoadedModel &loaded : backend.models)
                status.add_versions(loaded.model.value() + "=" + loaded.version);
            status.set_fencing(site.fencing.value());
            status.set_age_ms(ageMs(site, now));
            if (const BackendDeclaration *declared = findBackend(configuration, backend.id)) {
                status.set_checks_fencing(declared->checksFencing);
                status.set_drained(declared->drained);
            }
        }
    }
    return answer;
}

proto::OperatorAnswer rolesAnswer(const FleetTables &fleetTables, TimePoint now)
{
    proto::OperatorAnswer answer;
    for (const SiteOverview &site : fleetTables.sites()) {
        std::map<ServiceId, proto::RolePlan> plans;
        for (const BackendView &backend : site.fleet.backends) {
            if (!backend.models.empty())
                countRole(plans[backend.service], backend.role);
        }
        for (auto &[service, plan] : plans) {
            plan.set_data_centre(site.fleet.site.value());
            plan.set_service(service.value());
            plan.set_changes(site.roleChanges);
            plan.set_lease_holder(site.holder.value());
            plan.set_fencing(site.fencing.value());
            plan.set_age_ms(ageMs(site, now));
            *answer.mutable_roles()->add_plans() = plan;
        }
    }
    return answer;
}

} // namespace gentianramp
