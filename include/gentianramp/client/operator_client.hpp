#pragma once

#include <functional>
#include <gentianramp/config/operator_settings.hpp>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/ids.hpp>
#include <optional>
#include <string>
#include <vector>

#include "gentianramp/control/generated/operator.pb.h"

namespace gentianramp {

/// Transport of messages to and from the control processes.
struct OperatorLink
{
    /// Sends @p bytes to @p to. The message may be lost without an error.
    std::function<void(const InstanceId &to, std::string bytes, Duration ttl)> send;
    /// Waits until @p deadline for the next answer and returns its bytes; nullopt when none
    /// arrives.
    std::function<std::optional<std::string>(TimePoint deadline)> receive;
};

/// How a call ended.
enum class CallOutcome {
    Answered,
    Refused,        ///< The system refused the request; nothing was run.
    Conflict,       ///< Another change was accepted first; nothing was run.
    Unavailable,    ///< No control process could run the request in time; nothing was run.
    UnknownOutcome, ///< The request may have been run: resend it with the same command id.
};

struct CallResult
{
    CallOutcome outcome = CallOutcome::Unavailable;
    proto::OperatorAnswer answer;
    std::string message; ///< Why the call failed, as text for operators.
};

/// Identity, targets and timeouts of an OperatorClient.
struct OperatorClientOptions
{
    std::string author;
    std::vector<InstanceId> controls;                   ///< Control processes, tried in this order.
    Duration answerTimeout = std::chrono::seconds(2);   ///< For one control process.
    Duration commandTimeout = std::chrono::seconds(20); ///< For a call with all its attempts.
    std::string requestPrefix; ///< Makes request ids unique over all clients.
};

/// Sends a request to one control process after another until one answers or the command times out.
///
/// An unanswered request is resent, since the link may lose messages. Requests that change state
/// carry a command id, so that a resend after a lost answer runs nothing twice.
class OperatorClient
{
public:
    OperatorClient(OperatorClientOptions options, OperatorLink link);

    CallResult call(proto::OperatorRequest request);

private:
    struct Progress;
    bool attempt(const InstanceId &control, const proto::OperatorRequest &request,
                 TimePoint deadline, Progress &progress);
    void handleAnswer(const proto::OperatorAnswer &answer, Progress &progress) const;

    OperatorClientOptions m_options;
    OperatorLink m_link;
    std::uint64_t m_lastRequest = 0;
    std::size_t m_controlIndex = 0;
};

} // namespace gentianramp
