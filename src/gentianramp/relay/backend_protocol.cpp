#include <gentianramp/relay/backend_protocol.hpp>

namespace gentianramp {

namespace {

// FNV-1a, 64 bits.
constexpr std::uint64_t HashBasis = 14695981039346656037ULL;
constexpr std::uint64_t HashPrime = 1099511628211ULL;

} // namespace

std::uint32_t PromptDescription::tokens() const
{
    std::uint32_t sum = 0;
    for (const PromptPart &part : parts)
        sum += part.tokens;
    return sum;
}

std::uint32_t PromptDescription::sharedTokens() const
{
    return parts.size() > 1 ? tokens() - parts.back().tokens : tokens();
}

std::uint64_t PromptDescription::sharedPrefixHash() const
{
    const std::size_t shared = parts.size() > 1 ? parts.size() - 1 : parts.size();
    std::uint64_t key = HashBasis;
    for (std::size_t index = 0; index < shared; ++index)
        key = (key ^ parts[index].id) * HashPrime;
    return key;
}

} // namespace gentianramp
