#include <gentianramp/ledger/configuration_delta.hpp>

#include <algorithm>
#include <xxhash.h>

namespace gentianramp {

std::uint64_t contentDigest(std::string_view bytes)
{
    return XXH64(bytes.data(), bytes.size(), 0);
}

proto::ConfigurationDelta makeDelta(std::string_view from, std::string_view to)
{
    const std::size_t shorter = std::min(from.size(), to.size());
    const auto prefix = static_cast<std::size_t>(
        std::mismatch(from.begin(), from.begin() + static_cast<std::ptrdiff_t>(shorter), to.begin())
            .first
        - from.begin());
    std::size_t suffix = 0;
    while (suffix < shorter - prefix
           && from[from.size() - 1 - suffix] == to[to.size() - 1 - suffix])
        ++suffix;
    proto::ConfigurationDelta delta;
    delta.set_prefix(prefix);
    delta.set_suffix(suffix);
    delta.set_middle(std::string(to.substr(prefix, to.size() - prefix - suffix)));
    delta.set_digest(contentDigest(to));
    return delta;
}

Result<std::string> applyDelta(std::string_view from, const proto::ConfigurationDelta &delta)
{
    if (delta.prefix() > from.size() || delta.suffix() > from.size() - delta.prefix())
        return {Error::Malformed, "the prefix and suffix of the delta are longer than its base"};
    std::string to(from.substr(0, delta.prefix()));
    to += delta.middle();
    to += from.substr(from.size() - delta.suffix());
    if (contentDigest(to) != delta.digest())
        return {Error::Malformed, "the result of the delta does not have the expected digest"};
    return to;
}

} // namespace gentianramp
