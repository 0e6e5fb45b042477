#include <algorithm>
#include <gentianramp/client/operator_client.hpp>
#include <set>

namespace gentianramp {

namespace {

constexpr Duration ResendInterval = std::chrono::milliseconds(250);
constexpr Duration RetryInterval = std::chrono::milliseconds(200);

bool changesState(const proto::OperatorRequest &request)
{
    return request.has_apply() || request.has_set_drained();
}

/// True for errors after which a retry, at this or another control process, can succeed.
bool isTransient(proto::OperatorError error)
{
    return error == proto::OPERATOR_ERROR_NO_LEADER || error == proto::OPERATOR_ERROR_OVERLOADED
        || error == proto::OPERATOR_ERROR_UNKNOWN_OUTCOME
        || error == proto::OPERATOR_ERROR_UNSUPPORTED;
}

CallOutcome finalOutcome(proto::OperatorError error)
{
    switch (error) {
    case proto::OPERATOR_ERROR_NONE:
        return CallOutcome::Answered;
    case proto::OPERATOR_ERROR_CONFLICT:
        return CallOutcome::Conflict;
    case proto::OPERATOR_ERROR_COMMAND_EXPIRED:
        // The command may have been accepted so long ago that its result is no longer stored.
        return CallOutcome::UnknownOutcome;
    default:
        return CallOutcome::Refused;
    }
}

std::string describe(const proto::OperatorAnswer &answer)
{
    std::string text = answer.message();
    if (text.empty())
        text = proto::OperatorError_Name(answer.error());
    return answer.answered_by().empty() ? text : text + " (from " + answer.answered_by() + ")";
}

} // namespace

/// State of one call over all its attempts.
struct OperatorClient::Progress
{
    std::set<std::string> pendingRequestIds; ///< Requests sent and not answered.
    std::size_t consecutiveUnsupported = 0;  ///< Answers in a row that the request is unsupported.
    bool mayHaveRun = false;
    bool done = false;
    CallResult result;
};

OperatorClient::OperatorClient(OperatorClientOptions options, OperatorLink link)
    : m_options(std::move(options))
    , m_link(std::move(link))
{ }

CallResult OperatorClient::call(proto::OperatorRequest request)
{
    request.set_author(m_options.author);
    const TimePoint deadline = RuntimeClock::now() + m_options.commandTimeout;
    Progress progress;
    progress.result.message = "no control process answered";
    while (!m_options.controls.empty() && RuntimeClock::now() < deadline) {
        const std::size_t index = m_controlIndex % m_options.controls.size();
        if (attempt(m_options.controls[index], request, deadline, progress))
            return progress.result;
        ++m_controlIndex;
    }
    const bool outcomeUnknown
        = changesState(request) && (progress.mayHaveRun || !progress.pendingRequestIds.empty());
    progress.result.outcome
        = outcomeUnknown ? CallOutcome::UnknownOutcome : CallOutcome::Unavailable;
    if (outcomeUnknown && progress.result.answer.error() != proto::OPERATOR_ERROR_NONE)
        progress.result.message = "the outcome of at least one attempt is unknown; last answer: "
            + progress.result.message;
    return progress.result;
}

bool OperatorClient::attempt(const InstanceId &control, const proto::OperatorRequest &request,
                             TimePoint deadline, Progress &progress)
{
    proto::OperatorRequest requestWithId = request;
    requestWithId.set_request_id(m_options.requestPrefix + "-" + std::to_string(++m_lastRequest));
    const std::string bytes = requestWithId.SerializeAsString();
    const TimePoint attemptDeadline
        = std::min(deadline, RuntimeClock::now() + m_options.answerTimeout);
    progress.pendingRequestIds.insert(requestWithId.request_id());
    TimePoint nextSend = RuntimeClock::now();
    while (RuntimeClock::now() < attemptDeadline) {
        if (RuntimeClock::now() >= nextSend) {
            m_link.send(control, bytes, m_options.answerTimeout);
            nextSend = RuntimeClock::now() + ResendInterval;
        }
        const auto received = m_link.receive(std::min(attemptDeadline, nextSend));
        proto::OperatorAnswer answer;
        if (!received || !answer.ParseFromString(*received))
            continue;
        if (progress.pendingRequestIds.erase(answer.request_id()) == 0)
            continue; // An answer to another call, or a repeated one.
        handleAnswer(answer, progress);
        if (progress.done)
            return true;
        if (answer.request_id() == requestWithId.request_id())
            break;
    }
    // Control processes without a leader refuse immediately: without a pause, the retries would be
    // a busy loop. Late answers to earlier attempts are still accepted meanwhile.
    const TimePoint retryAt = std::min(deadline, RuntimeClock::now() + RetryInterval);
    while (!progress.done && RuntimeClock::now() < retryAt) {
        const auto received = m_link.receive(retryAt);
        proto::OperatorAnswer answer;
        if (received && answer.ParseFromString(*received)
            && progress.pendingRequestIds.erase(answer.request_id()) > 0)
            handleAnswer(answer, progress);
    }
    return progress.done;
}

void OperatorClient::handleAnswer(const proto::OperatorAnswer &answer, Progress &progress) const
{
    progress.result.answer = answer;
    const bool unsupported = answer.error() == proto::OPERATOR_ERROR_UNSUPPORTED;
    progress.consecutiveUnsupported = unsupported ? progress.consecutiveUnsupported + 1 : 0;
    const bool unsupportedByAll = progress.consecutiveUnsupported >= m_options.controls.size()
        && !progress.mayHaveRun && progress.pendingRequestIds.empty();
    if (isTransient(answer.error()) && !unsupportedByAll) {
        progress.mayHaveRun
            = progress.mayHaveRun || answer.error() == proto::OPERATOR_ERROR_UNKNOWN_OUTCOME;
        progress.result.message = describe(answer);
        return;
    }
    progress.done = true;
    progress.result.outcome = finalOutcome(answer.error());
    progress.result.message
        = answer.error() == proto::OPERATOR_ERROR_NONE ? std::string() : describe(answer);
}

} // namespace gentianramp
