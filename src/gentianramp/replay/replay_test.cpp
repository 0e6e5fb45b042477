#include <gentianramp/replay/answer_check.hpp>
#include <gentianramp/replay/goodput_bound.hpp>
#include <gentianramp/replay/report.hpp>
#include <gentianramp/replay/result_file.hpp>
#include <gentianramp/replay/trace.hpp>
#include <gentianramp/replay/virtual_replay.hpp>
#include <random>

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

constexpr Duration ShortTrace = std::chrono::seconds(60);

double ratioOfPromptToOutput(const Trace &trace, Duration from, Duration to)
{
    double prompt = 0;
    double output = 1;
    for (const TraceRequest &request : trace.requests) {
        if (request.service != ServiceId("desk-lm") || request.arrival < from
            || request.arrival >= to)
            continue;
        prompt += request.promptTokens;
        output += request.outputTokens;
    }
    return prompt / output;
}

VirtualReplayOptions optionsFor(Deployment deployment)
{
    return {.fleet = replayFleet(deployment),
            .makePolicy = [] { return makePredictivePolicy(); },
            .seed = 3};
}

/// Orders a change of every engine in turn, whatever it costs.
RolePolicy restlessPolicy()
{
    return [turn = std::size_t{0}](const PlanInput &input) mutable {
        std::vector<RoleChange> changes;
        for (const EngineStatus &engine : input.engines) {
            if (engine.targetRole != engine.view.role || engine.view.phase != BackendPhase::Serving)
                return changes;
        }
        const EngineStatus &engine = input.engines[turn++ % input.engines.size()];
        const bool mixed = engine.view.role == EngineRole::Mixed;
        changes.push_back({engine.view.id, mixed ? EngineRole::Decode : EngineRole::Mixed});
        return changes;
    };
}

} // namespace

Test(Trace, TextKeepsEveryField)
{
    const Trace trace = generateTrace({Deployment::Zilina, ShortTrace}, 1);
    const Result<Trace> parsed = parseTrace(formatTrace(trace));
    cr_assert(static_cast<bool>(parsed), "%s", parsed.message().c_str());
    cr_assert(*parsed == trace);
}

Test(Trace, MalformedTextIsRefusedWithItsLine)
{
    const std::string head = "gentianramp-trace 1\n";
    const std::string good = "5 desk firm 1 10 - 0 5 1000 yes\n";
    cr_assert(static_cast<bool>(parseTrace(head + good)));
    for (const std::string bad :
         {"5 desk firm 1 10 - 0 5 1000\n", "5 desk firm 1 x - 0 5 1000 yes\n",
          "5 desk firm 1 10 p 11 5 1000 yes\n", "-5 desk firm 1 10 - 0 5 1000 yes\n",
          "5 desk firm 1 10 - 0 5 1000 maybe\n", "4 desk firm 1 10 - 0 5 1000 yes\n"}) {
        std::string text = head;
        text.append(good).append(bad);
        const Result<Trace> parsed = parseTrace(text);
        cr_assert_not(static_cast<bool>(parsed));
        cr_assert(parsed.message().starts_with("line 3"));
    }
    cr_assert_not(static_cast<bool>(parseTrace("")));
}

Test(Trace, RandomBytesNeverBreakTheParser)
{
    std::mt19937_64 random(9);
    const std::string text = formatTrace(generateTrace({Deployment::Kyushu, ShortTrace}, 1));
    for (int i = 0; i < 300; ++i) {
        std::string bytes = text.substr(0, random() % 2000);
        for (int change = 0; change < 5 && !bytes.empty(); ++change)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        parseTrace(bytes);
    }
}

Test(TraceGenerator, KyushuSwingsByAFactorOfFour)
{
    const Trace trace = generateTrace({Deployment::Kyushu}, 2);
    cr_assert(trace == generateTrace({Deployment::Kyushu}, 2));
    double least = 1e9;
    double most = 0;
    for (int at = 0; at + 30 <= 600; at += 30) {
        const double ratio
            = ratioOfPromptToOutput(trace, std::chrono::seconds(at), std::chrono::seconds(at + 30));
        least = std::min(least, ratio);
        most = std::max(most, ratio);
    }
    cr_assert_geq(most, 4 * least);
}

Test(VirtualReplay, SameSeedGivesTheSameResult)
{
    const Trace trace = generateTrace({Deployment::Kyushu, ShortTrace}, 4);
    const ReplayResult first = replayVirtually(trace, optionsFor(Deployment::Kyushu));
    const ReplayResult second = replayVirtually(trace, optionsFor(Deployment::Kyushu));
    cr_assert(first.outcomes == second.outcomes);
}

Test(VirtualReplay, RoleChangesCutNothingAndEveryRequestEnds)
{
    const Trace trace = generateTrace({Deployment::Zilina, ShortTrace}, 4);
    VirtualReplayOptions options = optionsFor(Deployment::Zilina);
    options.makePolicy = restlessPolicy;
    const ReplayResult result = replayVirtually(trace, options);
    cr_assert_gt(result.roleChanges, 5);
    cr_assert_eq(result.count(OutcomeKind::Cut), 0);
    cr_assert_eq(result.count(OutcomeKind::Unknown), 0);
}

Test(VirtualReplay, BayCallsAreAnsweredBesideAnOverload)
{
    const Trace trace = generateTrace({Deployment::Zilina, ShortTrace, 2.5}, 4);
    const ReplayResult result = replayVirtually(trace, optionsFor(Deployment::Zilina));
    for (std::size_t i = 0; i < trace.requests.size(); ++i) {
        if (trace.requests[i].service == ServiceId("bay-control"))
            cr_assert_eq(result.outcomes[i].kind, OutcomeKind::Timely);
    }
}

Test(GoodputBound, NothingReplayedBeatsIt)
{
    for (const Deployment deployment : {Deployment::Kyushu, Deployment::Zilina}) {
        const Trace trace = generateTrace({deployment, ShortTrace, 2}, 6);
        const VirtualReplayOptions options = optionsFor(deployment);
        const double bound = timelyAnswersBound(trace, options.fleet);
        const ReplayResult result = replayVirtually(trace, options);
        cr_assert_leq(static_cast<double>(result.count(OutcomeKind::Timely)), bound);
        cr_assert_lt(bound, static_cast<double>(trace.requests.size()));
    }
}

Test(AnswerCheck, TellsGapsRepeatsAndCrossedAnswers)
{
    AnswerCheck whole("a");
    whole.feed("t1-a t2");
    whole.feed("-a t3-a ");
    cr_assert(whole.finish(3));
    for (const char *wrong : {"t1-a t3-a", "t1-a t1-a", "t1-a t2-b", "t2-a", "x"}) {
        AnswerCheck check("a");
        check.feed(wrong);
        cr_assert_not(check.finish(2));
        cr_assert_not(check.faultless());
    }
    AnswerCheck cut("a");
    cut.feed("t1-a ");
    cr_assert_not(cut.finish(2));
    cr_assert(cut.faultless());
}

Test(ResultFile, TextKeepsWhatReportsNeed)
{
    ReplayResult result{.name = "run",
                        .outcomes = {{OutcomeKind::Late, std::chrono::milliseconds(5),
                                      std::chrono::milliseconds(70)},
                                     {OutcomeKind::Refused, {}, std::chrono::milliseconds(1)}},
                        .roles = {{std::chrono::seconds(1), 1, 2, 3, 4}},
                        .roleChanges = 7};
    const Result<ReplayResult> parsed = parseResult(formatResult(result));
    cr_assert(static_cast<bool>(parsed));
    cr_assert(parsed->outcomes == result.outcomes);
    cr_assert(parsed->roles == result.roles);
    cr_assert_eq(parsed->roleChanges, 7);
    cr_assert_not(static_cast<bool>(parseResult("gentianramp-result 1\nrequest odd 1 2\n")));
}

Test(Report, PageShowsEachRun)
{
    const Trace trace = generateTrace({Deployment::Kyushu, ShortTrace}, 4);
    ReplayResult first = replayVirtually(trace, optionsFor(Deployment::Kyushu));
    first.name = "first <run>";
    const std::string page = reportPage(trace, {first, first});
    cr_assert_neq(page.find("first &lt;run>"), std::string::npos);
    cr_assert_neq(page.find("<polyline"), std::string::npos);
    cr_assert_neq(reportPage({}, {ReplayResult{}}).find("</html>"), std::string::npos);
}
