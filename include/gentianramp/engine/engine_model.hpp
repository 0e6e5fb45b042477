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

/// Speeds of an engine in one role, as multiples of its base rates.
struct RoleRates
{
    double prefill = 1;
    double decode = 1;
    /// Share of the decode rate that is left while a prefill runs.
    double decodeDuringPrefill = 0.3;
    bool operator==(const RoleRates &) const = default;
};

/// Options of an EngineModel.
struct EngineModelOptions
{
    EngineRole role = EngineRole::Mixed;
    double prefillTokensPerSecond = 8000;
    double decodeTokensPerSecond = 1000; ///< Over all streams.
    double streamTokensPerSecond = 50;   ///< Most that one stream gets.
    double kvImportTokensPerSecond = 200000;
    std::uint32_t slots = 16; ///< Requests in the batch; others wait.
    std::uint64_t prefixCacheTokens = 200000;
    Duration roleChangeTime = std::chrono::seconds(4);
    Duration reportLag = std::chrono::seconds(1);
    Duration reportInterval = std::chrono::milliseconds(250);
    Duration cacheEventLag = std::chrono::seconds(1);
    double cacheEventLoss = 0.05; ///< Share of cache events that are never published.
    std::uint64_t seed = 1;
    RoleRates mixed{1, 1, 0.3};
    RoleRates prefill{1.25, 0.1, 0};
    RoleRates decode{0.25, 1.25, 0.6};
    bool operator==(const EngineModelOptions &) const = default;
};

/// A request as an engine works on it.
struct EngineRequest
{
    RequestId id;
    Attempt attempt{1};
    std::uint32_t priority = 0; ///< Smaller goes first.
    std::uint32_t promptTokens = 0;
    std::vector<PromptPrefix>
        prefixes; ///< Shortest first; the longest cached one is not prefilled.
    std::uint32_t outputTokens = 0;
    std::uint32_t resumeOffset = 0; ///< Tokens the caller has; decoding goes on after them.
    bool prefillOnly = false;       ///< Ends with the KV cache ready for export.
    bool kvImported = false;        ///< The prompt's KV cache comes from another engine.
    bool operator==(const EngineRequest &) const = default;
};

/// What happened to a request within an advance of the model.
enum class EngineProgressKind {
    Tokens,       ///< More tokens are out; `tokens` counts from the start of the answer.
    PrefillReady, ///< A prefillOnly request is done.
    Finished,     ///< All tokens are out.
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

/// Model of an engine that batches continuously, under a time that its caller passes in.
///
/// Prefills run one after the other, by priority and then arrival; running streams share the
/// decode rate equally. Between two events all rates are constant, so results do not depend on how
/// often advance() is called. Not thread-safe.
class EngineModel
{
public:
    EngineModel(EngineModelOptions options, TimePoint start);
    ~EngineModel();
    EngineModel(EngineModel &&) noexcept;
    EngineModel &operator=(EngineModel &&) noexcept;

    /// Takes a request, or returns false when the engine is draining, changing or leaving.
    bool submit(const EngineRequest &request, TimePoint now);
    /// Ends a request without an answer; false when it is unknown.
    bool cancel(const RequestId &id, const Attempt &attempt, TimePoint now);

    /// Moves to @p now and returns what happened since the last call, in order of time.
    std::vector<EngineProgress> advance(TimePoint now);
    /// Time of the next event without new work; empty when the engine is idle.
    std::optional<TimePoint> nextEvent() const;

    /// Begins a role change; requests still running are cut.
    void setRole(EngineRole role, TimePoint now);
    void setDraining(bool draining, TimePoint now);
    void setLeaving(TimePoint now);
    /// Forgets the prefix cache, as after a crash.
    void clearCache(TimePoint now);

    EngineRole role() const;
    BackendPhase phase() const;
    std::size_t outstanding() const;
    /// Prompt tokens that were found in the prefix cache since the start.
    std::uint64_t cachedTokens() const;
    /// The lagging load report; LoadReport::takenAt tells its age.
    LoadReport loadReport(TimePoint now) const;
    /// Published cache events with a sequence above @p after, late and with gaps.
    CacheEvents cacheEvents(std::uint64_t after, TimePoint now) const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace gentianramp
