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

/// Amount of work that this instance sent to a backend server.
struct SentWork
{
    double requests = 0;
    double promptTokens = 0;
    bool operator==(const SentWork &) const = default;
};

/// Work outstanding at one backend server, as far as this instance knows.
///
/// The work that this instance sent is exact. The work of other instances is the last report less
/// the work that this instance had outstanding when the report was taken.
class BackendLoad
{
public:
    explicit BackendLoad(BackendNumber number);

    BackendNumber number() const noexcept { return m_number; }
    CircuitBreaker &breaker() noexcept { return m_breaker; }
    const CircuitBreaker &breaker() const noexcept { return m_breaker; }

    void add(std::int64_t requests, std::int64_t promptTokens, std::int64_t outputTokens) noexcept;
    WorkAmount own() const noexcept;
    /// Own work plus the reported work of others, weighted down as the report ages.
    WorkAmount estimate(TimePoint now) const noexcept;

    /// Work that this instance sent since the last report was taken; zero when that is too old.
    SentWork sentSinceReport(TimePoint now) const noexcept;

    /// Records the tokens per second that one stream got.
    void recordStreamRate(double tokensPerSecond, TimePoint now) noexcept;
    /// Tokens per second of a stream: the measured rate, blended towards @p expected as the
    /// measurement ages.
    double streamRate(double expected, TimePoint now) const noexcept;

    /// Records the own outstanding work for comparison with later reports; call at regular
    /// intervals.
    void sample(TimePoint now);
    void applyReport(const LoadReport &report, TimePoint now);
    /// Records the sequence number of a cache event; true when events before it were lost.
    bool recordCacheEvent(std::uint64_t sequence, bool restarted) noexcept;

private:
    struct Sample
    {
        TimePoint at{};
        WorkAmount own;
        SentWork sent; ///< Total since the start of the process.
    };
    static constexpr std::size_t SampleCount = 64;

    Sample sampleAt(TimePoint at) const;
    SentWork sent() const noexcept;

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
    std::atomic<double> m_sentRequestsAtReport{0};
    std::atomic<double> m_sentPromptTokensAtReport{0};
    std::atomic<double> m_streamRate{0};
    std::atomic<Duration::rep> m_streamRateAt{0};
    std::atomic<std::uint64_t> m_cacheSequence{0};
    CircuitBreaker m_breaker;

    std::mutex m_samplesMutex;
    std::array<Sample, SampleCount> m_samples;
    std::size_t m_nextSample = 0;
};

} // namespace gentianramp
