#include <gentianramp/registry/engine_speeds.hpp>

#include <array>
#include <cmath>
#include <random>

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

TimePoint at(double s)
{
    return TimePoint(std::chrono::milliseconds(static_cast<std::int64_t>(1000 * s)));
}

BackendListing listing(std::size_t engines, std::int64_t startedAtMs = 1)
{
    BackendListing list{.digest = 1, .servers = {}};
    for (std::size_t index = 0; index < engines; ++index)
        list.servers.push_back({.id = BackendId("i-" + std::to_string(index)),
                                .service = "s",
                                .engine = true,
                                .startedAtMs = startedAtMs});
    return list;
}

double speedOf(std::size_t engine)
{
    return std::array{0.6, 1.0, 1.6}[engine % 3];
}

} // namespace

// 75 instances with three prompts a second each, 60 engines of three speeds, and waits of up to
// three times the usual time that say nothing of the speed.
Test(engine_speeds, threeSpeedsAreToldApartWithinSeconds)
{
    std::mt19937 random(1);
    std::uniform_real_distribution<double> wait(1, 3);
    EngineSpeeds speeds;
    const BackendListing list = listing(60);
    for (double now = 0; now < 6; now += 0.25) {
        for (int prompt = 0; prompt < 56; ++prompt) {
            const std::size_t engine = random() % 60;
            speeds.add({.engine = list.servers[engine].id,
                        .startedAtMs = 1,
                        .logRatio = std::log(wait(random) / speedOf(engine)),
                        .count = 1},
                       at(now));
        }
        speeds.publish(list, at(now));
    }
    for (std::size_t engine = 0; engine < 60; ++engine) {
        const double error = std::log(speeds.speedOf(list.servers[engine].id) / speedOf(engine));
        cr_assert_lt(std::abs(error), std::log(1.35), "engine %zu: %f instead of %f", engine,
                     speeds.speedOf(list.servers[engine].id), speedOf(engine));
    }
}

// Engines of one kind differ by chance; a wrong speed would move prompts away from their caches.
Test(engine_speeds, oneMeasurementChangesNothingAndNothingIsMadeUp)
{
    EngineSpeeds speeds;
    const BackendListing list = listing(4);
    speeds.publish(list, at(0));
    cr_assert_eq(speeds.speedOf(list.servers[0].id), 0);
    for (const ListedServer &server : list.servers)
        speeds.add({.engine = server.id, .startedAtMs = 1, .logRatio = 0, .count = 1}, at(0));
    speeds.add({.engine = list.servers[0].id, .startedAtMs = 1, .logRatio = 1, .count = 1}, at(0));
    speeds.add({.engine = list.servers[0].id, .logRatio = NAN, .count = 1}, at(0));
    speeds.publish(list, at(0));
    cr_assert_eq(speeds.speedOf(list.servers[0].id), 0);
    speeds.publish(listing(0), at(1));
    cr_assert_eq(speeds.speedOf(list.servers[0].id), 0);
}

// The same id comes back on other hardware.
Test(engine_speeds, aRestartedEngineIsMeasuredAnew)
{
    EngineSpeeds speeds;
    const BackendListing list = listing(9);
    const auto measure = [&](double ratio, std::int64_t startedAtMs, double now) {
        for (std::size_t engine = 0; engine < 9; ++engine)
            speeds.add({.engine = list.servers[engine].id,
                        .startedAtMs = startedAtMs,
                        .logRatio = engine == 0 ? 40 * std::log(ratio) : 0,
                        .count = 40},
                       at(now));
        speeds.publish(list, at(now));
        return speeds.speedOf(list.servers[0].id);
    };
    cr_assert_lt(measure(1 / 0.6, 1, 1), 0.75);
    cr_assert_gt(measure(1 / 1.6, 2, 2), 1.2);
    // A late report on the former process does not undo it.
    cr_assert_geq(measure(1 / 0.6, 1, 2.1), 1.0);
}
