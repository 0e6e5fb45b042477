#pragma once

#include <google/protobuf/message.h>
#include <nlohmann/json.hpp>

namespace gentianramp {

/// All fields of @p message under their names in the .proto file, numbers as numbers.
nlohmann::json toJson(const google::protobuf::Message &message);

} // namespace gentianramp
