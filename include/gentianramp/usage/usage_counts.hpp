#pragma once

#include <cstdint>
#include <gentianramp/core/ids.hpp>
#include <map>
#include <string>

namespace gentianramp {

/// Requests of one customer in one usage window. Counts of one process only grow.
struct CustomerCounts
{
    std::uint32_t begun = 0;   ///< That began to run.
    std::uint32_t arrived = 0; ///< Attempts of callers, whether they ran or not.
    std::uint64_t work = 0;    ///< Tokens that engines had to read or to write for them.
    bool operator==(const CustomerCounts &) const = default;
};

/// Counts by the customer's name.
using UsageCounts = std::map<std::string, CustomerCounts>;

/// Counts by the number of the usage window.
using UsageWindows = std::map<std::uint64_t, UsageCounts>;

/// What an entry process counted, or what changed of it.
struct InstanceUsage
{
    InstanceId instance;
    std::uint64_t incarnation = 0; ///< Counts of another process of the instance start anew.
    std::uint64_t sequence = 0;    ///< Rises with each change.
    std::int64_t completeMs = 0;   ///< True time up to which the counts are complete.
    UsageWindows windows;
    bool operator==(const InstanceUsage &) const = default;
};

/// Adds each count.
void addCounts(UsageCounts &sum, const UsageCounts &counts);

} // namespace gentianramp
