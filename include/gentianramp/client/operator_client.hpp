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

/// Way to the control processes.
struct OperatorLink
{
    /// Sends @p bytes to @p to; may be lost without notice.
    std::function<void(const InstanceId &to, std::string bytes, Duration ttl)> send;
    /// Waits for the bytes of the next answer, until @p deadline at the longest.
    std::function<std::optional<std::string>(TimePoint deadline)> receive;
};

/// How a call ended.
enum class CallOutcome {
    Answered,
    Refused,        ///< The system refused; nothing was run.
    Conflict,       ///< Another change was accepted first; nothing was run.
    Unavailable,    ///< Nobody could answer in time; nothing was run.
    UnknownOutcome, ///< May have been run: resend with the same command id.
};

struct CallResult
{
    CallOutcome outcome = CallOutcome::Unavailable;
    proto::OperatorAnswer answer;
    std::string message; ///< Why the call was not answered, for people.
};

/// Timing of an OperatorClient.
struct OperatorClientOptions
{
    std::string author;
    std::vector<InstanceId> controls; ///< Asked in this order.
    Duration answerTimeout = std::chrono::seconds(2);
    Duration commandTimeout = std::chrono::seconds(20);
    std::string requestPrefix; ///< Makes request ids unique over all clients.
};

/// Asks one control process after another until one answers or the time is over.
///
/// Bytes are resent while no answer comes, since links lose messages. Requests that change
/// something carry a command id, so that a resend after a lost answer runs nothing twice.
class OperatorClient
{
public:
    OperatorClient(OperatorClientOptions options, OperatorLink link);

    CallResult call(proto::OperatorRequest request);

private:
    struct Progress;
    bool attempt(const InstanceId &control, const proto::OperatorRequest &request,
                 TimePoint deadline, Progress &progress);
    void takeAnswer(const proto::OperatorAnswer &answer, Progress &progress) const;

    OperatorClientOptions m_options;
    OperatorLink m_link;
    std::uint64_t m_lastRequest = 0;
    std::size_t m_preferred = 0;
};

} // namespace gentianramp
