#pragma once

#include "relay.hpp"
#include "service_directory.hpp"

#include <atomic>
#include <gentianramp/core/ids.hpp>
#include <memory>

namespace gentianramp {

/// What a Pipeline works with.
struct PipelineParts
{
    InstanceId instance;
    Incarnation incarnation;
    RequestTools tools;
    std::shared_ptr<KeyGate> keys;
    /// The configuration in force.
    std::function<std::shared_ptr<const ServiceDirectory>()> directory;
    /// True when no new work is taken.
    std::function<bool()> shuttingDown;
};

/// The filters that a request passes: accept, identify, deduplicate, admit, choose, dispatch,
/// relay, settle.
class Pipeline
{
public:
    explicit Pipeline(PipelineParts parts);

    boost::asio::awaitable<void> serve(HttpRequest request, ResponseWriter &writer);

private:
    RequestId nextRequestId();
    std::uint32_t nextAttemptSalt();
    boost::asio::awaitable<RelayEnd> process(CallerRequest request, ResponseWriter &writer);
    boost::asio::awaitable<RelayEnd> sendEarlier(const RequestId &request, StoredAnswer answer,
                                                 ResponseWriter &writer);
    boost::asio::awaitable<void> settle(RequestId request, TimePoint arrivedAt, RelayEnd end,
                                        ResponseWriter &writer);

    PipelineParts m_parts;
    std::string m_idPrefix;
    std::atomic<std::uint64_t> m_lastRequest{0};
    std::atomic<std::uint32_t> m_lastSalt;
};

} // namespace gentianramp
