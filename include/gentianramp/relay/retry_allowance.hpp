#pragma once

#include <array>
#include <cstdint>
#include <gentianramp/core/clock.hpp>

namespace gentianramp {

/// Bounds of repeated sends to a service, over all instances.
struct RetryBounds
{
    double ratio = 0.2; ///< Of the requests for the service.
    double slack = 50;  ///< On top, for all instances together.
    Duration window = std::chrono::seconds(10);
    bool operator==(const RetryBounds &) const = default;
};

/// One instance's share of a service's allowance of repeated sends. Pure.
///
/// Each instance keeps to the ratio on its own requests and to an equal part of the slack, so that
/// together they keep to the bounds without a message.
class RetryAllowance
{
public:
    explicit RetryAllowance(RetryBounds bounds = {});

    void noteRequest(TimePoint now);
    /// Takes one repeat when there is allowance for it; @p instances share the slack.
    bool take(std::uint32_t instances, TimePoint now);

private:
    static constexpr std::size_t Buckets = 20;
    struct Bucket
    {
        std::int64_t number = -1;
        std::uint32_t requests = 0;
        std::uint32_t repeats = 0;
    };

    Bucket &bucketAt(TimePoint now);

    RetryBounds m_bounds;
    std::array<Bucket, Buckets> m_buckets;
};

} // namespace gentianramp
