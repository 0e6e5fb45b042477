#pragma once

#include <gentianramp/control/control_node.hpp>
#include <gentianramp/membership/membership_service.hpp>
#include <memory>

namespace gentianramp {

/// Component of a control process that exchanges heartbeats with the other control processes. Each
/// process that becomes unreachable or reachable again is recorded on the time line, and metrics
/// count the processes by state. Construct it before ControlNode::start() and keep it until run()
/// has returned.
class MembershipComponent
{
public:
    explicit MembershipComponent(ControlNode &node);
    ~MembershipComponent();
    MembershipComponent(const MembershipComponent &) = delete;
    MembershipComponent &operator=(const MembershipComponent &) = delete;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace gentianramp
