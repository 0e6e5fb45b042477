#pragma once

#include <cstdint>
#include <gentianramp/http/message.hpp>
#include <gentianramp/relay/backend_protocol.hpp>

namespace gentianramp {

/// Hash of what makes two requests the same to a backend server: method, host, target, caller, body
/// and the parts of the prompt. Not of what differs between the attempts of one caller.
std::uint64_t requestIdentity(const HttpRequest &request, const PromptDescription *prompt,
                              const BackendProtocol &protocol);

} // namespace gentianramp
