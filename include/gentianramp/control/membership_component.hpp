#pragma once

#include <gentianramp/control/control_node.hpp>
#include <gentianramp/membership/membership_service.hpp>
#include <memory>

namespace gentianramp {

/// Adds heartbeats between control processes to a control process: each loss and return of one is
/// an event on the time line, and the metrics count them by state. Make it before
/// ControlNode::start() and keep it until run() has returned.
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
