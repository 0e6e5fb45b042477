#pragma once

#include <gentianramp/control/ledger_driver.hpp>

#include <functional>
#include <gentianramp/control/control_node.hpp>
#include <map>
#include <string>
#include <vector>

namespace gentianramp {

/// What an OperatorService needs from its surroundings.
struct OperatorHooks
{
    /// Answers on the connection that a request came on.
    std::function<void(const std::string &route, const proto::OperatorAnswer &)> reply;
    /// Passes a request on to another control process.
    std::function<void(const InstanceId &to, const proto::OperatorRequest &)> forward;
};

/// Takes operators' requests, decides them at the leader of the ledger and passes them on
/// elsewhere.
class OperatorService
{
public:
    /// @p ledger is null on a process without a disk.
    OperatorService(InstanceId self, LedgerDriver *ledger, ConfigurationDistribution &spread,
                    ConfigurationRules rules, OperatorHooks hooks, MetricsRegistry &metrics);

    void answerHere(proto::OperatorRequest::RequestCase kind, OperatorHandler handler);
    void onRequest(const std::string &route, std::string_view payload, TimePoint now);
    /// An answer to a request that was passed on.
    void onAnswer(std::string_view payload);
    /// The ledger decided a command.
    void onDecided(const CommandId &command, const CommandAnswer &answer);
    void tick(TimePoint now);

private:
    struct Waiting
    {
        std::string route;
        std::string request;
        bool changes = false; ///< The request may have been accepted when no answer comes.
        TimePoint deadline;
        std::uint64_t content = 0; ///< Digest of the proposal.
    };

    /// A request that is sent to the leader again until it answers.
    struct PassedOn
    {
        Waiting waiting;
        InstanceId to;
        proto::OperatorRequest message;
        TimePoint resendAt;
    };

    void decide(const std::string &route, const proto::OperatorRequest &request, TimePoint now);
    void decideConfirmed(const std::string &route, const proto::OperatorRequest &request);
    void passOn(const std::string &route, proto::OperatorRequest request, TimePoint now);
    void answerUnconfirmed(const std::string &route, const proto::OperatorRequest &request);
    void decideApply(const std::string &route, const proto::OperatorRequest &request);
    void decideSetDrained(const std::string &route, const proto::OperatorRequest &request);
    void decideProposal(const std::string &route, const proto::OperatorRequest &request,
                        const ConfigurationProposal &proposal);
    void answer(const std::string &route, const std::string &request, proto::OperatorAnswer answer);
    void refuse(const std::string &route, const std::string &request, proto::OperatorError error,
                const std::string &message);
    void expire(const Waiting &waiting);

    InstanceId m_self;
    LedgerDriver *m_ledger;
    ConfigurationDistribution &m_spread;
    ConfigurationRules m_rules;
    OperatorHooks m_hooks;
    MetricsRegistry &m_metrics;
    std::map<proto::OperatorRequest::RequestCase, OperatorHandler> m_handlers;
    std::map<std::string, PassedOn> m_passedOn; ///< By request id.
    std::map<CommandId, Waiting> m_proposed;
    TimePoint m_now{};
};

} // namespace gentianramp
