#include <gentianramp/core/digest.hpp>

#include <array>
#include <memory>
#include <openssl/evp.h>

namespace gentianramp {

namespace {

constexpr std::string_view Digits = "0123456789abcdef";

struct ContextDeleter
{
    void operator()(EVP_MD_CTX *context) const { EVP_MD_CTX_free(context); }
};

std::string toHex(const unsigned char *bytes, unsigned size)
{
    std::string text;
    text.reserve(2 * size);
    for (unsigned index = 0; index < size; ++index) {
        text += Digits[bytes[index] >> 4U];
        text += Digits[bytes[index] & 15U];
    }
    return text;
}

} // namespace

std::string sha256Hex(std::initializer_list<std::string_view> parts)
{
    const std::unique_ptr<EVP_MD_CTX, ContextDeleter> context(EVP_MD_CTX_new());
    EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
    for (const std::string_view part : parts)
        EVP_DigestUpdate(context.get(), part.data(), part.size());
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned size = 0;
    EVP_DigestFinal_ex(context.get(), digest.data(), &size);
    return toHex(digest.data(), size);
}

} // namespace gentianramp
