#include <gentianramp/http/address.hpp>

#include <charconv>

namespace gentianramp {

std::optional<HttpAddress> parseHttpAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return std::nullopt;
    HttpAddress address{.host = std::string(text.substr(0, colon))};
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data() + colon + 1, end, address.port);
    if (error != std::errc{} || stop != end || address.port == 0)
        return std::nullopt;
    return address;
}

} // namespace gentianramp
