#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdint>
#include <gentianramp/authority/fault_schedule.hpp>
#include <iostream>
#include <vector>

namespace {

using gentianramp::Duration;
namespace program_options = boost::program_options;

struct Options
{
    std::uint64_t seed = 1;
    int schedules = 1000;
    int failovers = 200;
    bool help = false;
};

Options parse(int argc, char **argv, program_options::options_description &description)
{
    Options options;
    description.add_options()("help,h", "show this help")(
        "seed", program_options::value(&options.seed)->default_value(options.seed), "first seed")(
        "schedules", program_options::value(&options.schedules)->default_value(options.schedules),
        "random schedules to run")(
        "failovers", program_options::value(&options.failovers)->default_value(options.failovers),
        "crashes of a holder to time");
    program_options::variables_map values;
    program_options::store(program_options::parse_command_line(argc, argv, description), values);
    program_options::notify(values);
    options.help = values.contains("help");
    return options;
}

/// Milliseconds below which the share @p q of @p times lies.
std::int64_t quantileMs(std::vector<Duration> times, double q)
{
    std::sort(times.begin(), times.end());
    const auto last = static_cast<double>(times.size() - 1);
    return gentianramp::toMilliseconds(times.at(static_cast<std::size_t>(q * last)));
}

void print(const char *name, std::int64_t value, const char *unit)
{
    std::cout << "figure authority." << name << ' ' << value << ' ' << unit << '\n';
}

bool runSchedules(const Options &options)
{
    gentianramp::AuthoritySimulationCounts sum;
    for (int number = 0; number < options.schedules; ++number) {
        const auto seed = options.seed * 1'000'003 + static_cast<std::uint64_t>(number);
        const auto figures = gentianramp::runAuthoritySchedule(seed);
        if (figures.conflictingOrders + figures.staleOrdersExecuted + figures.multipleHolders > 0)
            std::cout << "schedule seed " << seed << " broke a promise\n";
        sum.orders += figures.orders;
        sum.conflictingOrders += figures.conflictingOrders;
        sum.staleOrdersExecuted += figures.staleOrdersExecuted;
        sum.multipleHolders += figures.multipleHolders;
        sum.acquisitions += figures.acquisitions;
    }
    print("schedules", options.schedules, "runs");
    print("orders", sum.orders, "orders");
    print("acquisitions", sum.acquisitions, "leases");
    print("conflicting", sum.conflictingOrders, "orders");
    print("stale_effective", sum.staleOrdersExecuted, "orders");
    print("two_holders", sum.multipleHolders, "events");
    return sum.conflictingOrders + sum.staleOrdersExecuted + sum.multipleHolders == 0;
}

void timeTakeOvers(const Options &options)
{
    std::vector<Duration> failovers;
    std::vector<Duration> handOvers;
    for (int number = 0; number < options.failovers; ++number) {
        const auto seed = options.seed * 1'000'003 + static_cast<std::uint64_t>(number);
        failovers.push_back(gentianramp::measureFailover(seed));
        handOvers.push_back(gentianramp::measureLeaseTransfer(seed));
    }
    print("failover_p50_ms", quantileMs(failovers, 0.5), "ms");
    print("failover_p99_ms", quantileMs(failovers, 0.99), "ms");
    print("handover_p50_ms", quantileMs(handOvers, 0.5), "ms");
    print("handover_p99_ms", quantileMs(handOvers, 0.99), "ms");
}

} // namespace

int main(int argc, char **argv)
{
    program_options::options_description description(
        "Runs the leases under random schedules of faults; prints figures");
    try {
        const Options options = parse(argc, argv, description);
        if (options.help) {
            std::cout << description;
            return 0;
        }
        const bool kept = runSchedules(options);
        timeTakeOvers(options);
        return kept ? 0 : 1;
    } catch (const program_options::error &error) {
        std::cerr << "gentianramp-authority-schedules: " << error.what() << '\n';
        return 2;
    }
}
