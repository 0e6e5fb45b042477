#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gentianramp {

/// Address of an HTTP server.
struct HttpAddress
{
    std::string host; ///< IP address.
    std::uint16_t port = 0;
    auto operator<=>(const HttpAddress &) const = default;
};

/// Parses "10.0.0.1:8080". Returns nothing when the host is missing or the port is not within 1 to
/// 65535; the host itself is not checked.
std::optional<HttpAddress> parseHttpAddress(std::string_view text);

} // namespace gentianramp
