#include "meter.hpp"
#include "sample_configuration.hpp"
#include "slopes.hpp"

#include <gentianramp/config/configuration_codec.hpp>
#include <gentianramp/fleet/fleet_table.hpp>
#include <iostream>

namespace gentianramp {

namespace {

constexpr int DecodeRounds = 5;

} // namespace

void measureConfiguration()
{
    std::vector<SlopePoint> bytes;
    std::vector<SlopePoint> cpu;
    std::vector<SlopePoint> memory;
    for (const std::size_t backendsPerSite : {8, 17, 33, 67, 133}) {
        const SampleSize size{.backendsPerSite = backendsPerSite};
        const std::string encoded = encodeConfiguration(sampleConfiguration(size));
        const auto backends = static_cast<double>(size.sites * backendsPerSite);
        bytes.push_back({backends, static_cast<double>(encoded.size())});
        const std::uint64_t before = heapBytes();
        const auto kept = decodeConfiguration(encoded);
        memory.push_back({backends, static_cast<double>(heapBytes() - before)});
        cpu.push_back(
            {backends, cpuMicroseconds(DecodeRounds, [&] { decodeConfiguration(encoded); })});
        if (!kept)
            std::cerr << "the sample configuration can't be read: " << kept.message() << "\n";
    }
    printSlope("slopes.configuration_bytes", "bytes", bytes);
    printSlope("slopes.configuration_decode_cpu", "us", cpu);
    printSlope("slopes.configuration_memory", "bytes", memory);
}

void measureFleet()
{
    std::vector<SlopePoint> whole;
    std::vector<SlopePoint> quiet;
    std::vector<SlopePoint> oneChange;
    for (const std::size_t backends : {16, 33, 67, 133, 266}) {
        FleetView view = declaredFleet(
            sampleConfiguration({.sites = 1, .backendsPerSite = backends}), DataCentreId("site-0"));
        FleetSender sender(view.site);
        const auto size = static_cast<double>(backends);
        whole.push_back({size, static_cast<double>(sender.update(view, FencingNumber(1)).size())});
        quiet.push_back({size, static_cast<double>(sender.update(view, FencingNumber(1)).size())});
        view.backends.front().phase = BackendPhase::Draining;
        oneChange.push_back(
            {size, static_cast<double>(sender.update(view, FencingNumber(1)).size())});
    }
    printSlope("slopes.fleet_table_bytes", "bytes", whole);
    printSlope("slopes.fleet_quiet_bytes", "bytes", quiet);
    printSlope("slopes.fleet_change_bytes", "bytes", oneChange);
}

} // namespace gentianramp
