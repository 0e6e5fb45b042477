#include <gentianramp/relay/request_identity.hpp>

#include <xxhash.h>

namespace gentianramp {

namespace {

std::uint64_t add(std::uint64_t hash, std::string_view text)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), hash + text.size());
}

} // namespace

std::uint64_t requestIdentity(const HttpRequest &request, const PromptDescription *prompt,
                              std::string_view customer, const BackendProtocol &protocol)
{
    std::uint64_t hash = add(0, request.method);
    hash = add(hash, request.headers.find("Host"));
    hash = add(hash, request.target);
    if (!customer.empty())
        hash = add(hash, customer);
    for (const std::string &name : protocol.callerHeaders) {
        if (customer.empty())
            hash = add(hash, request.headers.find(name));
    }
    if (prompt) {
        for (const PromptPart &part : prompt->parts)
            hash = XXH3_64bits_withSeed(&part.id, sizeof part.id, hash);
    }
    return add(hash, request.body);
}

} // namespace gentianramp
