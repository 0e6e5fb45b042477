#include <deque>
#include <functional>
#include <gentianramp/client/in_force.hpp>
#include <gentianramp/client/operator_client.hpp>

#include <criterion/criterion.h>

using namespace gentianramp;
using namespace std::chrono_literals;

namespace {

/// Returns the answer of a fake control process to a request, or nullopt to lose the request.
using AnswerFunction = std::function<std::optional<proto::OperatorAnswer>(
    const InstanceId &to, const proto::OperatorRequest &)>;

/// Link to fake control processes. Pauses the clock; receiving without an answer advances it.
class FakeLink
{
public:
    explicit FakeLink(AnswerFunction answerTo)
        : m_answerTo(std::move(answerTo))
    {
        RuntimeClock::pause();
    }

    OperatorLink link()
    {
        OperatorLink link;
        link.send = [this](const InstanceId &to, const std::string &bytes, Duration) {
            proto::OperatorRequest request;
            cr_assert(request.ParseFromString(bytes));
            m_sent.push_back(request);
            if (auto answer = m_answerTo(to, request)) {
                if (answer->request_id().empty())
                    answer->set_request_id(request.request_id());
                m_answers.push_back(answer->SerializeAsString());
            }
        };
        link.receive = [this](TimePoint deadline) -> std::optional<std::string> {
            if (m_answers.empty()) {
                RuntimeClock::advance(deadline - RuntimeClock::now());
                return std::nullopt;
            }
            std::string answer = std::move(m_answers.front());
            m_answers.pop_front();
            return answer;
        };
        return link;
    }

    void inject(const std::string &bytes) { m_answers.push_back(bytes); }
    const std::vector<proto::OperatorRequest> &sent() const { return m_sent; }

private:
    AnswerFunction m_answerTo;
    std::vector<proto::OperatorRequest> m_sent;
    std::deque<std::string> m_answers;
};

OperatorClientOptions options()
{
    return {.author = "eva",
            .controls = {InstanceId("c1"), InstanceId("c2"), InstanceId("c3")},
            .answerTimeout = 2s,
            .commandTimeout = 20s,
            .requestPrefix = "t"};
}

proto::OperatorRequest applyRequest()
{
    proto::OperatorRequest request;
    request.mutable_apply()->set_command_id("command-1");
    return request;
}

proto::OperatorAnswer accepted(std::uint64_t revision)
{
    proto::OperatorAnswer answer;
    answer.mutable_apply()->set_revision(revision);
    return answer;
}

proto::OperatorAnswer refused(proto::OperatorError error)
{
    proto::OperatorAnswer answer;
    answer.set_error(error);
    answer.set_message("why");
    return answer;
}

proto::SiteStatus site(const std::string &name, std::uint32_t processes, std::uint32_t reporting,
                       std::uint64_t oldest, bool reachable)
{
    proto::SiteStatus status;
    status.set_data_centre(name);
    status.set_processes(processes);
    status.set_reporting(reporting);
    status.set_in_force(reporting);
    status.set_oldest_revision(oldest);
    status.set_reachable(reachable);
    return status;
}

proto::StatusAnswer statusOf(const std::vector<proto::SiteStatus> &sites)
{
    proto::StatusAnswer status;
    status.set_revision(7);
    status.set_confirmed(true);
    for (const auto &each : sites)
        *status.add_sites() = each;
    return status;
}

} // namespace

Test(OperatorClient, TriesTheNextControlProcessWhenOneDoesNotAnswer)
{
    FakeLink fake([](const InstanceId &to, const auto &) -> std::optional<proto::OperatorAnswer> {
        if (to == InstanceId("c1"))
            return std::nullopt;
        return accepted(4);
    });
    OperatorClient client(options(), fake.link());
    const CallResult result = client.call(applyRequest());
    cr_assert(result.outcome == CallOutcome::Answered);
    cr_assert_eq(result.answer.apply().revision(), 4U);
    for (const auto &request : fake.sent())
        cr_assert(request.apply().command_id() == "command-1");
    cr_assert(fake.sent().back().author() == "eva");
}

Test(OperatorClient, NoAnswerEndsAtTheTimeoutWithAnUnknownOutcome)
{
    FakeLink fake([](const auto &, const auto &) { return std::nullopt; });
    const TimePoint start = RuntimeClock::now();
    OperatorClient client(options(), fake.link());
    cr_assert(client.call(applyRequest()).outcome == CallOutcome::UnknownOutcome);
    cr_assert(RuntimeClock::now() - start <= 20s + 1ms);
    proto::OperatorRequest status;
    status.mutable_status();
    cr_assert(client.call(status).outcome == CallOutcome::Unavailable);
}

Test(OperatorClient, NoLeaderAtAnyControlProcessMeansUnavailable)
{
    FakeLink fake(
        [](const auto &, const auto &) { return refused(proto::OPERATOR_ERROR_NO_LEADER); });
    OperatorClient client(options(), fake.link());
    const CallResult result = client.call(applyRequest());
    cr_assert(result.outcome == CallOutcome::Unavailable);
    cr_assert(result.message.find("why") != std::string::npos);
    cr_assert_gt(fake.sent().size(), 3U);
}

Test(OperatorClient, NoLeaderAfterALostAnswerMeansUnknownOutcome)
{
    FakeLink fake([](const InstanceId &to, const auto &) -> std::optional<proto::OperatorAnswer> {
        if (to == InstanceId("c1"))
            return std::nullopt;
        return refused(proto::OPERATOR_ERROR_NO_LEADER);
    });
    OperatorClient client(options(), fake.link());
    cr_assert(client.call(applyRequest()).outcome == CallOutcome::UnknownOutcome);
}

Test(OperatorClient, RetriesAfterAnUnknownOutcome)
{
    int calls = 0;
    FakeLink fake([&calls](const auto &, const auto &) {
        return ++calls == 1 ? refused(proto::OPERATOR_ERROR_UNKNOWN_OUTCOME) : accepted(9);
    });
    OperatorClient client(options(), fake.link());
    cr_assert_eq(client.call(applyRequest()).answer.apply().revision(), 9U);
}

Test(OperatorClient, ConflictAndInvalidRequestAreNotRetried)
{
    FakeLink conflict(
        [](const auto &, const auto &) { return refused(proto::OPERATOR_ERROR_CONFLICT); });
    OperatorClient conflicting(options(), conflict.link());
    cr_assert(conflicting.call(applyRequest()).outcome == CallOutcome::Conflict);
    cr_assert_eq(conflict.sent().size(), 1U);
    FakeLink invalid(
        [](const auto &, const auto &) { return refused(proto::OPERATOR_ERROR_INVALID); });
    OperatorClient invalidRequest(options(), invalid.link());
    cr_assert(invalidRequest.call(applyRequest()).outcome == CallOutcome::Refused);
}

Test(OperatorClient, StopsWhenNoControlProcessSupportsTheRequest)
{
    FakeLink fake(
        [](const auto &, const auto &) { return refused(proto::OPERATOR_ERROR_UNSUPPORTED); });
    OperatorClient client(options(), fake.link());
    cr_assert(client.call(applyRequest()).outcome == CallOutcome::Refused);
    cr_assert_eq(fake.sent().size(), 3U);
}

Test(OperatorClient, ExpiredCommandMeansUnknownOutcome)
{
    FakeLink fake(
        [](const auto &, const auto &) { return refused(proto::OPERATOR_ERROR_COMMAND_EXPIRED); });
    OperatorClient client(options(), fake.link());
    cr_assert(client.call(applyRequest()).outcome == CallOutcome::UnknownOutcome);
}

Test(OperatorClient, IgnoresAnswersToOtherCallsAndMalformedMessages)
{
    FakeLink fake([](const auto &, const auto &) { return accepted(3); });
    proto::OperatorAnswer answerToOtherCall = accepted(99);
    answerToOtherCall.set_request_id("other-1");
    fake.inject(answerToOtherCall.SerializeAsString());
    fake.inject("\xff\xff");
    OperatorClient client(options(), fake.link());
    cr_assert_eq(client.call(applyRequest()).answer.apply().revision(), 3U);
}

Test(InForce, RequiresConfirmedReportsOfAllProcessesAtEverySite)
{
    const Revision revision(7);
    const auto upToDate = site("north", 3, 3, 7, true);
    cr_assert(isInForceEverywhere(revision, statusOf({upToDate, site("south", 2, 2, 8, true)})));
    cr_assert_not(
        isInForceEverywhere(revision, statusOf({upToDate, site("south", 2, 2, 6, true)})));
    cr_assert_not(
        isInForceEverywhere(revision, statusOf({upToDate, site("south", 2, 1, 7, true)})));
    cr_assert_not(
        isInForceEverywhere(revision, statusOf({upToDate, site("south", 2, 2, 7, false)})));
    cr_assert_not(isInForceEverywhere(revision, statusOf({})));
    proto::StatusAnswer unconfirmed = statusOf({upToDate});
    unconfirmed.set_confirmed(false);
    cr_assert_not(isInForceEverywhere(revision, unconfirmed));
}

Test(InForce, DistinguishesSitesThatAreBehindFromUnreachableOnes)
{
    const auto sites
        = progressOf(Revision(7),
                     statusOf({site("north", 3, 3, 7, true), site("south", 2, 2, 6, true),
                               site("west", 2, 0, 7, false)}));
    cr_assert(sites[0].state == SiteState::InForce);
    cr_assert(sites[1].state == SiteState::Behind);
    cr_assert(sites[2].state == SiteState::CutOff);
}

Test(InForce, WaitReturnsTheLastStatusAtTheDeadline)
{
    FakeLink fake([](const auto &, const auto &) {
        proto::OperatorAnswer answer;
        *answer.mutable_status() = statusOf({site("north", 3, 2, 7, true)});
        return answer;
    });
    OperatorClient client(options(), fake.link());
    const TimePoint deadline = RuntimeClock::now() + 5s;
    const auto last = waitUntilInForce(client, Revision(7), deadline,
                                       [](Duration time) { RuntimeClock::advance(time); });
    cr_assert(last.outcome == CallOutcome::Answered);
    cr_assert_not(isInForceEverywhere(Revision(7), last.answer.status()));
    cr_assert(RuntimeClock::now() >= deadline);
}
