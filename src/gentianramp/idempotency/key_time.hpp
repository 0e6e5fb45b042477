#pragma once

#include <cstdint>
#include <gentianramp/core/ids.hpp>
#include <optional>

namespace gentianramp {

/// Creation time of @p key in milliseconds since the Unix epoch; empty unless the key, or its part
/// after the last '/', is a UUID of version 7.
std::optional<std::int64_t> keyTimeMs(const IdempotencyKey &key);

} // namespace gentianramp
