#include <gentianramp/planner/demand_summary.hpp>

#include <algorithm>

#include "gentianramp/planner/generated/demand.pb.h"

namespace gentianramp {
namespace {

constexpr Duration ShortestSpan = std::chrono::milliseconds(50);

void encodeService(const ServiceDemand &demand, proto::ServiceDemand &message)
{
    message.set_service(demand.service.value());
    message.set_priority(demand.priority);
    message.set_requests(demand.requests);
    message.set_prompt_tokens(demand.promptTokens);
    message.set_cached_tokens(demand.cachedTokens);
    message.set_output_tokens(demand.outputTokens);
    message.set_refused(demand.refused);
    message.set_waiting_prompt_tokens(demand.waitingPromptTokens);
    message.set_waiting_output_tokens(demand.waitingOutputTokens);
    message.set_outstanding_prompt_tokens(demand.outstandingPromptTokens);
    message.set_outstanding_output_tokens(demand.outstandingOutputTokens);
}

ServiceDemand decodeService(const proto::ServiceDemand &message)
{
    return {.service = ServiceId(message.service()),
            .priority = message.priority(),
            .requests = message.requests(),
            .promptTokens = message.prompt_tokens(),
            .cachedTokens = message.cached_tokens(),
            .outputTokens = message.output_tokens(),
            .refused = message.refused(),
            .waitingPromptTokens = message.waiting_prompt_tokens(),
            .waitingOutputTokens = message.waiting_output_tokens(),
            .outstandingPromptTokens = message.outstanding_prompt_tokens(),
            .outstandingOutputTokens = message.outstanding_output_tokens()};
}

void addTo(AggregateDemand &total, const ServiceDemand &demand, double span)
{
    total.requestsPerSecond += static_cast<double>(demand.requests) / span;
    total.promptTokensPerSecond += static_cast<double>(demand.promptTokens) / span;
    total.outputTokensPerSecond += static_cast<double>(demand.outputTokens) / span;
    total.refusedPerSecond += static_cast<double>(demand.refused) / span;
    total.waitingPromptTokens += static_cast<double>(demand.waitingPromptTokens);
    total.waitingOutputTokens += static_cast<double>(demand.waitingOutputTokens);
    total.outstandingPromptTokens += static_cast<double>(demand.outstandingPromptTokens);
    total.outstandingOutputTokens += static_cast<double>(demand.outstandingOutputTokens);
}

} // namespace

std::string encodeDemand(const DemandSample &sample)
{
    proto::DemandSample message;
    message.set_instance(sample.instance.value());
    message.set_span_ns(sample.span.count());
    for (const ServiceDemand &demand : sample.services)
        encodeService(demand, *message.add_services());
    return message.SerializeAsString();
}

Result<DemandSample> decodeDemand(std::string_view payload)
{
    proto::DemandSample message;
    if (!message.ParseFromArray(payload.data(), static_cast<int>(payload.size())))
        return {Error::Malformed, "demand sample is not a valid protobuf message"};
    if (message.span_ns() <= 0)
        return {Error::Malformed, "span of a demand sample must be positive"};
    DemandSample sample{.instance = InstanceId(message.instance()),
                        .span = Duration(message.span_ns())};
    sample.services.reserve(static_cast<std::size_t>(message.services_size()));
    for (const proto::ServiceDemand &service : message.services())
        sample.services.push_back(decodeService(service));
    return sample;
}

DemandSummary::DemandSummary(Duration staleness)
    : m_staleness(staleness)
{ }

void DemandSummary::add(const DemandSample &sample, TimePoint now)
{
    if (sample.span < ShortestSpan)
        return;
    m_samples[sample.instance] = {sample, now};
    std::erase_if(m_samples,
                  [this, now](const auto &entry) { return entry.second.at + m_staleness < now; });
}

AggregateDemand DemandSummary::total(const ServiceId &service, TimePoint now) const
{
    AggregateDemand total;
    for (const auto &[instance, received] : m_samples) {
        if (received.at + m_staleness < now)
            continue;
        const double span = std::chrono::duration<double>(received.sample.span).count();
        for (const ServiceDemand &demand : received.sample.services) {
            if (demand.service == service)
                addTo(total, demand, span);
        }
    }
    return total;
}

} // namespace gentianramp
