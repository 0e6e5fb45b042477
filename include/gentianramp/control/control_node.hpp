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

/// How the control process reads configurations; the ledger itself carries opaque bytes.
struct ConfigurationRules
{
    /// Text of all errors in canonical bytes; empty when there are none.
    std::function<std::string(std::string_view bytes)> check;
    /// Canonical bytes with the backend server taken out of service or back. InvalidArgument when
    /// there is no such backend server.
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
    std::uint64_t seed = 0; ///< Must differ between all processes and lives.
    ConfigurationRules rules;
};

/// Answers an operator's request; @p done may be called later, once, on the node's executor.
using OperatorHandler = std::function<void(const proto::OperatorRequest &request,
                                           std::function<void(proto::OperatorAnswer)> done)>;

/// A control process: one thread on which all its components run, and the mesh and HTTP server
/// that feed them.
///
/// Components other than ledger, spread and operator requests are added from outside before
/// start(), through the hooks below. All hooks run on executor().
class ControlNode
{
public:
    explicit ControlNode(ControlOptions options);
    ~ControlNode();
    ControlNode(const ControlNode &) = delete;
    ControlNode &operator=(const ControlNode &) = delete;

    /// Takes messages of @p kind; each kind has one handler.
    void handleMessages(PayloadKind kind, std::function<void(const ReceivedMessage &)> handler);
    /// Calls @p hook with each newer accepted configuration.
    void onConfiguration(std::function<void(const AcceptedConfiguration &)> hook);
    /// Calls @p hook every @p interval.
    void every(Duration interval, std::function<void(TimePoint now)> hook);
    /// Calls @p hook when a graceful shutdown begins; the process goes on for @p longest at most
    /// and for less when every hook has called its @p done.
    void onShutdown(Duration longest, std::function<void(std::function<void()> done)> hook);
    /// Answers requests of one kind here, without passing them on to the leader.
    void answerHere(proto::OperatorRequest::RequestCase kind, OperatorHandler handler);

    /// Sends through the mesh, from any thread.
    void send(const InstanceId &to, PayloadKind kind, std::string payload, Duration ttl);
    const NodeSettings &settings() const;
    /// Newest accepted configuration; revision 0 when there is none. Only on executor().
    const AcceptedConfiguration &configuration() const;
    MetricsRegistry &metrics();
    TimelineWriter &timeline();
    boost::asio::any_io_executor executor();

    /// Opens the data folder and all sockets; returns the HTTP port.
    Result<std::uint16_t> start();
    /// Runs until a shutdown has ended or the data folder failed; false in the latter case.
    bool run();
    /// Begins a graceful shutdown, from any thread.
    void shutdown();
    /// Replaces the keys and addresses of the other processes, from any thread.
    void setPeers(const std::vector<PeerSettings> &peers, std::vector<std::string> operatorKeys);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// Makes the empty data folder of @p settings one that may take part in founding the ledger.
/// Done once for each voter of a new deployment, never when a voter is replaced.
std::error_code initialiseDataFolder(const NodeSettings &settings, std::uint64_t seed);

} // namespace gentianramp
