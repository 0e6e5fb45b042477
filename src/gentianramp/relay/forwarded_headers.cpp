#include "forwarded_headers.hpp"

#include <algorithm>
#include <charconv>
#include <gentianramp/http/message.hpp>

namespace gentianramp {

namespace {

/// Fields that concern one connection only.
constexpr std::string_view HopByHopNames[] = {"Connection",
                                              "Keep-Alive",
                                              "Proxy-Connection",
                                              "TE",
                                              "Trailer",
                                              "Upgrade",
                                              "Transfer-Encoding",
                                              "Content-Length",
                                              "Proxy-Authenticate",
                                              "Expect",
                                              "Proxy-Authorization"};

constexpr std::string_view InstanceNames[]
    = {instance_headers::Verdict,  instance_headers::Backend,         instance_headers::Service,
       instance_headers::Version,  instance_headers::LacksServers,    instance_headers::WasSent,
       instance_headers::Attempts, instance_headers::Customer,        instance_headers::Declaration,
       instance_headers::Instance, instance_headers::WantsDeclaration};

} // namespace

bool isHopByHop(std::string_view name)
{
    return std::any_of(
        std::begin(HopByHopNames), std::end(HopByHopNames),
        [&](std::string_view hopByHopName) { return sameHeaderName(hopByHopName, name); });
}

bool listedInConnection(std::string_view connection, std::string_view name)
{
    while (!connection.empty()) {
        const std::size_t comma = connection.find(',');
        std::string_view token = connection.substr(0, comma);
        connection.remove_prefix(comma == std::string_view::npos ? connection.size() : comma + 1);
        while (token.starts_with(' '))
            token.remove_prefix(1);
        while (token.ends_with(' '))
            token.remove_suffix(1);
        if (sameHeaderName(token, name))
            return true;
    }
    return false;
}

bool isInstanceHeader(std::string_view name)
{
    return std::any_of(std::begin(InstanceNames), std::end(InstanceNames),
                       [&](std::string_view header) { return sameHeaderName(header, name); });
}

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

} // namespace gentianramp
