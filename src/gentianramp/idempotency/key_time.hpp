#pragma once

#include <cstdint>
#include <gentianramp/core/ids.hpp>
#include <optional>

namespace gentianramp {

/// Milliseconds since the Unix epoch at which @p key was made; empty unless the key, or its part
/// after the last '/', is a UUID of version 7.
std::optional<std::int64_t> keyTimeMs(const IdempotencyKey &key);

} // namespace gentianramp
