#pragma once

#include <gentianramp/core/error.hpp>
#include <gentianramp/replay/outcome.hpp>
#include <string>
#include <string_view>

namespace gentianramp {

/// Text of a result, as docs/TRACES.md describes it.
std::string formatResult(const ReplayResult &result);
/// Reads the text of a result; Error::Malformed with the line number when it is none.
Result<ReplayResult> parseResult(std::string_view text);

} // namespace gentianramp
