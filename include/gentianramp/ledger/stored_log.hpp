#pragma once

#include <gentianramp/ledger/generated/ledger.pb.h>
#include <vector>

namespace gentianramp {

/// Content of a data folder: election state, snapshot and the log entries after it.
struct StoredLog
{
    proto::HardState hardState;
    proto::LedgerSnapshot snapshot; ///< Index 0 when there is none.
    std::vector<proto::LogEntry> entries;
};

} // namespace gentianramp
