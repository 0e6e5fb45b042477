#include "ledger_simulation.hpp"

#include <gentianramp/core/log.hpp>
#include <iostream>

#include <criterion/criterion.h>

using namespace gentianramp;
using namespace gentianramp::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t SchedulesEach = 150;

/// Runs schedules over 3, 5 and 7 voters; reports each broken promise with its seed.
void checkSchedules(ScheduleOptions options, std::uint64_t firstSeed)
{
    std::size_t accepted = 0;
    for (std::uint64_t seed = firstSeed; seed < firstSeed + SchedulesEach; ++seed) {
        options.seed = seed;
        options.voters = 3 + 2 * (seed % 3);
        LedgerRun run(options);
        run.found();
        run.runSchedule();
        run.settle();
        accepted += run.acceptedCount();
        for (const std::string &what : run.broken())
            cr_expect(false, "seed %lu: %s", static_cast<unsigned long>(seed), what.c_str());
    }
    cr_expect_gt(accepted, SchedulesEach * 10, "schedules accept changes");
}

} // namespace

Test(LedgerSchedules, KeepPromisesWithCrashesPausesAndPartitions)
{
    checkSchedules({}, 1000);
}

Test(LedgerSchedules, KeepPromisesWithLostDisks)
{
    checkSchedules({.lostDisks = true}, 2000);
}

Test(LedgerSchedules, KeepPromisesWithStaleDisks)
{
    checkSchedules({.staleDisks = true}, 3000);
}

Test(LedgerSchedules, KeepPromisesWithEverything)
{
    checkSchedules({.dropShare = 0.15, .lostDisks = true, .staleDisks = true}, 4000);
}
