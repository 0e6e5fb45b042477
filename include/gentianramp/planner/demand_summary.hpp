#pragma once

#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/error.hpp>
#include <gentianramp/core/ids.hpp>
#include <gentianramp/routing/demand.hpp>
#include <string>
#include <string_view>
#include <unordered_map>

namespace gentianramp {

/// Bytes of a sample, for PayloadKind::Demand.
std::string encodeDemand(const DemandSample &sample);
/// Reads the bytes of a sample; Error::Malformed when they are none.
Result<DemandSample> decodeDemand(std::string_view payload);

/// Demand for one service over a data centre.
struct ServiceRates
{
    double requestsPerSecond = 0;
    double promptTokensPerSecond = 0; ///< With expected cache hits subtracted.
    double outputTokensPerSecond = 0;
    double refusedPerSecond = 0;
    double waitingPromptTokens = 0; ///< In the queues of the entry instances.
    double waitingOutputTokens = 0;
    double outstandingPromptTokens = 0; ///< Dispatched, not prefilled yet.
    double outstandingOutputTokens = 0;
    bool operator==(const ServiceRates &) const = default;
};

/// Sums the samples of the entry instances of a data centre.
class DemandSummary
{
public:
    /// Samples older than @p staleness do not count.
    explicit DemandSummary(Duration staleness = std::chrono::seconds(5));

    void add(const DemandSample &sample, TimePoint now);
    /// Rates of @p service by the newest sample of each instance.
    ServiceRates total(const ServiceId &service, TimePoint now) const;

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
