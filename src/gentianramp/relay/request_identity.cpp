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
                              const BackendProtocol &protocol)
{
    std::uint64_t hash = add(0, request.method);
    hash = add(hash, request.headers.find("Host"));
    hash = add(hash, request.target);
    for (const std::string &name : protocol.callerHeaders)
        hash = add(hash, request.headers.find(name));
    if (prompt) {
        for (const PromptPart &part : prompt->parts)
            hash = XXH3_64bits_withSeed(&part.id, sizeof part.id, hash);
    }
    return add(hash, request.body);
}

} // namespace gentianramp
