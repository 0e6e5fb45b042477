#pragma once

#include <gentianramp/core/error.hpp>
#include <gentianramp/idempotency/messages.hpp>
#include <string>
#include <string_view>

namespace gentianramp {

/// Writes @p message as protobuf (proto/key_claim.proto).
std::string encodeKeyMessage(const KeyMessage &message);

/// Reads what encodeKeyMessage() wrote; Error::Malformed for anything else.
Result<KeyMessage> decodeKeyMessage(std::string_view payload);

} // namespace gentianramp
