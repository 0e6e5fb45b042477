#pragma once

#include <cstdint>
#include <functional>
#include <gentianramp/control/control_node.hpp>
#include <gentianramp/planner/role_policy.hpp>
#include <memory>

namespace gentianramp {

/// Component of a control process that competes for the lease, sends orders to engines and answers
/// operators' requests about engines and roles. Construct it before ControlNode::start() and keep
/// it until run() has returned.
class AuthorityComponent
{
public:
    AuthorityComponent(ControlNode &node, Incarnation incarnation, std::uint64_t seed,
                       std::function<RolePolicy()> makeRolePolicy);
    ~AuthorityComponent();
    AuthorityComponent(const AuthorityComponent &) = delete;
    AuthorityComponent &operator=(const AuthorityComponent &) = delete;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace gentianramp
