#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <functional>
#include <gentianramp/config/node_settings.hpp>
#include <gentianramp/control/generated/operator.pb.h>
#include <gentianramp/core/error.hpp>
#include <gentianramp/core/metrics.hpp>
#include <gentianramp/core/timeline.hpp>
#include <gentianramp/ledger/configuration_distribution.hpp>
#include <gentianramp/ledger/data_folder.hpp>
#include <gentianramp/wire/mesh.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gentianramp {

/// Operations on encoded configurations, which are opaque bytes to the ledger.
struct ConfigurationOperations
{
    /// Returns the text of all errors of the configuration that @p bytes encode; empty when there
    /// are none.
    std::function<std::string(std::string_view bytes)> check;
    /// Returns the encoded configuration with the backend server marked as drained or not drained;
    /// InvalidArgument when the configuration has no such backend server.
    std::function<Result<std::string>(std::string_view bytes, const BackendId &, bool drained)>
        withDrained;
};

/// Options of a ControlNode.
struct ControlOptions
{
    NodeSettings settings;
    CurveKeyPair keys;
    std::vector<std::string> operatorKeys;
    Incarnation incarnation;
    std::uint64_t seed = 0; ///< Must differ between all processes and incarnations.
    ConfigurationOperations operations;
};

/// Answers an operator's request by calling @p done once, now or later, on the node's executor.
using OperatorHandler = std::function<void(const proto::OperatorRequest &request,
                                           std::function<void(proto::OperatorAnswer)> done)>;

/// A control process: its components, which all run on one thread, and the mesh and HTTP server
/// that pass messages and requests to them.
///
/// The ledger, the distribution of the configuration and the operators' requests are built in.
/// Other components register the hooks below before start(). All hooks run on executor().
class ControlNode
{
public:
    explicit ControlNode(ControlOptions options);
    ~ControlNode();
    ControlNode(const ControlNode &) = delete;
    ControlNode &operator=(const ControlNode &) = delete;

    /// Sets the handler of messages of @p kind; each kind has one handler.
    void handleMessages(PayloadKind kind, std::function<void(const ReceivedMessage &)> handler);
    /// Calls @p hook with each newer accepted configuration.
    void onConfiguration(std::function<void(const AcceptedConfiguration &)> hook);
    /// Calls @p hook every @p interval.
    void every(Duration interval, std::function<void(TimePoint now)> hook);
    /// Calls @p hook when a graceful shutdown begins. The process ends when every hook has called
    /// its @p done and the time to transfer the ledger's leadership has passed, at the latest after
    /// the longest @p timeout of all hooks.
    void onShutdown(Duration timeout, std::function<void(std::function<void()> done)> hook);
    /// Answers requests of @p kind in this process instead of forwarding them to the leader.
    void answerLocally(proto::OperatorRequest::RequestCase kind, OperatorHandler handler);

    /// Sends through the mesh, from any thread.
    void send(const InstanceId &to, PayloadKind kind, std::string payload, Duration ttl);
    const NodeSettings &settings() const;
    /// Newest accepted configuration; revision 0 when there is none. Call only on executor().
    const AcceptedConfiguration &configuration() const;
    MetricsRegistry &metrics();
    TimelineWriter &timeline();
    boost::asio::any_io_executor executor();

    /// Opens the data folder and all sockets; returns the HTTP port.
    Result<std::uint16_t> start();
    /// Runs until a shutdown has ended. Returns false, at once, when the data folder has failed or
    /// a handler threw an exception, since the state may be half changed then.
    bool run();
    /// Begins a graceful shutdown, from any thread.
    void shutdown();
    /// Replaces keys and addresses of the other processes and the operators' keys, from any thread.
    void setPeers(const std::vector<PeerSettings> &peers, std::vector<std::string> operatorKeys);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// Initialises the empty data folder of @p settings for a voter that helps to found the ledger.
/// Call it once for each voter of a new deployment, never when a voter is replaced.
std::error_code initialiseDataFolder(const NodeSettings &settings, std::uint64_t seed);

} // namespace gentianramp
