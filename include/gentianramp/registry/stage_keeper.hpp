#pragma once

#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/ids.hpp>
#include <gentianramp/registry/backend_listing.hpp>
#include <map>
#include <vector>

namespace gentianramp {

/// An order to an engine to change its stage.
struct StageOrder
{
    ListedServer engine;
    bool prefill = false; ///< Wanted stage.
    bool operator==(const StageOrder &) const = default;
};

/// Options of a StageKeeper.
struct StageOptions
{
    /// Share of a service's engines that read prompts for others to decode. Answers are a few
    /// hundred tokens behind prompts of ten thousand: reading one takes an engine 20 to 80 ms,
    /// while a decoding engine serves some 15 answers at once in less than a second.
    double prefillShare = 0.67;
    /// The share may be off by that much before engines are ordered to change; each change takes
    /// an engine out for seconds.
    double tolerance = 0.12;
    /// An order that was given counts as carried out for so long, until the list shows it.
    Duration settleTime = std::chrono::seconds(8);
    /// Least time between two orders to one engine.
    Duration engineInterval = std::chrono::seconds(20);
};

/// Keeps the engines of each service split into those that read prompts and those that decode.
/// Pure; used by the one process that may give orders.
class StageKeeper
{
public:
    explicit StageKeeper(StageOptions options = {});

    /// Orders to give now; each counts as given.
    std::vector<StageOrder> decide(const BackendListing &listing, TimePoint now);

private:
    struct Given
    {
        bool prefill = false;
        TimePoint at{};
    };

    bool effectiveStage(const ListedServer &engine, TimePoint now) const;

    StageOptions m_options;
    std::map<BackendId, Given> m_given;
};

} // namespace gentianramp
