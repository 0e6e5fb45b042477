#pragma once

#include <cstdint>
#include <gentianramp/config/declared_configuration.hpp>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/ids.hpp>
#include <gentianramp/routing/cache_events.hpp>
#include <gentianramp/routing/fleet_view.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gentianramp {

/// Speeds of an engine in one role, as multiples of its base rates. A role speeds up its own phase
/// and slows down the other.
struct RoleRates
{
    double prefill = 1;
    double decode = 1;
    /// Fraction of the decode rate that remains while a prefill runs.
    double decodeDuringPrefill = 0.3;
    bool operator==(const RoleRates &) const = default;
};

/// Options of an EngineModel.
struct EngineModelOptions
{
    EngineRole role = EngineRole::Mixed;
    double prefillTokensPerSecond = 8000;
    double decodeTokensPerSecond = 1000; ///< Of all streams together.
    double streamTokensPerSecond = 50;   ///< Maximum of one stream.
    double kvImportTokensPerSecond = 200000;
    std::uint32_t slots = 16; ///< Maximum number of requests in the batch; others wait.
    std::uint64_t prefixCacheTokens = 200000;
    Duration roleChangeTime = std::chrono::seconds(4);
    Duration reportLag = std::chrono::seconds(1);
    Duration reportInterval = std::chrono::milliseconds(250);
    Duration cacheEventLag = std::chrono::seconds(1);
    double cacheEventLoss = 0.05; ///< Fraction of cache events that are never published.
    std::uint64_t seed = 1;
    RoleRates mixed{1, 1, 0.3};
    RoleRates prefill{1.25, 0.1, 0};
    RoleRates decode{0.25, 1.25, 0.6};
    bool operator==(const EngineModelOptions &) const = default;
};

/// A request to an engine.
struct EngineRequest
{
    RequestId id;
    Attempt attempt{1};
    std::uint32_t priority = 0; ///< Smaller goes first.
    std::uint32_t promptTokens = 0;
    /// Shortest first; the tokens of the longest cached prefix are not prefilled again.
    std::vector<PromptPrefix> prefixes;
    std::uint32_t outputTokens = 0;
    std::uint32_t resumeOffset = 0; ///< Tokens that the caller has; decoding continues after them.
    bool prefillOnly = false;       ///< Ends when the KV cache is ready for export.
    bool kvImported = false;        ///< The prompt's KV cache is transferred from another engine.
    bool operator==(const EngineRequest &) const = default;
};

/// Kind of progress that a request made.
enum class EngineProgressKind {
    Tokens,       ///< New tokens were decoded; `tokens` counts from the start of the answer.
    PrefillReady, ///< A prefillOnly request has finished.
    Finished,     ///< All tokens were decoded.
    Cut,          ///< Ended without an answer because the engine changed its role.
};

struct EngineProgress
{
    EngineProgressKind kind = EngineProgressKind::Tokens;
    RequestId id;
    Attempt attempt{1};
    std::uint32_t tokens = 0;
    TimePoint at{};
    bool operator==(const EngineProgress &) const = default;
};

/// Simulation of an engine with continuous batching; the caller passes in the time.
///
/// Prefills run one at a time, by priority and then arrival; running streams share the decode rate
/// equally. Between two events all rates are constant, so results do not depend on how often
/// advance() is called. Not thread-safe.
class EngineModel
{
public:
    EngineModel(EngineModelOptions options, TimePoint start);
    ~EngineModel();
    EngineModel(EngineModel &&) noexcept;
    EngineModel &operator=(EngineModel &&) noexcept;

    /// Accepts a request; false when the engine is draining, changing its role or leaving.
    bool submit(const EngineRequest &request, TimePoint now);
    /// Ends a request without an answer; false when it is unknown.
    bool cancel(const RequestId &id, const Attempt &attempt, TimePoint now);

    /// Advances to @p now and returns the progress since the last call, in order of time.
    std::vector<EngineProgress> advance(TimePoint now);
    /// Time of the next event if nothing else is submitted; empty when the engine is idle.
    std::optional<TimePoint> nextEvent() const;

    /// Starts a role change, which aborts all requests and clears the prefix cache.
    void setRole(EngineRole role, TimePoint now);
    void setDraining(bool draining, TimePoint now);
    void setLeaving(TimePoint now);
    /// Clears the prefix cache, as after a crash.
    void clearCache(TimePoint now);

    EngineRole role() const;
    BackendPhase phase() const;
    std::size_t outstanding() const;
    /// Number of prompt tokens found in the prefix cache since the start.
    std::uint64_t cachedTokens() const;
    /// The newest load report that is at least `reportLag` old.
    LoadReport loadReport(TimePoint now) const;
    /// Cache events published by @p now with a sequence number above @p after; some are lost.
    CacheEvents cacheEvents(std::uint64_t after, TimePoint now) const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace gentianramp
