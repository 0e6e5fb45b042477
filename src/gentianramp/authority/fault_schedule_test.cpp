#include <gentianramp/authority/fault_schedule.hpp>

#include <criterion/criterion.h>

using namespace gentianramp;
using namespace std::chrono_literals;

namespace {

constexpr int Schedules = 300;

} // namespace

Test(LeaseSchedules, RandomFaultsCauseNoSecondHolderAndNoStaleOrder)
{
    AuthoritySimulationCounts sum;
    for (std::uint64_t seed = 1; seed <= Schedules; ++seed) {
        const AuthoritySimulationCounts figures = runAuthoritySchedule(seed);
        const auto shown = static_cast<unsigned long>(seed);
        cr_expect_eq(figures.multipleHolders, 0, "seed %lu: several holders", shown);
        cr_expect_eq(figures.conflictingOrders, 0, "seed %lu: conflicting orders", shown);
        cr_expect_eq(figures.staleOrdersExecuted, 0, "seed %lu: stale orders took effect", shown);
        sum.orders += figures.orders;
        sum.acquisitions += figures.acquisitions;
    }
    cr_log_info("%d orders, %d acquisitions", sum.orders, sum.acquisitions);
    cr_expect_gt(sum.orders, Schedules * 20);
    cr_expect_gt(sum.acquisitions, Schedules * 2);
}

Test(LeaseSchedules, RegressionSeedsPass)
{
    // 61909185752, 61909186594: after all members lost the numbers in a restart, a process sent an
    // order with a number of its own earlier lease.
    // 61909186026: a report requested before a late order arrived counted as current.
    // 5000121, 777003171: an order was sent before the engine that knew the largest number
    // reported.
    for (const std::uint64_t seed :
         {61909185752ULL, 61909186026ULL, 61909186594ULL, 5000121ULL, 777003171ULL}) {
        const AuthoritySimulationCounts figures = runAuthoritySchedule(seed);
        cr_expect_eq(figures.multipleHolders + figures.conflictingOrders
                         + figures.staleOrdersExecuted,
                     0, "seed %llu: several holders, conflicting or stale orders",
                     static_cast<unsigned long long>(seed));
    }
}

Test(LeaseSchedules, FailoverTakesLessThanFiveSeconds)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed)
        cr_expect_lt(measureFailover(seed).count(), Duration(5s).count());
}

Test(LeaseSchedules, TransferTakesLessThanOneSecond)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed)
        cr_expect_lt(measureLeaseTransfer(seed).count(), Duration(1s).count());
}
