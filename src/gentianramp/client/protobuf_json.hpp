#pragma once

#include <google/protobuf/message.h>
#include <nlohmann/json.hpp>

namespace gentianramp {

/// Converts @p message to a JSON object with the field names of the .proto file. 64-bit integers
/// are JSON numbers, unlike in Protobuf's own JSON format, which writes them as strings.
nlohmann::json toJson(const google::protobuf::Message &message);

} // namespace gentianramp
