#pragma once

#include "fleet_tables.hpp"

#include <gentianramp/config/declared_configuration.hpp>
#include <gentianramp/control/generated/operator.pb.h>
#include <string>

namespace gentianramp {

/// State of the engines in the received fleet tables, together with their declarations in
/// @p configuration. An empty @p dataCentre stands for all data centres.
proto::OperatorAnswer enginesAnswer(const FleetTables &fleetTables,
                                    const DeclaredConfiguration &configuration,
                                    const std::string &dataCentre, TimePoint now);
/// Roles and lease holders of all data centres with a received fleet table.
proto::OperatorAnswer rolesAnswer(const FleetTables &fleetTables, TimePoint now);

} // namespace gentianramp
