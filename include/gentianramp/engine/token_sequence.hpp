#pragma once

#include <cstdint>
#include <gentianramp/http/sse.hpp>

namespace gentianramp {

/// What an event of an engine's stream is, given what came before it.
enum class TokenEventKind {
    Next,      ///< The next token; deliver it.
    Repeat,    ///< Delivered before; drop it.
    Gap,       ///< Tokens are missing before it.
    Done,      ///< The answer is whole.
    Malformed, ///< It has no token offset.
};

/// Checks the token offsets of one answer over all attempts that produce it.
class TokenSequence
{
public:
    /// @p delivered tokens of the answer were delivered before.
    explicit TokenSequence(std::uint32_t delivered = 0);

    /// Classifies @p event and, when it is the next token, counts it as delivered.
    TokenEventKind take(const SseEvent &event);
    /// Tokens of the answer that were delivered.
    std::uint32_t delivered() const noexcept { return m_delivered; }

private:
    std::uint32_t m_delivered;
};

/// Token offset that @p text names; 0 when it names none.
std::uint32_t parseTokenOffset(std::string_view text) noexcept;

} // namespace gentianramp
