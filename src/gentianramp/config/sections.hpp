#pragma once

#include "field_table.hpp"

#include <gentianramp/config/declared_configuration.hpp>

namespace gentianramp {

/// The section "general" of the configuration.
struct GeneralSettings
{
    double weightStoreBytesPerSecond = DeclaredConfiguration{}.weightStoreBytesPerSecond;
    Duration idempotencyLifetime = DeclaredConfiguration{}.idempotencyLifetime;
};

const FieldTable<PriorityClass> &priorityClassFields();
const FieldTable<ModelDeclaration> &modelFields();
const FieldTable<ServiceDeclaration> &serviceFields();
const FieldTable<CustomerDeclaration> &customerFields();
const FieldTable<BackendDeclaration> &backendFields();
const FieldTable<SiteModelDeclaration> &siteModelFields();
const FieldTable<PlannerSettings> &plannerFields();
const FieldTable<GeneralSettings> &generalFields();

} // namespace gentianramp
