#include <algorithm>
#include <gentianramp/client/operator_client.hpp>
#include <set>

namespace gentianramp {

namespace {

constexpr Duration ResendInterval = std::chrono::milliseconds(250);
constexpr Duration RetryPause = std::chrono::milliseconds(200);

bool changesSomething(const proto::OperatorRequest &request)
{
    return request.has_apply() || request.has_set_drained();
}

/// Refusals that another control process, or the same one later, may not repeat.
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
        // The command may have been accepted so long ago that its answer is forgotten.
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
    std::set<std::string> openRequests; ///< Sent and not answered.
    std::size_t unsupported = 0;        ///< Processes in a row that did not know the request.
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
        const std::size_t index = m_preferred % m_options.controls.size();
        if (attempt(m_options.controls[index], request, deadline, progress))
            return progress.result;
        ++m_preferred;
    }
    const bool unknown
        = changesSomething(request) && (progress.mayHaveRun || !progress.openRequests.empty());
    progress.result.outcome = unknown ? CallOutcome::UnknownOutcome : CallOutcome::Unavailable;
    if (unknown && progress.result.answer.error() != proto::OPERATOR_ERROR_NONE)
        progress.result.message
            = "a send got no answer; the last answer to another was: " + progress.result.message;
    return progress.result;
}

bool OperatorClient::attempt(const InstanceId &control, const proto::OperatorRequest &request,
                             TimePoint deadline, Progress &progress)
{
    proto::OperatorRequest numbered = request;
    numbered.set_request_id(m_options.requestPrefix + "-" + std::to_string(++m_lastRequest));
    const std::string bytes = numbered.SerializeAsString();
    const TimePoint until = std::min(deadline, RuntimeClock::now() + m_options.answerTimeout);
    progress.openRequests.insert(numbered.request_id());
    TimePoint nextSend = RuntimeClock::now();
    while (RuntimeClock::now() < until) {
        if (RuntimeClock::now() >= nextSend) {
            m_link.send(control, bytes, m_options.answerTimeout);
            nextSend = RuntimeClock::now() + ResendInterval;
        }
        const auto received = m_link.receive(std::min(until, nextSend));
        proto::OperatorAnswer answer;
        if (!received || !answer.ParseFromString(*received))
            continue;
        if (progress.openRequests.erase(answer.request_id()) == 0)
            continue; // A late answer to another call.
        takeAnswer(answer, progress);
        if (progress.done)
            return true;
        if (answer.request_id() == numbered.request_id())
            break;
    }
    // Control processes without a leader answer at once; asking the next one at once would spin.
    const TimePoint pauseEnd = std::min(deadline, RuntimeClock::now() + RetryPause);
    while (!progress.done && RuntimeClock::now() < pauseEnd) {
        const auto received = m_link.receive(pauseEnd);
        proto::OperatorAnswer answer;
        if (received && answer.ParseFromString(*received)
            && progress.openRequests.erase(answer.request_id()) > 0)
            takeAnswer(answer, progress);
    }
    return progress.done;
}

void OperatorClient::takeAnswer(const proto::OperatorAnswer &answer, Progress &progress) const
{
    progress.result.answer = answer;
    const bool unsupported = answer.error() == proto::OPERATOR_ERROR_UNSUPPORTED;
    progress.unsupported = unsupported ? progress.unsupported + 1 : 0;
    const bool nobodyKnowsIt = progress.unsupported >= m_options.controls.size()
        && !progress.mayHaveRun && progress.openRequests.empty();
    if (isTransient(answer.error()) && !nobodyKnowsIt) {
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
