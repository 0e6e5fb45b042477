#pragma once

#include "relay.hpp"
#include "service_directory.hpp"

#include <atomic>
#include <gentianramp/core/ids.hpp>
#include <memory>

namespace gentianramp {

/// Options of a Pipeline.
struct PipelineOptions
{
    InstanceId instance;
    Incarnation incarnation;
    RequestContext context;
    std::shared_ptr<SharedKeyService> keyService;
    /// The configuration in force.
    std::function<std::shared_ptr<const ServiceDirectory>()> directory;
    /// True when new requests are refused.
    std::function<bool()> shuttingDown;
};

/// Runs a request through the filters accept, identify, deduplicate, admit, choose, dispatch, relay
/// and settle.
class Pipeline
{
public:
    explicit Pipeline(PipelineOptions options);

    boost::asio::awaitable<void> serve(HttpRequest request, ResponseWriter &writer);

private:
    RequestId nextRequestId();
    std::uint32_t nextAttemptPrefix();
    boost::asio::awaitable<PipelineOutcome> process(CallerRequest request, ResponseWriter &writer);
    boost::asio::awaitable<PipelineOutcome>
    sendStoredAnswer(const RequestId &request, StoredAnswer answer, ResponseWriter &writer);
    boost::asio::awaitable<void> settle(RequestId request, TimePoint arrivedAt,
                                        PipelineOutcome outcome, ResponseWriter &writer);

    PipelineOptions m_options;
    std::string m_idPrefix;
    std::atomic<std::uint64_t> m_lastRequest{0};
    std::atomic<std::uint32_t> m_lastAttemptPrefix;
};

} // namespace gentianramp
