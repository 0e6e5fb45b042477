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
    std::string host; ///< IP number.
    std::uint16_t port = 0;
    auto operator<=>(const HttpAddress &) const = default;
};

/// Reads "10.0.0.1:8080"; nothing when the text is no address.
std::optional<HttpAddress> parseHttpAddress(std::string_view text);

} // namespace gentianramp
