#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/routing/fleet_view.hpp>
#include <mutex>

#include "gentianramp/routing/circuit_breaker.hpp"
#include "gentianramp/routing/prefix_index.hpp"

namespace gentianramp {

/// Amount of work at a backend server.
struct WorkAmount
{
    double requests = 0;
    double promptTokens = 0; ///< Still to be prefilled.
    double outputTokens = 0; ///< Still to be emitted.
    bool operator==(const WorkAmount &) const = default;
};

/// Work that one instance sent since a backend server's last report was made.
struct UnreportedWork
{
    double requests = 0;
    double promptTokens = 0;
    bool operator==(const UnreportedWork &) const = default;
};

/// Work outstanding at one backend server, as this instance can know it.
///
/// What this instance itself sent is exact. What others sent is the last report less what this
/// instance had outstanding when the report was made.
class BackendLoad
{
public:
    explicit BackendLoad(BackendNumber number);

    BackendNumber number() const noexcept { return m_number; }
    CircuitBreaker &breaker() noexcept { return m_breaker; }
    const CircuitBreaker &breaker() const noexcept { return m_breaker; }

    void add(std::int64_t requests, std::int64_t promptTokens, std::int64_t outputTokens) noexcept;
    WorkAmount own() const noexcept;
    /// Own work and the reported work of others, which fades out as the report ages.
    WorkAmount estimate(TimePoint now) const noexcept;

    /// What this instance sent since the last report was made; nothing without recent reports.
    UnreportedWork unreported(TimePoint now) const noexcept;

    /// Notes the tokens per second that one stream got.
    void noteStreamRate(double tokensPerSecond, TimePoint now) noexcept;
    /// Tokens per second that a stream gets, between what was seen lately and @p expected.
    double streamRate(double expected, TimePoint now) const noexcept;

    /// Keeps the present own work for later comparison with reports; call at regular times.
    void sample(TimePoint now);
    void applyReport(const LoadReport &report, TimePoint now);
    /// Notes the sequence number of a cache event; true when events before it were lost.
    bool noteCacheEvent(std::uint64_t sequence, bool restarted) noexcept;

private:
    struct Sample
    {
        TimePoint at{};
        WorkAmount own;
        UnreportedWork sent; ///< Since the start.
    };
    static constexpr std::size_t Samples = 64;

    Sample sampleAt(TimePoint at) const;
    UnreportedWork sent() const noexcept;

    const BackendNumber m_number;
    std::atomic<std::int64_t> m_requests{0};
    std::atomic<std::int64_t> m_promptTokens{0};
    std::atomic<std::int64_t> m_outputTokens{0};
    std::atomic<double> m_othersRequests{0};
    std::atomic<double> m_othersPromptTokens{0};
    std::atomic<double> m_othersOutputTokens{0};
    std::atomic<Duration::rep> m_reportedAt{0};
    std::atomic<std::uint64_t> m_sentRequests{0};
    std::atomic<std::uint64_t> m_sentPromptTokens{0};
    std::atomic<double> m_reportedSentRequests{0};
    std::atomic<double> m_reportedSentPromptTokens{0};
    std::atomic<double> m_streamRate{0};
    std::atomic<Duration::rep> m_streamRateAt{0};
    std::atomic<std::uint64_t> m_cacheSequence{0};
    CircuitBreaker m_breaker;

    std::mutex m_samplesMutex;
    std::array<Sample, Samples> m_samples;
    std::size_t m_nextSample = 0;
};

} // namespace gentianramp
