#pragma once

#include <gentianramp/control/ledger_driver.hpp>

#include <functional>
#include <gentianramp/control/control_node.hpp>
#include <map>
#include <string>
#include <vector>

namespace gentianramp {

/// Callbacks of an OperatorService.
struct OperatorHooks
{
    /// Sends an answer on the connection of the request; see ReceivedMessage::replyRoute.
    std::function<void(const std::string &replyRoute, const proto::OperatorAnswer &)> reply;
    /// Forwards a request to another control process.
    std::function<void(const InstanceId &to, const proto::OperatorRequest &)> forward;
};

/// Receives operators' requests; decides them when this process leads the ledger, and forwards them
/// to the leader otherwise.
class OperatorService
{
public:
    /// @p ledger is null on a process without a disk.
    OperatorService(InstanceId self, LedgerDriver *ledger, ConfigurationDistribution &distribution,
                    ConfigurationOperations operations, OperatorHooks hooks,
                    MetricsRegistry &metrics);

    void answerLocally(proto::OperatorRequest::RequestCase kind, OperatorHandler handler);
    void onRequest(const std::string &replyRoute, std::string_view payload, TimePoint now);
    /// Takes the answer to a forwarded request.
    void onAnswer(std::string_view payload);
    /// The ledger decided a command.
    void onDecided(const CommandId &command, const CommandAnswer &answer);
    void tick(TimePoint now);

private:
    struct PendingAnswer
    {
        std::string replyRoute;
        std::string request;
        bool changesState = false; ///< Without an answer the outcome is unknown.
        TimePoint deadline;
        std::uint64_t configurationDigest = 0; ///< Of the proposed configuration.
    };

    /// A request that is resent to the leader until it answers.
    struct ForwardedRequest
    {
        PendingAnswer waiting;
        InstanceId to;
        proto::OperatorRequest message;
        TimePoint resendAt;
    };

    void decide(const std::string &replyRoute, const proto::OperatorRequest &request,
                TimePoint now);
    void decideConfirmed(const std::string &replyRoute, const proto::OperatorRequest &request);
    void forwardToLeader(const std::string &replyRoute, proto::OperatorRequest request,
                         TimePoint now);
    void answerUnconfirmed(const std::string &replyRoute, const proto::OperatorRequest &request);
    void decideApply(const std::string &replyRoute, const proto::OperatorRequest &request);
    void decideSetDrained(const std::string &replyRoute, const proto::OperatorRequest &request);
    void decideProposal(const std::string &replyRoute, const proto::OperatorRequest &request,
                        const ConfigurationProposal &proposal);
    void answer(const std::string &replyRoute, const std::string &request,
                proto::OperatorAnswer answer);
    void refuse(const std::string &replyRoute, const std::string &request,
                proto::OperatorError error, const std::string &message);
    void expire(const PendingAnswer &waiting);

    InstanceId m_self;
    LedgerDriver *m_ledger;
    ConfigurationDistribution &m_distribution;
    ConfigurationOperations m_operations;
    OperatorHooks m_hooks;
    MetricsRegistry &m_metrics;
    std::map<proto::OperatorRequest::RequestCase, OperatorHandler> m_handlers;
    std::map<std::string, ForwardedRequest> m_forwarded; ///< By request id.
    std::map<CommandId, PendingAnswer> m_pendingProposals;
};

} // namespace gentianramp
