#include <gentianramp/planner/role_policy.hpp>

namespace gentianramp {

RolePolicy makeStaticPolicy()
{
    return [](const PlanInput &) { return std::vector<RoleChange>{}; };
}

} // namespace gentianramp
