#include <gentianramp/peers/peer_instance.hpp>

#include <algorithm>
#include <string>
#include <xxhash.h>

namespace gentianramp {

std::uint64_t peersDigest(const std::vector<PeerInstance> &peers)
{
    std::string text;
    for (const PeerInstance &peer : peers) {
        text += peer.instance.value() + '\n' + peer.dataCentre.value() + '\n';
        text += peer.cutOff ? '1' : '0';
    }
    return std::max<std::uint64_t>(XXH3_64bits(text.data(), text.size()), 1);
}

} // namespace gentianramp
