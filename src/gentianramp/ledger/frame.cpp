#include "frame.hpp"

#include <array>
#include <xxhash.h>

namespace gentianramp {

namespace {

constexpr std::size_t KindOffset = 0;
constexpr std::size_t LengthOffset = 4;
constexpr std::size_t ChecksumOffset = 8;
constexpr std::size_t HeaderSize = 16;

template <typename Number>
void putLittleEndian(std::string &out, Number value)
{
    for (std::size_t i = 0; i < sizeof(Number); ++i)
        out.push_back(static_cast<char>((value >> (8 * i)) & 0xff));
}

template <typename Number>
Number readLittleEndian(std::string_view bytes)
{
    Number value = 0;
    for (std::size_t i = 0; i < sizeof(Number); ++i)
        value |= static_cast<Number>(static_cast<unsigned char>(bytes[i])) << (8 * i);
    return value;
}

/// The length is the seed, so that a corrupt length invalidates the checksum.
std::uint64_t checksum(std::string_view payload)
{
    return XXH64(payload.data(), payload.size(), payload.size());
}

} // namespace

std::string encodeFrame(FrameKind kind, std::string_view payload)
{
    std::string out;
    out.reserve(HeaderSize + payload.size());
    putLittleEndian(out, static_cast<std::uint32_t>(kind));
    putLittleEndian(out, static_cast<std::uint32_t>(payload.size()));
    putLittleEndian(out, checksum(payload));
    out.append(payload);
    return out;
}

std::optional<Frame> decodeFrame(FrameKind kind, std::string_view bytes)
{
    if (bytes.size() < HeaderSize)
        return std::nullopt;
    const auto found = readLittleEndian<std::uint32_t>(bytes.substr(KindOffset));
    const auto length = readLittleEndian<std::uint32_t>(bytes.substr(LengthOffset));
    if (found != static_cast<std::uint32_t>(kind) || length > bytes.size() - HeaderSize)
        return std::nullopt;
    const std::string_view payload = bytes.substr(HeaderSize, length);
    if (readLittleEndian<std::uint64_t>(bytes.substr(ChecksumOffset)) != checksum(payload))
        return std::nullopt;
    return Frame{.payload = payload, .size = HeaderSize + length};
}

bool containsFrame(FrameKind kind, std::string_view bytes)
{
    const auto start = static_cast<char>(static_cast<std::uint32_t>(kind) & 0xff);
    for (std::size_t at = bytes.find(start); at != std::string_view::npos;
         at = bytes.find(start, at + 1)) {
        if (decodeFrame(kind, bytes.substr(at)))
            return true;
    }
    return false;
}

} // namespace gentianramp
