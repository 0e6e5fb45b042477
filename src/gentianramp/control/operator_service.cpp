#include "operator_service.hpp"

#include "operator_answers.hpp"

#include <algorithm>
#include <gentianramp/ledger/configuration_delta.hpp>

namespace gentianramp {

namespace {

constexpr std::size_t MaxConfigurationBytes = 4 * 1024 * 1024;
constexpr std::size_t MaxForwarded = 1024;
constexpr std::size_t MaxPendingProposals = 64;
constexpr std::uint32_t MaxHops = 3;
constexpr Duration DecisionTimeout = std::chrono::seconds(5);
constexpr Duration ResendInterval = std::chrono::milliseconds(300);
constexpr Duration ForwardTimeout = std::chrono::milliseconds(5500);

bool isChange(const proto::OperatorRequest &request)
{
    return request.has_apply() || request.has_set_drained();
}

} // namespace

OperatorService::OperatorService(InstanceId self, LedgerDriver *ledger,
                                 ConfigurationDistribution &distribution,
                                 ConfigurationOperations operations, OperatorHooks hooks,
                                 MetricsRegistry &metrics)
    : m_self(std::move(self))
    , m_ledger(ledger)
    , m_distribution(distribution)
    , m_operations(std::move(operations))
    , m_hooks(std::move(hooks))
    , m_metrics(metrics)
{ }

void OperatorService::answerLocally(proto::OperatorRequest::RequestCase kind,
                                    OperatorHandler handler)
{
    m_handlers[kind] = std::move(handler);
}

void OperatorService::onRequest(const std::string &replyRoute, std::string_view payload,
                                TimePoint now)
{
    proto::OperatorRequest request;
    if (!request.ParseFromArray(payload.data(), static_cast<int>(payload.size())))
        return refuse(replyRoute, {}, proto::OPERATOR_ERROR_MALFORMED,
                      "the request is not a valid OperatorRequest message");
    const auto handler = m_handlers.find(request.request_case());
    if (handler != m_handlers.end()) {
        return handler->second(request,
                               [this, replyRoute, id = request.request_id()](auto handlerAnswer) {
                                   answer(replyRoute, id, std::move(handlerAnswer));
                               });
    }
    if (m_ledger != nullptr && m_ledger->leads())
        return decide(replyRoute, request, now);
    forwardToLeader(replyRoute, std::move(request), now);
}

/// Answers or proposes nothing before a majority has confirmed that this process leads.
void OperatorService::decide(const std::string &replyRoute, const proto::OperatorRequest &request,
                             TimePoint now)
{
    m_ledger->confirmLeadership(
        [this, replyRoute, request](bool confirmed) {
            if (confirmed)
                return decideConfirmed(replyRoute, request);
            answerUnconfirmed(replyRoute, request);
        },
        now);
}

void OperatorService::decideConfirmed(const std::string &replyRoute,
                                      const proto::OperatorRequest &request)
{
    const std::string &id = request.request_id();
    switch (request.request_case()) {
    case proto::OperatorRequest::kApply:
        return decideApply(replyRoute, request);
    case proto::OperatorRequest::kSetDrained:
        return decideSetDrained(replyRoute, request);
    case proto::OperatorRequest::kStatus:
        return answer(replyRoute, id,
                      statusAnswer(m_ledger, m_distribution, true, RuntimeClock::now()));
    case proto::OperatorRequest::kHistory:
        return answer(replyRoute, id, historyAnswer(m_ledger->store(), request.history().limit()));
    case proto::OperatorRequest::kConfiguration:
        return answer(
            replyRoute, id,
            configurationAnswer(m_ledger->store(), Revision(request.configuration().revision())));
    case proto::OperatorRequest::kMembers:
        return answer(replyRoute, id, membersAnswer(m_distribution, RuntimeClock::now()));
    default:
        return refuse(replyRoute, id, proto::OPERATOR_ERROR_UNSUPPORTED,
                      "this process does not support requests of this kind");
    }
}

void OperatorService::forwardToLeader(const std::string &replyRoute, proto::OperatorRequest request,
                                      TimePoint now)
{
    const std::optional<InstanceId> leader = m_distribution.leader();
    if (!leader || *leader == m_self || request.hops() >= MaxHops)
        return answerUnconfirmed(replyRoute, request);
    if (m_forwarded.size() >= MaxForwarded)
        return refuse(replyRoute, request.request_id(), proto::OPERATOR_ERROR_OVERLOADED,
                      "too many forwarded requests are waiting for an answer");
    request.set_hops(request.hops() + 1);
    m_hooks.forward(*leader, request);
    ForwardedRequest &passed = m_forwarded[request.request_id()];
    passed.waiting = {.replyRoute = replyRoute,
                      .request = request.request_id(),
                      .changesState = isChange(request),
                      .deadline = now + ForwardTimeout};
    passed.to = *leader;
    passed.resendAt = now + ResendInterval;
    passed.message = std::move(request);
}

/// Answers a status request with the state known to this process. Refuses all other requests, which
/// need a confirmed leader.
void OperatorService::answerUnconfirmed(const std::string &replyRoute,
                                        const proto::OperatorRequest &request)
{
    if (request.has_status())
        return answer(replyRoute, request.request_id(),
                      statusAnswer(m_ledger, m_distribution, false, RuntimeClock::now()));
    refuse(replyRoute, request.request_id(), proto::OPERATOR_ERROR_NO_LEADER,
           "no leader of the ledger could be confirmed from " + m_self.value()
               + "; the request was not executed");
}

void OperatorService::decideApply(const std::string &replyRoute,
                                  const proto::OperatorRequest &request)
{
    const proto::ApplyRequest &apply = request.apply();
    if (apply.configuration().size() > MaxConfigurationBytes)
        return refuse(replyRoute, request.request_id(), proto::OPERATOR_ERROR_TOO_LARGE,
                      "the configuration is larger than " + std::to_string(MaxConfigurationBytes)
                          + " bytes");
    const std::string errors = m_operations.check ? m_operations.check(apply.configuration()) : "";
    if (!errors.empty())
        return refuse(replyRoute, request.request_id(), proto::OPERATOR_ERROR_INVALID, errors);
    decideProposal(replyRoute, request,
                   {.command = CommandId(apply.command_id()),
                    .base = Revision(apply.base_revision()),
                    .configuration = apply.configuration(),
                    .author = request.author(),
                    .comment = apply.comment(),
                    .wallMs = wallClockMs()});
}

void OperatorService::decideSetDrained(const std::string &replyRoute,
                                       const proto::OperatorRequest &request)
{
    const proto::SetDrainedRequest &change = request.set_drained();
    const Revision base(change.base_revision());
    Result<std::string> bytes = m_ledger->store().configurationAt(base);
    if (!bytes || base == Revision(0) || !m_operations.withDrained)
        return refuse(replyRoute, request.request_id(), proto::OPERATOR_ERROR_NOT_FOUND,
                      "revision " + std::to_string(base.value()) + " is unknown or not kept");
    Result<std::string> next
        = m_operations.withDrained(bytes.value(), BackendId(change.backend()), change.drained());
    if (!next)
        return refuse(replyRoute, request.request_id(), proto::OPERATOR_ERROR_NOT_FOUND,
                      next.message());
    const std::string verb = change.drained() ? "drain " : "undrain ";
    decideProposal(replyRoute, request,
                   {.command = CommandId(change.command_id()),
                    .base = base,
                    .configuration = std::move(next).value(),
                    .author = request.author(),
                    .comment = verb + change.backend(),
                    .wallMs = wallClockMs()});
}

void OperatorService::decideProposal(const std::string &replyRoute,
                                     const proto::OperatorRequest &request,
                                     const ConfigurationProposal &proposal)
{
    const std::string &id = request.request_id();
    if (proposal.command.value().empty())
        return refuse(replyRoute, id, proto::OPERATOR_ERROR_MALFORMED, "the command id is missing");
    const ConfigurationStore &store = m_ledger->store();
    if (const auto known = store.remembered(proposal))
        return answer(replyRoute, id, commandAnswer(*known));
    if (proposal.base > store.revision())
        return refuse(replyRoute, id, proto::OPERATOR_ERROR_NOT_FOUND,
                      "revision " + std::to_string(proposal.base.value()) + " does not exist");
    // All earlier changes are applied here, so a change on an older base can no longer be accepted.
    if (proposal.base < store.revision())
        return answer(
            replyRoute, id,
            commandAnswer({.outcome = CommandOutcome::Conflict, .current = store.revision()}));
    if (m_pendingProposals.size() >= MaxPendingProposals)
        return refuse(replyRoute, id, proto::OPERATOR_ERROR_OVERLOADED,
                      "too many changes are waiting for a decision");
    const std::uint64_t configurationDigest = contentDigest(proposal.configuration);
    if (const auto waiting = m_pendingProposals.find(proposal.command);
        waiting != m_pendingProposals.end()) {
        if (waiting->second.configurationDigest != configurationDigest)
            return refuse(replyRoute, id, proto::OPERATOR_ERROR_COMMAND_REUSED,
                          "the command id is in use by another change that is being decided");
        waiting->second.replyRoute = replyRoute; // Only the last sender gets the answer.
        waiting->second.request = id;
        return;
    }
    const TimePoint now = RuntimeClock::now();
    // Recorded before propose(), which calls onDecided() itself when there is a single voter.
    m_pendingProposals[proposal.command] = {.replyRoute = replyRoute,
                                            .request = id,
                                            .changesState = true,
                                            .deadline = now + DecisionTimeout,
                                            .configurationDigest = configurationDigest};
    if (m_ledger->propose(proposal, now))
        return;
    m_pendingProposals.erase(proposal.command);
    refuse(replyRoute, id, proto::OPERATOR_ERROR_NO_LEADER, "this process is no longer the leader");
}

void OperatorService::onDecided(const CommandId &command, const CommandAnswer &decided)
{
    const auto waiting = m_pendingProposals.extract(command);
    if (waiting)
        answer(waiting.mapped().replyRoute, waiting.mapped().request, commandAnswer(decided));
}

void OperatorService::onAnswer(std::string_view payload)
{
    proto::OperatorAnswer answer;
    if (!answer.ParseFromArray(payload.data(), static_cast<int>(payload.size())))
        return;
    if (const auto waiting = m_forwarded.extract(answer.request_id()))
        m_hooks.reply(waiting.mapped().waiting.replyRoute, answer);
}

void OperatorService::tick(TimePoint now)
{
    const auto expireLate = [&](const PendingAnswer &waiting) {
        if (waiting.deadline > now)
            return false;
        expire(waiting);
        return true;
    };
    std::erase_if(m_forwarded, [&](const auto &item) { return expireLate(item.second.waiting); });
    std::erase_if(m_pendingProposals, [&](const auto &item) { return expireLate(item.second); });
    for (auto &[id, passed] : m_forwarded) {
        if (now < passed.resendAt)
            continue;
        passed.resendAt = now + ResendInterval;
        m_hooks.forward(m_distribution.leader().value_or(passed.to), passed.message);
    }
}

void OperatorService::expire(const PendingAnswer &waiting)
{
    if (waiting.changesState)
        return refuse(
            waiting.replyRoute, waiting.request, proto::OPERATOR_ERROR_UNKNOWN_OUTCOME,
            "no decision within the time limit; send the change again with the same command id");
    refuse(waiting.replyRoute, waiting.request, proto::OPERATOR_ERROR_NO_LEADER,
           "the leader did not answer within the time limit");
}

void OperatorService::answer(const std::string &replyRoute, const std::string &request,
                             proto::OperatorAnswer answer)
{
    answer.set_request_id(request);
    answer.set_answered_by(m_self.value());
    m_metrics
        .counter("gentianramp_operator_answers_total", "Answers to operators",
                 {{"error", proto::OperatorError_Name(answer.error())}})
        .add();
    m_hooks.reply(replyRoute, answer);
}

void OperatorService::refuse(const std::string &replyRoute, const std::string &request,
                             proto::OperatorError error, const std::string &message)
{
    answer(replyRoute, request, errorAnswer(error, message));
}

} // namespace gentianramp
