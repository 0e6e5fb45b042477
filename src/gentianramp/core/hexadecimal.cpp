#include <gentianramp/core/hexadecimal.hpp>

#include <array>
#include <charconv>

namespace gentianramp {

std::string hexadecimal(std::uint64_t value)
{
    std::array<char, 16> text{};
    const auto end = std::to_chars(text.data(), text.data() + text.size(), value, 16).ptr;
    return {text.data(), end};
}

} // namespace gentianramp
