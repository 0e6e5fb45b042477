#include <gentianramp/registry/packed_text.hpp>

#include <array>
#include <cstdint>
#include <zlib.h>

namespace gentianramp {

namespace {

/// Limit of the text, with a margin over the largest body that operators may send.
constexpr std::uint64_t MaxTextBytes = 16 * 1024 * 1024;
constexpr std::size_t LengthBytes = 8;

} // namespace

std::string packText(std::string_view text)
{
    uLongf size = compressBound(text.size());
    std::string packed(LengthBytes + size, '\0');
    for (std::size_t byte = 0; byte < LengthBytes; ++byte)
        packed[byte] = static_cast<char>(static_cast<std::uint64_t>(text.size()) >> (8 * byte));
    compress(reinterpret_cast<Bytef *>(packed.data() + LengthBytes), &size,
             reinterpret_cast<const Bytef *>(text.data()), text.size());
    packed.resize(LengthBytes + size);
    return packed;
}

Result<std::string> unpackText(std::string_view packed)
{
    if (packed.size() < LengthBytes)
        return {Error::Malformed, "the packed text is shorter than its length field of 8 bytes"};
    std::uint64_t length = 0;
    for (std::size_t byte = 0; byte < LengthBytes; ++byte)
        length |= static_cast<std::uint64_t>(static_cast<unsigned char>(packed[byte]))
            << (8 * byte);
    if (length > MaxTextBytes)
        return {Error::TooLarge, "the unpacked text would be longer than 16 MiB"};
    std::string text(length, '\0');
    uLongf size = text.size();
    const int result = uncompress(reinterpret_cast<Bytef *>(text.data()), &size,
                                  reinterpret_cast<const Bytef *>(packed.data() + LengthBytes),
                                  packed.size() - LengthBytes);
    if (result != Z_OK || size != length)
        return {Error::Malformed, "the packed text does not decompress to its stated length"};
    return text;
}

} // namespace gentianramp
