#pragma once

#include "sections.hpp"

namespace gentianramp {

/// A declared configuration with the file and line of each part.
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

/// Checks rules that concern several parts: references, uniqueness, sums.
void checkRules(const LocatedConfiguration &configuration, SettingsErrors &errors);

DeclaredConfiguration withoutLocations(const LocatedConfiguration &configuration);
/// Adds the YAML path of each value, such as "services[2]", without files and lines.
LocatedConfiguration withKeyLocations(const DeclaredConfiguration &configuration);

} // namespace gentianramp
