#include "ledger_simulation.hpp"

#include <gentianramp/core/log.hpp>
#include <iostream>

#include <criterion/criterion.h>

using namespace gentianramp;
using namespace gentianramp::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t SchedulesPerTest = 150;

/// Runs random schedules with 3, 5 and 7 voters; reports each violated invariant with its seed.
void checkSchedules(ScheduleOptions options, std::uint64_t firstSeed)
{
    std::size_t accepted = 0;
    std::size_t moves = 0;
    for (std::uint64_t seed = firstSeed; seed < firstSeed + SchedulesPerTest; ++seed) {
        options.seed = seed;
        options.voters = 3 + 2 * (seed % 3);
        LedgerSimulation run(options);
        run.found();
        run.runSchedule();
        run.settle();
        accepted += run.acceptedCount();
        moves += run.moveCount();
        for (const std::string &what : run.violations())
            cr_expect(false, "seed %lu: %s", static_cast<unsigned long>(seed), what.c_str());
    }
    cr_expect_gt(accepted, SchedulesPerTest * 10, "fewer than 10 accepted changes a schedule");
    if (options.spares > 0)
        cr_expect_gt(moves, SchedulesPerTest, "less than one slot moved a schedule");
}

} // namespace

Test(LedgerSchedules, KeepInvariantsWithCrashesPausesAndPartitions)
{
    checkSchedules({}, 1000);
}

Test(LedgerSchedules, KeepInvariantsWithLostFolders)
{
    checkSchedules({.lostDisks = true}, 2000);
}

Test(LedgerSchedules, KeepInvariantsWithRolledBackFolders)
{
    checkSchedules({.staleDisks = true}, 3000);
}

// A slot that moved to another process had no former folder from the moment at which that was
// written down, and no new one until that was admitted: the loss of one more disk was one too many.
Test(LedgerSchedules, KeepInvariantsWhileSlotsMoveToOtherProcesses)
{
    checkSchedules({.spares = 1}, 6000);
    checkSchedules({.lostDisks = true, .spares = 1}, 7000);
}

// A leader that was handed an earlier time sent the age of an answer as a wrapped number, which
// dated the confirmations of its followers weeks after the present.
Test(LedgerSchedules, NoConfirmationIsDatedAfterThePresent)
{
    checkSchedules({.earlierTimeShare = 0.1, .impossibleAgeShare = 0.02, .clockDrift = 1e-4}, 5000);
}

Test(LedgerSchedules, KeepInvariantsWithAllFaults)
{
    checkSchedules({.dropShare = 0.15, .lostDisks = true, .staleDisks = true}, 4000);
}
