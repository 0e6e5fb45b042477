#include <gentianramp/relay/crash_watch.hpp>

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

const BackendId Engine("engine");

TimePoint at(int ms)
{
    return TimePoint(std::chrono::seconds(1000) + std::chrono::milliseconds(ms));
}

/// Suspects of a request whose number is above those of the parts.
CrashSuspects suspectsOf(std::uint64_t shared, std::uint64_t own)
{
    const PromptDescription prompt{.parts = {{1, 100}, {shared, 100}, {own, 100}},
                                   .outputTokens = 5};
    return crashSuspects(&prompt, 1000 + own);
}

} // namespace

Test(crash_watch, aRefusedConnectionAfterLostOnesIsACrash)
{
    CrashWatch watch;
    const CrashSuspects first = suspectsOf(2, 90);
    const CrashSuspects second = suspectsOf(3, 91);
    cr_assert_not(watch.noteLost(Engine, 7, "s", first, at(0)).has_value());
    cr_assert_not(watch.noteLost(Engine, 7, "s", second, at(1)).has_value());
    cr_assert_not(watch.noteLost(Engine, 7, "s", {}, at(1)).has_value());
    const std::optional<ServerCrash> crash = watch.noteRefused(Engine, at(5));
    cr_assert_eq(crash->server, Engine);
    cr_assert_eq(crash->startedAtMs, 7);
    cr_assert_eq(crash->service, "s");
    cr_assert_eq(crash->crashedAt, at(0));
    // The last part of a prompt belongs to one request alone.
    cr_assert_eq(
        crash->parts,
        (std::map<std::uint64_t, CrashPart>{{1, {PartSuspicion::Unanswered, 0}},
                                            {2, {PartSuspicion::Unanswered, 1}},
                                            {3, {PartSuspicion::Unanswered, 1}},
                                            {1090, {PartSuspicion::Unanswered, WholeRequest}},
                                            {1091, {PartSuspicion::Unanswered, WholeRequest}}}));
}

Test(crash_watch, lossesThatAreNoticedAfterTheCrashIsKnownBelongToIt)
{
    CrashWatch watch;
    const CrashSuspects first = suspectsOf(2, 90);
    const CrashSuspects late = suspectsOf(3, 91);
    watch.noteLost(Engine, 7, "s", first, at(0));
    watch.noteRefused(Engine, at(5));
    const std::optional<ServerCrash> crash = watch.noteLost(Engine, 7, "s", late, at(20));
    cr_assert(crash->parts.contains(3));
    cr_assert_eq(crash->crashedAt, at(0));
    // The server has started again since.
    cr_assert_not(watch.noteLost(Engine, 8, "s", late, at(1500)).has_value());
}

Test(crash_watch, brokenConnectionsOfAServerThatAnswersAreNoCrash)
{
    CrashWatch watch;
    const CrashSuspects lost = suspectsOf(2, 90);
    watch.noteLost(Engine, 7, "s", lost, at(0));
    watch.noteAnswered(Engine);
    cr_assert_not(watch.noteRefused(Engine, at(100)).has_value());
}

// A server that ends in peace, or long after a connection broke, crashed for no request.
Test(crash_watch, aRefusedConnectionWithoutLostOnesIsNoCrash)
{
    CrashWatch watch;
    cr_assert_not(watch.noteRefused(Engine, at(0)).has_value());
    const CrashSuspects lost = suspectsOf(2, 90);
    watch.noteLost(Engine, 7, "s", lost, at(0));
    cr_assert_not(watch.noteRefused(Engine, at(2500)).has_value());
}

// The health check of a crashing server was accepted once more; then the list dropped the server.
Test(crash_watch, aServerThatIsNoLongerListedHasCrashed)
{
    CrashWatch watch;
    const CrashSuspects lost = suspectsOf(2, 90);
    watch.noteLost(Engine, 7, "s", lost, at(0));
    cr_assert(watch.isUndecided(Engine, at(10)));
    cr_assert(watch.takeGone([](const ServerCrash &) { return true; }, at(300)).empty());
    const std::vector<ServerCrash> gone
        = watch.takeGone([](const ServerCrash &) { return false; }, at(350));
    cr_assert_eq(gone.size(), 1U);
    cr_assert(gone.front().parts.contains(2));
    cr_assert_not(watch.isUndecided(Engine, at(360)));
    cr_assert(watch.takeGone([](const ServerCrash &) { return false; }, at(370)).empty());
}

Test(crash_watch, aCrashThatAnotherProcessSawConfirmsTheLosses)
{
    CrashWatch watch;
    const CrashSuspects lost = suspectsOf(2, 90);
    watch.noteLost(Engine, 7, "s", lost, at(0));
    cr_assert_not(watch.noteCrashed(Engine, 6, at(100)).has_value(), "another incarnation");
    cr_assert(watch.noteCrashed(Engine, 7, at(100))->parts.contains(2));
    cr_assert_not(watch.noteCrashed(Engine, 7, at(110)).has_value(), "known already");
    cr_assert_not(watch.noteCrashed(BackendId("other"), 7, at(110)).has_value());
}

Test(crash_watch, aRequestWithoutAPromptIsItselfTheSuspect)
{
    const CrashSuspects suspects = crashSuspects(nullptr, 7);
    cr_assert_eq(suspects, (CrashSuspects{{7, {PartSuspicion::Unanswered, WholeRequest}}}));
}
