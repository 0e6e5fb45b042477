#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace gentianramp {

/// Number of inserted, removed or replaced characters between @p left and @p right.
std::size_t editDistance(std::string_view left, std::string_view right);

/// The candidate with the smallest edit distance to @p text; empty without candidates.
std::string closestMatch(std::string_view text, const std::vector<std::string> &candidates);

} // namespace gentianramp
