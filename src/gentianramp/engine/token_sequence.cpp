#include <gentianramp/engine/token_sequence.hpp>

#include <charconv>

namespace gentianramp {

namespace {

constexpr std::string_view DoneMark = "[DONE]";

} // namespace

std::uint32_t parseTokenOffset(std::string_view text) noexcept
{
    std::uint32_t offset = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), offset);
    return error == std::errc() && end == text.data() + text.size() ? offset : 0;
}

TokenSequence::TokenSequence(std::uint32_t delivered)
    : m_delivered(delivered)
{ }

TokenEventKind TokenSequence::take(const SseEvent &event)
{
    if (event.data == DoneMark)
        return TokenEventKind::Done;
    const std::uint32_t offset = parseTokenOffset(event.id);
    if (offset == 0)
        return TokenEventKind::Malformed;
    if (offset <= m_delivered)
        return TokenEventKind::Repeat;
    if (offset != m_delivered + 1)
        return TokenEventKind::Gap;
    m_delivered = offset;
    return TokenEventKind::Next;
}

} // namespace gentianramp
