#include "operator_service.hpp"

#include "operator_answers.hpp"

#include <algorithm>
#include <gentianramp/ledger/configuration_delta.hpp>

namespace gentianramp {

namespace {

constexpr std::size_t MaxConfigurationBytes = 4 * 1024 * 1024;
constexpr std::size_t MaxWaiting = 1024;
constexpr std::size_t MaxProposed = 64;
constexpr std::uint32_t MaxHops = 3;
constexpr Duration DecisionTimeout = std::chrono::seconds(5);
constexpr Duration ResendInterval = std::chrono::milliseconds(300);
constexpr Duration PassOnTimeout = std::chrono::milliseconds(5500);

bool isChange(const proto::OperatorRequest &request)
{
    return request.has_apply() || request.has_set_drained();
}

} // namespace

OperatorService::OperatorService(InstanceId self, LedgerDriver *ledger,
                                 ConfigurationDistribution &spread, ConfigurationRules rules,
                                 OperatorHooks hooks, MetricsRegistry &metrics)
    : m_self(std::move(self))
    , m_ledger(ledger)
    , m_spread(spread)
    , m_rules(std::move(rules))
    , m_hooks(std::move(hooks))
    , m_metrics(metrics)
{ }

void OperatorService::answerHere(proto::OperatorRequest::RequestCase kind, OperatorHandler handler)
{
    m_handlers[kind] = std::move(handler);
}

void OperatorService::onRequest(const std::string &route, std::string_view payload, TimePoint now)
{
    m_now = now;
    proto::OperatorRequest request;
    if (!request.ParseFromArray(payload.data(), static_cast<int>(payload.size())))
        return refuse(route, {}, proto::OPERATOR_ERROR_MALFORMED, "the request cannot be read");
    const auto handler = m_handlers.find(request.request_case());
    if (handler != m_handlers.end()) {
        return handler->second(request, [this, route, id = request.request_id()](auto given) {
            answer(route, id, std::move(given));
        });
    }
    if (m_ledger != nullptr && m_ledger->leads())
        return decide(route, request, now);
    passOn(route, std::move(request), now);
}

/// Nothing is answered or proposed before a majority confirmed that this process leads.
void OperatorService::decide(const std::string &route, const proto::OperatorRequest &request,
                             TimePoint now)
{
    m_ledger->confirmLeadership(
        [this, route, request](bool confirmed) {
            if (confirmed)
                return decideConfirmed(route, request);
            answerUnconfirmed(route, request);
        },
        now);
}

void OperatorService::decideConfirmed(const std::string &route,
                                      const proto::OperatorRequest &request)
{
    const std::string &id = request.request_id();
    switch (request.request_case()) {
    case proto::OperatorRequest::kApply:
        return decideApply(route, request);
    case proto::OperatorRequest::kSetDrained:
        return decideSetDrained(route, request);
    case proto::OperatorRequest::kStatus:
        return answer(route, id, statusAnswer(m_ledger, m_spread, true, m_now));
    case proto::OperatorRequest::kHistory:
        return answer(route, id, historyAnswer(m_ledger->store(), request.history().limit()));
    case proto::OperatorRequest::kConfiguration:
        return answer(
            route, id,
            configurationAnswer(m_ledger->store(), Revision(request.configuration().revision())));
    case proto::OperatorRequest::kMembers:
        return answer(route, id, membersAnswer(m_spread, m_now));
    default:
        return refuse(route, id, proto::OPERATOR_ERROR_UNSUPPORTED,
                      "this process does not answer such requests");
    }
}

void OperatorService::passOn(const std::string &route, proto::OperatorRequest request,
                             TimePoint now)
{
    const std::optional<InstanceId> leader = m_spread.leader();
    if (!leader || *leader == m_self || request.hops() >= MaxHops)
        return answerUnconfirmed(route, request);
    if (m_passedOn.size() >= MaxWaiting)
        return refuse(route, request.request_id(), proto::OPERATOR_ERROR_OVERLOADED,
                      "too many requests wait here");
    request.set_hops(request.hops() + 1);
    m_hooks.forward(*leader, request);
    PassedOn &passed = m_passedOn[request.request_id()];
    passed.waiting = {.route = route,
                      .request = request.request_id(),
                      .changes = isChange(request),
                      .deadline = now + PassOnTimeout};
    passed.to = *leader;
    passed.resendAt = now + ResendInterval;
    passed.message = std::move(request);
}

/// Status is told as known here; all else needs a leader, and nothing was run.
void OperatorService::answerUnconfirmed(const std::string &route,
                                        const proto::OperatorRequest &request)
{
    if (request.has_status())
        return answer(route, request.request_id(), statusAnswer(m_ledger, m_spread, false, m_now));
    refuse(route, request.request_id(), proto::OPERATOR_ERROR_NO_LEADER,
           "no majority of the voters can be reached from " + m_self.value() + "; nothing was run");
}

void OperatorService::decideApply(const std::string &route, const proto::OperatorRequest &request)
{
    const proto::ApplyRequest &apply = request.apply();
    if (apply.configuration().size() > MaxConfigurationBytes)
        return refuse(route, request.request_id(), proto::OPERATOR_ERROR_TOO_LARGE,
                      "the configuration is larger than " + std::to_string(MaxConfigurationBytes)
                          + " bytes");
    const std::string errors = m_rules.check ? m_rules.check(apply.configuration()) : "";
    if (!errors.empty())
        return refuse(route, request.request_id(), proto::OPERATOR_ERROR_INVALID, errors);
    decideProposal(route, request,
                   {.command = CommandId(apply.command_id()),
                    .base = Revision(apply.base_revision()),
                    .configuration = apply.configuration(),
                    .author = request.author(),
                    .comment = apply.comment(),
                    .wallMs = wallClockMs()});
}

void OperatorService::decideSetDrained(const std::string &route,
                                       const proto::OperatorRequest &request)
{
    const proto::SetDrainedRequest &change = request.set_drained();
    const Revision base(change.base_revision());
    Result<std::string> bytes = m_ledger->store().configurationAt(base);
    if (!bytes || base == Revision(0) || !m_rules.withDrained)
        return refuse(route, request.request_id(), proto::OPERATOR_ERROR_NOT_FOUND,
                      "revision " + std::to_string(base.value()) + " is unknown or not kept");
    Result<std::string> next
        = m_rules.withDrained(bytes.value(), BackendId(change.backend()), change.drained());
    if (!next)
        return refuse(route, request.request_id(), proto::OPERATOR_ERROR_NOT_FOUND, next.message());
    const std::string verb = change.drained() ? "drain " : "undrain ";
    decideProposal(route, request,
                   {.command = CommandId(change.command_id()),
                    .base = base,
                    .configuration = std::move(next).value(),
                    .author = request.author(),
                    .comment = verb + change.backend(),
                    .wallMs = wallClockMs()});
}

void OperatorService::decideProposal(const std::string &route,
                                     const proto::OperatorRequest &request,
                                     const ConfigurationProposal &proposal)
{
    const std::string &id = request.request_id();
    if (proposal.command.value().empty())
        return refuse(route, id, proto::OPERATOR_ERROR_MALFORMED, "the command id is missing");
    const ConfigurationStore &store = m_ledger->store();
    if (const auto known = store.remembered(proposal))
        return answer(route, id, commandAnswer(*known));
    if (proposal.base > store.revision())
        return refuse(route, id, proto::OPERATOR_ERROR_NOT_FOUND,
                      "revision " + std::to_string(proposal.base.value()) + " does not exist");
    // All earlier changes are applied here, so a change on an older base can never win any more.
    if (proposal.base < store.revision())
        return answer(
            route, id,
            commandAnswer({.outcome = CommandOutcome::Conflict, .current = store.revision()}));
    if (m_proposed.size() >= MaxProposed)
        return refuse(route, id, proto::OPERATOR_ERROR_OVERLOADED, "too many changes wait here");
    const std::uint64_t content = contentDigest(proposal.configuration);
    if (const auto waiting = m_proposed.find(proposal.command); waiting != m_proposed.end()) {
        if (waiting->second.content != content)
            return refuse(route, id, proto::OPERATOR_ERROR_COMMAND_REUSED,
                          "the command id stands for another change that is being decided");
        waiting->second.route = route; // Whoever sent last waits for the answer.
        waiting->second.request = id;
        return;
    }
    // Noted first: a single voter decides within propose().
    m_proposed[proposal.command] = {.route = route,
                                    .request = id,
                                    .changes = true,
                                    .deadline = m_now + DecisionTimeout,
                                    .content = content};
    if (m_ledger->propose(proposal, m_now))
        return;
    m_proposed.erase(proposal.command);
    refuse(route, id, proto::OPERATOR_ERROR_NO_LEADER, "this process does not lead any more");
}

void OperatorService::onDecided(const CommandId &command, const CommandAnswer &decided)
{
    const auto waiting = m_proposed.extract(command);
    if (waiting)
        answer(waiting.mapped().route, waiting.mapped().request, commandAnswer(decided));
}

void OperatorService::onAnswer(std::string_view payload)
{
    proto::OperatorAnswer answer;
    if (!answer.ParseFromArray(payload.data(), static_cast<int>(payload.size())))
        return;
    if (const auto waiting = m_passedOn.extract(answer.request_id()))
        m_hooks.reply(waiting.mapped().waiting.route, answer);
}

void OperatorService::tick(TimePoint now)
{
    m_now = now;
    const auto expireLate = [&](const Waiting &waiting) {
        if (waiting.deadline > now)
            return false;
        expire(waiting);
        return true;
    };
    std::erase_if(m_passedOn, [&](const auto &item) { return expireLate(item.second.waiting); });
    std::erase_if(m_proposed, [&](const auto &item) { return expireLate(item.second); });
    for (auto &[id, passed] : m_passedOn) {
        if (now < passed.resendAt)
            continue;
        passed.resendAt = now + ResendInterval;
        m_hooks.forward(m_spread.leader().value_or(passed.to), passed.message);
    }
}

void OperatorService::expire(const Waiting &waiting)
{
    if (waiting.changes)
        return refuse(waiting.route, waiting.request, proto::OPERATOR_ERROR_UNKNOWN_OUTCOME,
                      "no decision in time; resend with the same command id");
    refuse(waiting.route, waiting.request, proto::OPERATOR_ERROR_NO_LEADER,
           "the leader did not answer in time");
}

void OperatorService::answer(const std::string &route, const std::string &request,
                             proto::OperatorAnswer answer)
{
    answer.set_request_id(request);
    answer.set_answered_by(m_self.value());
    m_metrics
        .counter("gentianramp_operator_answers_total", "Answers to operators",
                 {{"error", proto::OperatorError_Name(answer.error())}})
        .add();
    m_hooks.reply(route, answer);
}

void OperatorService::refuse(const std::string &route, const std::string &request,
                             proto::OperatorError error, const std::string &message)
{
    answer(route, request, errorAnswer(error, message));
}

} // namespace gentianramp
