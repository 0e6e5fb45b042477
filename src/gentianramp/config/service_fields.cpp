#include "sections.hpp"

namespace gentianramp {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t MaxQueueLimit = 100'000;
constexpr std::uint32_t MaxRetryBudgetPercent = 100;

} // namespace

const FieldTable<ServiceDeclaration> &serviceFields()
{
    using Service = ServiceDeclaration;
    static const FieldTable<Service> table{
        field("id", &Service::id, Need::Required, ValueCheck<ServiceId>(nameCheck<ServiceId>)),
        field("kind", &Service::kind, Need::Required),
        field("model", &Service::model),
        field("path_prefix", &Service::pathPrefix),
        field("priority_class", &Service::priorityClass, Need::Required),
        field("idempotent", &Service::idempotent, Need::Required),
        field("idempotent_paths", &Service::idempotentPaths),
        field("timeout", &Service::timeout, Need::Optional, between<Duration>(1ms, 1h)),
        field("first_token_target", &Service::firstTokenTarget, Need::Optional,
              between<Duration>(1ms, 1h)),
        field("token_target", &Service::tokenTarget, Need::Optional, between<Duration>(1ms, 1min)),
        field("queue_limit", &Service::queueLimit, Need::Optional, between(1U, MaxQueueLimit)),
        field("retry_budget_percent", &Service::retryBudgetPercent, Need::Optional,
              between(0U, MaxRetryBudgetPercent)),
    };
    return table;
}

} // namespace gentianramp
