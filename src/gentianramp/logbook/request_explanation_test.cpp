#include <gentianramp/logbook/request_explanation.hpp>

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

/// Creates a log source from lines of the form "PROCESS TIME EVENT FIELDS".
LogSource logSourceOf(const std::vector<std::string> &texts)
{
    std::vector<LogLine> lines;
    for (const std::string &text : texts) {
        const std::size_t process = text.find(' ');
        const std::size_t time = text.find(' ', process + 1);
        const auto line = parseLogLine("time_ms=" + text.substr(process + 1, time - process - 1)
                                           + " event=" + text.substr(time + 1),
                                       text.substr(0, process));
        cr_assert(line.has_value(), "%s", text.c_str());
        lines.push_back(*line);
    }
    return [lines](const std::function<void(const LogLine &)> &handleLine) {
        for (const LogLine &line : lines)
            handleLine(line);
    };
}

bool contains(const std::string &text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

const std::string Refused = "entry-1 50200 request_refused request=r1 service=desk backend=e1 "
                            "status=503 reason=backends_full verdict=NotRun total_ms=189 "
                            "left_ms=900 expected_ms=235 list_age_ms=40";

const std::string Rejected = "entry-1 50011 send_failed request=r1 backend=e1 step=not_run "
                             "error=answer status=503 expected_ms=235 after_ms=2";

} // namespace

Test(RequestExplanation, RejectionAfterARoleChangeOrderNamesTheOrder)
{
    const auto explanation = explainRequest(
        logSourceOf({"control-2 49700 stage_ordered backend=e1 stage=prefill term=3",
                     "control-2 49800 stage_ordered backend=e2 stage=prefill term=3", Rejected,
                     Refused, "entry-1 50300 request_answered request=r2 verdict=Complete"}),
        "r1");
    cr_assert(explanation.has_value());
    cr_assert_eq(explanation->lines.size(), 2U);
    cr_assert_eq(explanation->contextLines.size(), 1U);
    cr_assert(
        contains(explanation->cause, "control-2 had ordered it to change to prefill 311 ms before"),
        "%s", explanation->cause.c_str());
}

Test(RequestExplanation, RejectionWithoutARecentOrderMeansAFullServer)
{
    const auto explanation = explainRequest(
        logSourceOf(
            {"control-2 30000 stage_ordered backend=e1 stage=prefill term=3", Rejected, Refused}),
        "r1");
    cr_assert(contains(explanation->cause, "the server was full"), "%s",
              explanation->cause.c_str());
}

Test(RequestExplanation, FailedAttemptIncludesTheFindingOfTheRegistryLeader)
{
    const auto explanation = explainRequest(
        logSourceOf({"entry-1 50002 send_failed request=r1 backend=e1 step=may_have_run "
                     "error=\"connection lost\" status=0 expected_ms=20 after_ms=2",
                     "entry-1 50002 request_failed request=r1 backend=e1 status=502 "
                     "reason=backend_failed verdict=MayHaveRun first_ms=-1 total_ms=2 left_ms=997",
                     "control-1 50600 engine_silent backend=e1",
                     "entry-2 50001 backend_lost backend=e1"}),
        "r1");
    cr_assert(contains(explanation->cause, "e1 failed (connection lost) after 2 ms"));
    cr_assert(contains(explanation->cause, "registry leader also found it silent"), "%s",
              explanation->cause.c_str());
    // The observation of entry-2 was not known to entry-1.
    cr_assert_eq(explanation->contextLines.size(), 1U);
}

Test(RequestExplanation, LatestStateBeforeTheRequestIsIncludedAtAnyAge)
{
    const auto explanation = explainRequest(
        logSourceOf(
            {"entry-1 1000 declaration_in_force number=3",
             "entry-1 2000 declaration_in_force "
             "number=7",
             "entry-2 9000 declaration_in_force number=9",
             "entry-1 90000 request_failed request=r1 status=404 reason=no_route verdict=NotRun "
             "declaration=7 declaration_age_ms=150 total_ms=0"}),
        "r1");
    cr_assert_eq(explanation->contextLines.size(), 1U);
    cr_assert_eq(explanation->contextLines[0].field("number"), "7");
    cr_assert(
        contains(explanation->cause, "no route in declaration 7 (150 ms old) matches the request"));
}

Test(RequestExplanation, EventsOutsideTheTimeRangeAreLeftOut)
{
    const auto explanation
        = explainRequest(logSourceOf({"control-1 10000 leadership_gained term=4",
                                      "control-1 45000 leadership_gained term=5", Refused,
                                      "control-1 99000 leadership_gained term=6",
                                      "entry-1 50100 log_lines_dropped lines=3"}),
                         "r1");
    cr_assert_eq(explanation->contextLines.size(), 1U);
    cr_assert_eq(explanation->contextLines[0].field("term"), "5");
    cr_assert(explanation->linesDropped);
}

Test(RequestExplanation, RequestWithoutLogLinesHasNoExplanation)
{
    cr_assert_not(explainRequest(logSourceOf({Refused}), "r2").has_value());
}

Test(RequestExplanation, EachResultHasACause)
{
    const std::vector<std::pair<std::string, std::string_view>> endsAndCauses{
        {"request_refused reason=no_declaration",
         "had received no message from a registry process"},
        {"request_refused reason=leaving", "was leaving"},
        {"request_refused reason=too_late expected_ms=900 left_ms=100",
         "begin was 900 ms, more than twice the 100 ms"},
        {"request_refused reason=no_backend service=desk list_age_ms=70", "list 70 ms old"},
        {"request_failed reason=deadline first_ms=-1 total_ms=400", "before the deadline"},
        {"stream_broken reason=deadline first_ms=20", "not complete at the deadline"},
        {"stream_broken reason=backend_failed first_ms=20",
         "began after 20 ms and was interrupted"},
        {"request_failed reason=internal_error", "an exception in entry-1 ended the request"},
        {"request_refused reason=internal_error total_ms=1", "(internal_error)"},
        {"caller_gone first_ms=-1 total_ms=30", "disconnected after 30 ms, before an answer"},
        {"caller_gone first_ms=-1 total_ms=2400 reader=e3 sends=0 expected_ms=90",
         "while e3 ran its prefill, expected wait 90 ms"},
        {"request_answered status=200 backend=e1 total_ms=30", "answered with 200 by e1"}};
    for (const auto &[end, cause] : endsAndCauses) {
        const auto explanation = explainRequest(
            logSourceOf({"entry-1 500 " + end + " request=r1 verdict=NotRun"}), "r1");
        cr_expect(contains(explanation->cause, cause), "%s: %s", end.c_str(),
                  explanation->cause.c_str());
    }
}
