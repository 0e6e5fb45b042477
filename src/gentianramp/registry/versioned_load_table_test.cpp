#include <gentianramp/registry/versioned_load_table.hpp>
#include <random>

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

ReportedLoad load(const std::string &engine, std::uint32_t running)
{
    return {.engine = BackendId(engine), .running = running};
}

LoadReports reports(std::vector<ReportedLoad> engines)
{
    return {.takenAt = TimePoint(std::chrono::seconds(5)), .engines = std::move(engines)};
}

} // namespace

Test(versioned_load_table, returnsChangesSinceVersion)
{
    VersionedLoadTable table(9);
    table.replace(reports({load("a", 1), load("b", 0), load("c", 0)}));
    const std::uint64_t version = table.version();
    table.replace(reports({load("a", 2), load("b", 0)}));
    const LoadChange change = table.since(9, version);
    cr_assert_eq(change.baseVersion, version);
    cr_assert(change.changed == std::vector{load("a", 2)});
    cr_assert(change.removed == std::vector{BackendId("c")});
}

Test(versioned_load_table, returnsFullTableForUnknownEpochOrVersion)
{
    VersionedLoadTable table(9);
    table.replace(reports({load("a", 1)}));
    cr_assert_eq(table.since(8, 1).baseVersion, 0U);
    cr_assert_eq(table.since(9, 0).changed.size(), 1U);
    cr_assert_eq(table.since(9, 99).baseVersion, 0U);
}

Test(versioned_load_table, replicaRejectsChangeWithMissingBaseVersion)
{
    VersionedLoadTable table(9);
    LoadTableReplica replica;
    table.replace(reports({load("a", 1)}));
    const std::uint64_t first = table.version();
    table.replace(reports({load("a", 2)}));
    cr_assert_not(replica.apply(table.since(9, first)).has_value());
    cr_assert(replica.apply(table.since(0, 0))->engines == std::vector{load("a", 2)});
    cr_assert_eq(replica.version(), table.version());
}

Test(versioned_load_table, replicaFollowsTableThatLosesManyEngines)
{
    std::mt19937_64 random(7);
    VersionedLoadTable table(3);
    LoadTableReplica replica;
    for (int round = 0; round < 400; ++round) {
        std::vector<ReportedLoad> engines;
        for (int number = 0; number < 60; ++number) {
            if (random() % 4 != 0)
                engines.push_back(load("e" + std::to_string(100 + number), random() % 3));
        }
        table.replace(reports(engines));
        if (random() % 5 == 0)
            continue; // The replica asks less often than the table changes.
        const auto seen = replica.apply(table.since(replica.epoch(), replica.version()));
        cr_assert(seen.has_value());
        cr_assert(seen->engines == engines);
    }
}
