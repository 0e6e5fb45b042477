#pragma once

#include <gentianramp/replay/trace.hpp>
#include <gentianramp/replay/virtual_replay.hpp>

namespace gentianramp {

/// Upper bound on the requests of a trace that any routing and any role changes could answer
/// wholly and in time on that fleet; see docs/DECISION-planner.md.
double timelyAnswersBound(const Trace &trace, const ReplayFleet &fleet);

} // namespace gentianramp
