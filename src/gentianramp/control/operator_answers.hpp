#pragma once

#include <gentianramp/control/ledger_driver.hpp>

#include <gentianramp/control/generated/operator.pb.h>
#include <gentianramp/ledger/configuration_distribution.hpp>

namespace gentianramp {

/// Status known to this process; @p ledger may be null. @p confirmed is true when a majority has
/// just confirmed that this process leads.
proto::OperatorAnswer statusAnswer(const LedgerDriver *ledger,
                                   const ConfigurationDistribution &distribution, bool confirmed,
                                   TimePoint now);
proto::OperatorAnswer historyAnswer(const ConfigurationStore &store, std::uint32_t limit);
proto::OperatorAnswer configurationAnswer(const ConfigurationStore &store, Revision revision);
proto::OperatorAnswer membersAnswer(const ConfigurationDistribution &distribution, TimePoint now);
proto::OperatorAnswer commandAnswer(const CommandAnswer &decided);
proto::OperatorAnswer errorAnswer(proto::OperatorError error, const std::string &message);

} // namespace gentianramp
