#include <gentianramp/registry/engine_speeds.hpp>

#include <algorithm>
#include <cmath>

namespace gentianramp {

namespace {

constexpr double SlowestSpeed = 0.25;
constexpr double FastestSpeed = 4;

} // namespace

EngineSpeeds::EngineSpeeds(EngineSpeedOptions options)
    : m_options(options)
{ }

void EngineSpeeds::decay(Engine &engine, TimePoint now) const
{
    const double kept
        = std::exp(-std::chrono::duration<double>(now - engine.updatedAt) / m_options.timeConstant);
    engine.logRatio *= kept;
    engine.weight *= kept;
    engine.updatedAt = now;
}

double EngineSpeeds::believedLog(const Engine &engine) const
{
    return engine.logRatio / (engine.weight + m_options.priorCount);
}

void EngineSpeeds::add(const SpeedObservation &observation, TimePoint now)
{
    if (observation.count == 0 || !std::isfinite(observation.logRatio))
        return;
    Engine &engine = m_engines[observation.engine];
    if (engine.updatedAt == TimePoint{}) {
        engine.updatedAt = now;
        engine.startedAtMs = observation.startedAtMs;
    }
    decay(engine, now);
    // A measurement of the engine's former process says less of the present one.
    double weight = 1;
    if (observation.startedAtMs > engine.startedAtMs) {
        engine.logRatio *= m_options.restartWeight;
        engine.weight *= m_options.restartWeight;
        engine.startedAtMs = observation.startedAtMs;
    } else if (observation.startedAtMs < engine.startedAtMs) {
        weight = m_options.restartWeight;
    }
    const double most = observation.count * std::log(FastestSpeed);
    engine.logRatio += weight * std::clamp(observation.logRatio, -most, most);
    engine.weight += weight * observation.count;
}

void EngineSpeeds::publish(const BackendListing &listing, TimePoint now)
{
    struct Sum
    {
        double log = 0;
        double count = 0;
    };
    std::map<BackendId, const ListedServer *> listed;
    std::map<std::string, Sum> services;
    for (const ListedServer &server : listing.servers) {
        listed[server.id] = &server;
        const auto engine = m_engines.find(server.id);
        if (engine == m_engines.end())
            continue;
        decay(engine->second, now);
        Sum &sum = services[server.service];
        sum.log += believedLog(engine->second);
        sum.count += 1;
    }
    std::erase_if(m_engines, [&](const auto &entry) { return !listed.contains(entry.first); });
    for (auto &[id, engine] : m_engines) {
        const Sum &sum = services[listed[id]->service];
        const double speed = std::clamp(std::exp(sum.log / sum.count - believedLog(engine)),
                                        SlowestSpeed, FastestSpeed);
        if (engine.weight < m_options.leastCount && engine.published == 0)
            continue;
        const bool differs = std::max(speed, 1 / speed) >= m_options.leastDifference;
        const double shown = differs ? speed : 1;
        const double ratio = engine.published > 0 ? shown / engine.published : 0;
        if (ratio > m_options.publishedChange || ratio < 1 / m_options.publishedChange)
            engine.published = shown;
    }
}

double EngineSpeeds::speedOf(const BackendId &engine) const
{
    const auto found = m_engines.find(engine);
    return found == m_engines.end() ? 0 : found->second.published;
}

} // namespace gentianramp
