#pragma once

#include <array>
#include <cstdint>
#include <gentianramp/core/clock.hpp>

namespace gentianramp {

/// Bounds of repeated sends to a service, over all instances.
struct RetryBounds
{
    double ratio = 0.2; ///< Repeats per request for the service.
    double slack = 50;  ///< Repeats beyond the ratio, for all instances together.
    Duration window = std::chrono::seconds(10);
    bool operator==(const RetryBounds &) const = default;
};

/// One instance's share of the retry budget of a service. Performs no I/O.
///
/// Each instance applies the ratio to its own requests and uses an equal part of the slack, so that
/// all instances together stay within the bounds without exchanging messages.
class RetryAllowance
{
public:
    explicit RetryAllowance(RetryBounds bounds = {});

    void noteRequest(TimePoint now);
    /// Takes one repeat if the budget allows it; @p instances share the slack.
    bool take(std::uint32_t instances, TimePoint now);

private:
    static constexpr std::size_t Buckets = 20;
    struct Bucket
    {
        std::int64_t number = -1; ///< Time of the bucket in bucket widths; -1: unused.
        std::uint32_t requests = 0;
        std::uint32_t repeats = 0;
    };

    Bucket &bucketAt(TimePoint now);

    RetryBounds m_bounds;
    std::array<Bucket, Buckets> m_buckets;
};

} // namespace gentianramp
