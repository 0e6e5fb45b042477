#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <gentianramp/core/error.hpp>
#include <gentianramp/http/client.hpp>
#include <gentianramp/http/process_resources.hpp>
#include <gentianramp/registry/registry_feed.hpp>
#include <gentianramp/relay/relay_service.hpp>
#include <memory>
#include <vector>

namespace gentianramp {

/// Options of a RelayNode.
struct RelayNodeOptions
{
    InstanceId self;              ///< Address of this process in the mesh.
    InstanceId peerListenAddress; ///< Listens for messages of other entry processes.
    /// Listens for requests that other entry processes hand over; all have the same port.
    HttpAddress helperListenAddress;
    HttpAddress callerListenAddress;    ///< Listens for callers' requests.
    HttpAddress readinessListenAddress; ///< Listens for readiness probes.
    std::string readinessPath;
    HttpAddress metricsAddress; ///< Port 0: metrics are not served.
    ProcessResources resources; ///< Bounds what all connections of the process hold.
    std::vector<InstanceId> seeds;
    Duration gracePeriod = std::chrono::seconds(8); ///< From SIGTERM until the process is killed.
    /// Time after a fault in which the processes have to reach each other again.
    Duration contactTime = std::chrono::seconds(3);
    /// Parses a declaration in the form in which the registry stores it.
    std::function<Result<Declaration>(const RawDeclaration &)> parseDeclaration;
    RelayOptions relay;
    /// Length of the windows in which customers' requests are counted; empty: they are not.
    std::optional<Duration> usageWindow;
};

/// An entry process: HTTP servers for callers, readiness probes and metrics, the relay on declared
/// routes, and the feed of its configuration from the registry. Used on one thread.
class RelayNode
{
public:
    RelayNode(boost::asio::any_io_executor executor, RelayNodeOptions options);
    ~RelayNode();
    RelayNode(const RelayNode &) = delete;
    RelayNode &operator=(const RelayNode &) = delete;

    /// Binds the servers; an error when an address can't be bound.
    Result<bool> start();
    void setSeeds(std::vector<InstanceId> seeds);
    /// Reports not ready, answers the remaining requests, and calls @p done before the grace period
    /// is over.
    void drain(std::function<void()> done);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gentianramp
