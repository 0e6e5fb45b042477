#pragma once

#include <cstdint>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/ids.hpp>
#include <gentianramp/registry/backend_listing.hpp>
#include <map>
#include <string>
#include <vector>

namespace gentianramp {

/// What an entry process measured of an engine's speed.
struct SpeedObservation
{
    BackendId engine;
    std::int64_t startedAtMs = 0; ///< Listed start of the engine's process.
    double logRatio = 0;          ///< Sum of ln(measured time / usual time).
    std::uint32_t count = 0;      ///< Of measurements.
    bool operator==(const SpeedObservation &) const = default;
};

/// Options of EngineSpeeds.
struct EngineSpeedOptions
{
    /// A measurement has lost two thirds of its weight at this age: speeds are a property of the
    /// hardware, and what changes faster is stated by the servers themselves.
    Duration timeConstant = std::chrono::seconds(30);
    /// Measurements after which an engine is believed half as slow, or fast, as they say.
    double priorCount = 3;
    /// Share of the weight that is left when an engine has restarted, probably on the same
    /// hardware.
    double restartWeight = 0.25;
    /// An engine is taken for a usual one while its speed is nearer to 1: engines of one kind
    /// differ by the chance of a few measurements, and a change moves prompts to other engines.
    double leastDifference = 1.25;
    /// A change below this ratio is not published.
    double publishedChange = 1.25;
    /// Nothing is published of an engine before it was measured this often.
    double leastCount = 6;
};

/// Lasting speeds of engines, estimated from what all entry processes measured. A single process
/// sends an engine a prompt every some seconds only. Performs no I/O.
class EngineSpeeds
{
public:
    explicit EngineSpeeds(EngineSpeedOptions options = {});

    void add(const SpeedObservation &observation, TimePoint now);
    /// Updates the published speeds. Engines that are no longer listed are forgotten.
    void publish(const BackendListing &listing, TimePoint now);
    /// Published speed as a share of the usual one of the service's engines; 0: not known.
    double speedOf(const BackendId &engine) const;

private:
    struct Engine
    {
        std::int64_t startedAtMs = 0;
        double logRatio = 0; ///< Weighted sum as of updatedAt.
        double weight = 0;
        TimePoint updatedAt{};
        double published = 0;
    };

    void decay(Engine &engine, TimePoint now) const;
    /// Mean of ln(time / usual time), nearer to 0 the less is known.
    double believedLog(const Engine &engine) const;

    EngineSpeedOptions m_options;
    std::map<BackendId, Engine> m_engines;
};

} // namespace gentianramp
