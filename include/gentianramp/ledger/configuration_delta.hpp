#pragma once

#include <cstdint>
#include <gentianramp/core/error.hpp>
#include <gentianramp/ledger/generated/ledger.pb.h>
#include <string>
#include <string_view>

namespace gentianramp {

/// XXH64 of @p bytes.
std::uint64_t contentDigest(std::string_view bytes);

/// Delta that turns @p from into @p to: the bytes of @p to between their common prefix and suffix.
proto::ConfigurationDelta makeDelta(std::string_view from, std::string_view to);

/// Applies @p delta to @p from; Malformed when the result does not have the expected digest.
Result<std::string> applyDelta(std::string_view from, const proto::ConfigurationDelta &delta);

} // namespace gentianramp
