#pragma once

#include "fleet_tables.hpp"

#include <gentianramp/config/declared_configuration.hpp>
#include <gentianramp/control/generated/operator.pb.h>
#include <string>

namespace gentianramp {

/// Engines of @p dataCentre, or of all that were heard of when it is empty, with what
/// @p configuration declares of them.
proto::OperatorAnswer enginesAnswer(const FleetTables &fleetTables,
                                    const DeclaredConfiguration &configuration,
                                    const std::string &dataCentre, TimePoint now);
/// Roles and lease holders of all data centres that were heard of.
proto::OperatorAnswer rolesAnswer(const FleetTables &fleetTables, TimePoint now);

} // namespace gentianramp
