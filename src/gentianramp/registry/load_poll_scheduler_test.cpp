#include <gentianramp/registry/load_poll_scheduler.hpp>
#include <set>

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

std::vector<PollCandidate> engines(int urgent, int idle)
{
    std::vector<PollCandidate> list;
    list.reserve(urgent + idle);
    for (int number = 0; number < urgent + idle; ++number)
        list.push_back({BackendId("e" + std::to_string(number)), number < urgent});
    return list;
}

} // namespace

Test(load_poll_scheduler, smallFleetIsPolledInEveryRound)
{
    LoadPollScheduler scheduler(100);
    for (int round = 0; round < 3; ++round)
        cr_assert_eq(scheduler.next(engines(5, 55)).size(), 60U);
}

Test(load_poll_scheduler, busyEnginesArePolledInEveryRoundAndIdleOnesRoundRobin)
{
    LoadPollScheduler scheduler(100);
    std::set<BackendId> asked;
    for (int round = 0; round < 60; ++round) {
        const std::vector<BackendId> chosen = scheduler.next(engines(50, 2900));
        cr_assert_eq(chosen.size(), 100U);
        for (int number = 0; number < 50; ++number)
            cr_assert(chosen[number] == BackendId("e" + std::to_string(number)));
        asked.insert(chosen.begin(), chosen.end());
    }
    cr_assert_eq(asked.size(), 2950U);
}

Test(load_poll_scheduler, allEnginesArePolledEventuallyIfTooManyAreBusy)
{
    LoadPollScheduler scheduler(40);
    std::set<BackendId> asked;
    for (int round = 0; round < 30; ++round) {
        const std::vector<BackendId> chosen = scheduler.next(engines(900, 100));
        cr_assert_eq(chosen.size(), 40U);
        asked.insert(chosen.begin(), chosen.end());
    }
    cr_assert_eq(asked.size(), 1000U);
}
