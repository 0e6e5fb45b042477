#pragma once

#include "sections.hpp"

namespace gentianramp {

/// A declared configuration whose parts know the file and line that they came from.
struct LocatedConfiguration
{
    Located<std::vector<DataCentreId>> sites;
    std::vector<Located<PriorityClass>> priorityClasses;
    std::vector<Located<ModelDeclaration>> models;
    std::vector<Located<ServiceDeclaration>> services;
    std::vector<Located<CustomerDeclaration>> customers;
    std::vector<Located<BackendDeclaration>> backends;
    std::vector<Located<SiteModelDeclaration>> siteModels;
    Located<PlannerSettings> planner;
    Located<GeneralSettings> general;
};

/// Checks what holds between the parts: references, duplicates, sums.
void checkRules(const LocatedConfiguration &configuration, SettingsErrors &errors);

/// The plain values.
DeclaredConfiguration withoutLocations(const LocatedConfiguration &configuration);
/// The values with keys such as "services[2]" but without files and lines.
LocatedConfiguration withKeyLocations(const DeclaredConfiguration &configuration);

} // namespace gentianramp
