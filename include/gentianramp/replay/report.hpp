#pragma once

#include <gentianramp/replay/outcome.hpp>
#include <gentianramp/replay/trace.hpp>
#include <string>
#include <vector>

namespace gentianramp {

/// Self-contained HTML page that shows runs of the same trace side by side: goodput, time to the
/// first token, engines by role.
std::string reportPage(const Trace &trace, const std::vector<ReplayResult> &runs);

} // namespace gentianramp
