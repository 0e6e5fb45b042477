#pragma once

#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/error.hpp>
#include <gentianramp/core/ids.hpp>
#include <gentianramp/routing/demand.hpp>
#include <string>
#include <string_view>
#include <unordered_map>

namespace gentianramp {

/// Encodes a sample as payload of PayloadKind::Demand.
std::string encodeDemand(const DemandSample &sample);
/// Decodes a sample; Error::Malformed when @p payload isn't a valid one.
Result<DemandSample> decodeDemand(std::string_view payload);

/// Demand for one service in a data centre, summed over its entry instances.
struct AggregateDemand
{
    double requestsPerSecond = 0;
    double promptTokensPerSecond = 0; ///< With expected cache hits subtracted.
    double outputTokensPerSecond = 0;
    double refusedPerSecond = 0;
    double waitingPromptTokens = 0; ///< Queued at the entry instances.
    double waitingOutputTokens = 0;
    double outstandingPromptTokens = 0; ///< Dispatched, not yet prefilled.
    double outstandingOutputTokens = 0;
    bool operator==(const AggregateDemand &) const = default;
};

/// Sums the samples of the entry instances of a data centre.
class DemandSummary
{
public:
    /// Samples received longer than @p staleness ago are ignored.
    explicit DemandSummary(Duration staleness = std::chrono::seconds(5));

    void add(const DemandSample &sample, TimePoint now);
    /// Demand for @p service, summed over the newest sample of each instance.
    AggregateDemand total(const ServiceId &service, TimePoint now) const;

private:
    struct Received
    {
        DemandSample sample;
        TimePoint at{};
    };

    Duration m_staleness;
    std::unordered_map<InstanceId, Received> m_samples;
};

} // namespace gentianramp
