#include "sections.hpp"

namespace gentianramp {

namespace {

using namespace std::chrono_literals;

constexpr double MaxRoleChangeCost = 1e9;
constexpr double MaxStoreBytesPerSecond = 1e15;
constexpr std::uint32_t MaxConcurrentRoleChanges = 64;

} // namespace

const FieldTable<PlannerSettings> &plannerFields()
{
    using Planner = PlannerSettings;
    static const FieldTable<Planner> table{
        field("role_change_weight", &Planner::roleChangeCost, Need::Optional,
              between(0.0, MaxRoleChangeCost)),
        field("horizon", &Planner::horizon, Need::Optional, between<Duration>(1s, 1h)),
        field("minimum_dwell", &Planner::minimumDwell, Need::Optional, between<Duration>(0s, 1h)),
        field("max_changes_at_once", &Planner::maxChangesAtOnce, Need::Optional,
              between(0U, MaxConcurrentRoleChanges)),
        field("role_change_time", &Planner::roleChangeTime, Need::Optional,
              between<Duration>(0s, 1h)),
    };
    return table;
}

const FieldTable<GeneralSettings> &generalFields()
{
    using General = GeneralSettings;
    static const FieldTable<General> table{
        field("weight_store_bytes_per_second", &General::weightStoreBytesPerSecond, Need::Optional,
              between(1.0, MaxStoreBytesPerSecond)),
        field("idempotency_lifetime", &General::idempotencyLifetime, Need::Optional,
              between<Duration>(1s, 24h)),
    };
    return table;
}

} // namespace gentianramp
