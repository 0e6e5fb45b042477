#pragma once

#include <cstdint>
#include <gentianramp/http/message.hpp>
#include <gentianramp/relay/backend_protocol.hpp>
#include <string_view>

namespace gentianramp {

/// Hash of what makes two requests the same to a backend server: method, host, target, caller, body
/// and the parts of the prompt. Not of what differs between the attempts of one caller. The caller
/// is told by @p customer, or by the request's headers if that is empty.
std::uint64_t requestIdentity(const HttpRequest &request, const PromptDescription *prompt,
                              std::string_view customer, const BackendProtocol &protocol);

} // namespace gentianramp
