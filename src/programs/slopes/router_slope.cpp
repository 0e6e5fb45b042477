#include "meter.hpp"
#include "sample_configuration.hpp"
#include "slopes.hpp"

#include <gentianramp/routing/router.hpp>

namespace gentianramp {

namespace {

constexpr int WarmUpRounds = 200;
constexpr int Rounds = 5000;
constexpr std::uint32_t PromptTokens = 600;
constexpr std::uint32_t OutputTokens = 200;

TimePoint startTime()
{
    return TimePoint(std::chrono::hours(1));
}

void routeOne(Router &router, const RequestAttributes &shape, TimePoint now)
{
    router.submit(shape, now, [&](const Decision &decision) {
        const auto *placement = std::get_if<Placement>(&decision);
        if (!placement)
            return;
        router.firstToken(placement->handle, now);
        router.finished(placement->handle, OutputTokens, now);
    });
}

RequestAttributes sampleShape()
{
    RequestAttributes shape;
    shape.service = ServiceId("service-0");
    shape.customer = CustomerId("customer-0");
    shape.promptTokens = PromptTokens;
    shape.maxOutputTokens = OutputTokens;
    shape.prefixes = {{42, 100}};
    return shape;
}

DeclaredConfiguration unlimitedConfiguration(std::size_t backends)
{
    DeclaredConfiguration configuration
        = sampleConfiguration({.sites = 1, .backendsPerSite = backends});
    for (CustomerDeclaration &customer : configuration.customers) {
        customer.requestsPerSecond = 0;
        customer.tokensPerSecond = 0;
    }
    return configuration;
}

RouterOptions routerOptions(std::uint64_t seed)
{
    RouterOptions options;
    options.instance = InstanceId("entry-1");
    options.site = DataCentreId("site-0");
    options.seed = seed;
    options.instances = {options.instance};
    return options;
}

} // namespace

void measureRouter(std::uint64_t seed)
{
    std::vector<SlopePoint> cpu;
    std::vector<SlopePoint> memory;
    for (const std::size_t backends : {16, 33, 67, 133, 266}) {
        const std::uint64_t before = heapBytes();
        Router router(routerOptions(seed));
        TimePoint now = startTime();
        const DeclaredConfiguration configuration = unlimitedConfiguration(backends);
        router.configure(configuration, now);
        router.publishFleet(declaredFleet(configuration, DataCentreId("site-0")), now);
        const auto size = static_cast<double>(backends);
        memory.push_back({size, static_cast<double>(heapBytes() - before)});
        const RequestAttributes shape = sampleShape();
        for (int round = 0; round < WarmUpRounds; ++round)
            routeOne(router, shape, now);
        cpu.push_back({size, cpuMicroseconds(Rounds, [&] {
                           now += std::chrono::microseconds(300);
                           routeOne(router, shape, now);
                       })});
    }
    printSlope("slopes.route_cpu", "us", cpu);
    printSlope("slopes.router_memory", "bytes", memory);
}

} // namespace gentianramp
