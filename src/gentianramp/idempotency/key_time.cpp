#include <gentianramp/idempotency/key_time.hpp>

#include <cctype>
#include <charconv>
#include <string>
#include <string_view>

namespace gentianramp {

namespace {

constexpr std::size_t UuidLength = 36;
constexpr std::size_t VersionPosition = 14;
constexpr std::size_t TimeDigits = 12; // 48 bits of milliseconds

bool isHyphenPosition(std::size_t position)
{
    return position == 8 || position == 13 || position == 18 || position == 23;
}

bool isUuid(std::string_view text)
{
    if (text.size() != UuidLength)
        return false;
    for (std::size_t position = 0; position < text.size(); ++position) {
        const auto character = static_cast<unsigned char>(text[position]);
        if (isHyphenPosition(position) ? character != '-' : std::isxdigit(character) == 0)
            return false;
    }
    return true;
}

} // namespace

std::optional<std::int64_t> keyTimeMs(const IdempotencyKey &key)
{
    std::string_view text = key.value();
    if (const std::size_t slash = text.rfind('/'); slash != std::string_view::npos)
        text.remove_prefix(slash + 1);
    if (!isUuid(text) || text[VersionPosition] != '7')
        return std::nullopt;
    std::string digits(text.substr(0, 8));
    digits += text.substr(9, 4);
    std::int64_t milliseconds = 0;
    std::from_chars(digits.data(), digits.data() + TimeDigits, milliseconds, 16);
    return milliseconds;
}

} // namespace gentianramp
