#include "meter.hpp"
#include "slopes.hpp"

#include <gentianramp/planner/demand_summary.hpp>

namespace gentianramp {

void measureDemand()
{
    std::vector<SlopePoint> bytes;
    for (const std::size_t services : {2, 4, 8, 16, 32}) {
        DemandSample sample;
        sample.instance = InstanceId("entry-1");
        sample.span = std::chrono::seconds(1);
        for (std::size_t number = 0; number < services; ++number) {
            ServiceDemand demand;
            demand.service = ServiceId("service-" + std::to_string(number));
            demand.requests = 100;
            demand.promptTokens = 60000;
            demand.cachedTokens = 10000;
            demand.outputTokens = 20000;
            demand.outstandingPromptTokens = 5000;
            demand.outstandingOutputTokens = 9000;
            sample.services.push_back(demand);
        }
        bytes.push_back(
            {static_cast<double>(services), static_cast<double>(encodeDemand(sample).size())});
    }
    printSlope("slopes.demand_bytes", "bytes", bytes);
}

} // namespace gentianramp
