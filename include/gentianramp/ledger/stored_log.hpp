#pragma once

#include <gentianramp/ledger/generated/ledger.pb.h>
#include <vector>

namespace gentianramp {

/// Content of a data folder: the log after its snapshot and the state of elections.
struct StoredLog
{
    proto::HardState hardState;
    proto::LedgerSnapshot snapshot; ///< Index 0 when there is none.
    std::vector<proto::LogEntry> entries;
};

} // namespace gentianramp
