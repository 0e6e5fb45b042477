#include <array>
#include <gentianramp/wire/mesh.hpp>
#include <zmq.h>

namespace gentianramp {

namespace {

constexpr std::size_t KeyTextSize = 41; // 40 characters of Z85 and the terminating zero

} // namespace

CurveKeyPair makeCurveKeyPair()
{
    std::array<char, KeyTextSize> publicKey{};
    std::array<char, KeyTextSize> secretKey{};
    zmq_curve_keypair(publicKey.data(), secretKey.data());
    return {publicKey.data(), secretKey.data()};
}

} // namespace gentianramp
